#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "cassiabend/core/event.h"
#include "cassiabend/core/placement/traffic_split.h"

namespace cassiabend {

/// \brief Counts the bytes of configuration that this node exchanges with nodes
/// of other regions: versions pushed to them and versions pulled from them, as
/// the codec encodes them. RPC and TCP headers are not counted.
class RegionTraffic {
 public:
  /// \param region Region of this node.
  /// \param split Learns the places of members, and counts versions; may be
  /// null. Must outlive this object.
  explicit RegionTraffic(std::string region, TrafficSplit* split = nullptr);

  [[nodiscard]] std::uint64_t bytes() const noexcept { return bytes_; }

  /// \brief Records the regions of members, and counts the versions sent.
  void Record(const FleetEffect& effect);
  /// \brief Counts the versions received.
  void Record(const FleetEvent& event);

 private:
  [[nodiscard]] bool IsCounted(const NodeId& peer) const;
  [[nodiscard]] static std::uint64_t SizeOf(const ConfigUpdate& update);
  void RecordRegions(const MembersChanged& changed);

  std::string region_;
  TrafficSplit* split_;
  std::set<NodeId> other_region_members_;
  std::uint64_t bytes_ = 0;
};

}  // namespace cassiabend
