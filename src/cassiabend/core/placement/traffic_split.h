#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "cassiabend/core/member.h"

namespace cassiabend {

/// \brief What nodes send each other bytes for. `kTrafficPurposeNames` has the
/// same order.
enum class TrafficPurpose : std::uint8_t {
  /// Answers of upstreams.
  kAnswers,
  /// Attempts, and what comes back of them other than answers: refusals above
  /// all.
  kAttempts,
  kMembership,
  /// Heartbeats, which carry loads.
  kLoads,
  kVersions,
};
inline constexpr std::array<const char*, 5> kTrafficPurposeNames = {
    "answers", "attempts", "membership", "loads", "versions"};

/// \brief How far bytes go that leave the zone. `kTrafficDistanceNames` has the
/// same order.
enum class TrafficDistance : std::uint8_t {
  /// To another zone of the region.
  kZone,
  kRegion,
};
inline constexpr std::array<const char*, 2> kTrafficDistanceNames = {"zone",
                                                                     "region"};

/// \brief Counts the bytes that this node exchanges with other zones and
/// regions, by purpose. Of attempts and their answers the entry node counts
/// both directions, and the destination none, so that a sum over the fleet
/// counts each byte once.
class TrafficSplit {
 public:
  struct Bytes {
    std::uint64_t sent = 0;
    std::uint64_t received = 0;

    [[nodiscard]] bool operator==(const Bytes&) const = default;
  };
  using Counts = std::array<std::array<Bytes, kTrafficDistanceNames.size()>,
                            kTrafficPurposeNames.size()>;

  TrafficSplit(std::string region, std::string zone)
      : region_(std::move(region)), zone_(std::move(zone)) {}

  [[nodiscard]] const Counts& counts() const noexcept { return counts_; }

  /// \returns Whether the host is known to be outside this zone.
  [[nodiscard]] bool IsBeyondZone(const std::string& ip) const {
    return distances_.contains(ip);
  }

  /// \brief Records the place of a member's host.
  void RecordMember(const Member& member);
  /// \param ip Address of the other host; bytes to one of this zone, or of an
  /// unknown place, are not counted.
  void RecordSent(TrafficPurpose purpose,
                  const std::string& ip,
                  std::uint64_t bytes) noexcept {
    Add(purpose, ip, {.sent = bytes});
  }
  void RecordReceived(TrafficPurpose purpose,
                      const std::string& ip,
                      std::uint64_t bytes) noexcept {
    Add(purpose, ip, {.received = bytes});
  }

 private:
  void Add(TrafficPurpose purpose,
           const std::string& ip,
           const Bytes& bytes) noexcept;

  std::string region_;
  std::string zone_;
  /// Hosts outside this zone, by address.
  std::unordered_map<std::string, TrafficDistance> distances_;
  Counts counts_{};
};

}  // namespace cassiabend
