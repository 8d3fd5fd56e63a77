#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "cassiabend/core/event.h"

namespace cassiabend {

/// \brief Counts the bytes of configuration that pass between this node and
/// nodes of other regions, as the codec encodes them: versions pushed there
/// and versions pulled from there. Headers of RPC and TCP are not counted.
class RegionTraffic {
 public:
  /// \param region Region of this node.
  explicit RegionTraffic(std::string region);

  [[nodiscard]] std::uint64_t bytes() const noexcept { return bytes_; }

  /// \brief Learns the regions of members, and counts versions sent.
  void Record(const FleetEffect& effect);
  /// \brief Counts versions received.
  void Record(const FleetEvent& event);

 private:
  [[nodiscard]] static std::uint64_t SizeOf(const ConfigUpdate& update);
  void RecordRegions(const MembersChanged& changed);

  std::string region_;
  std::set<NodeId> other_region_members_;
  std::uint64_t bytes_ = 0;
};

}  // namespace cassiabend
