#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "cassiabend/base/time.h"
#include "cassiabend/core/fleet_events.h"
#include "cassiabend/core/options.h"

namespace cassiabend {

/// \brief What a node knows about one member, for operators.
struct MemberView {
  Member member;
  VersionMark mark;
  /// Age of the member's confirmation of the head when it last reported it.
  std::optional<Milliseconds> confirmed_age;
  /// Time since the last datagram from the member; unset for never.
  std::optional<Milliseconds> mark_age;
};

/// \brief How the store's head compares with the version in force, as seen by a
/// reader.
enum class HeadState : std::uint8_t {
  /// This node does not read the store, or has not read it yet.
  kUnknown,
  /// The store holds no configuration.
  kAbsent,
  /// The head is the version in force, or one that is being fetched.
  kCurrent,
  /// The head is older, as after a restore of the store from a backup.
  kOlder,
  /// The head has the number of the version in force and different content.
  kFork,
  /// The value of the head cannot be decoded.
  kDamaged,
};

/// \returns The stable name of a state, for operators and metrics.
[[nodiscard]] std::string_view NameOf(HeadState state) noexcept;

/// \brief Gauges and counters of the fleet state, for metrics.
struct FleetCounts {
  std::size_t members_alive = 0;
  std::size_t members_suspect = 0;
  /// Dead and departed members that are not forgotten yet.
  std::size_t members_gone = 0;
  std::size_t unreachable_zones = 0;
  /// Children of this node in the dissemination tree.
  std::size_t children = 0;
  HeadState head_state = HeadState::kUnknown;
  /// Versions refused because they have the number of the version in force and
  /// different content.
  std::uint64_t forks = 0;
  /// Versions refused because their content does not match their mark.
  std::uint64_t damaged = 0;
};

/// \brief State machine of the fleet: membership, dissemination of
/// configuration versions, reader leases, joining and freshness. It does no
/// I/O; it maps events to effects.
class FleetReducer {
 public:
  /// \param self This node's initial membership record.
  /// \param seed Seed of the jitter and the random choices.
  FleetReducer(const FleetOptions& options,
               const Member& self,
               std::uint64_t seed);
  FleetReducer(const FleetReducer&) = delete;
  FleetReducer& operator=(const FleetReducer&) = delete;
  ~FleetReducer();

  /// \brief Handles one event and appends the effects to `*out`.
  void Reduce(const Instant& now,
              const FleetEvent& event,
              std::vector<FleetEffect>* out);

  /// \returns All known members, this node first.
  [[nodiscard]] std::vector<MemberView> Members(const Instant& now) const;
  [[nodiscard]] FleetCounts counts() const noexcept;
  /// \returns The version in force; null before the first one.
  [[nodiscard]] RefPtr<const Snapshot> newest() const noexcept;
  /// \returns Whether this node reads the store for its zone.
  [[nodiscard]] bool is_reader() const noexcept;
  /// \returns The newest time at which the version in force is known to have
  /// been the head; unset for never.
  [[nodiscard]] std::optional<MonoTime> confirmed_at() const noexcept;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cassiabend
