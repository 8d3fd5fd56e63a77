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

/// \brief What a node knows of one member, for operators.
struct MemberView {
  Member member;
  VersionMark mark;
  /// Age of the member's own confirmation when it was last heard.
  std::optional<Milliseconds> confirmed_age;
  /// Time since its mark was last heard; unset for never.
  std::optional<Milliseconds> mark_age;
};

/// \brief How the store's head compares with the version in force, as a reader
/// sees it.
enum class HeadState : std::uint8_t {
  /// This node does not read the store, or has not yet.
  kUnknown,
  /// The store holds no configuration.
  kAbsent,
  /// The version in force, or one that is being fetched.
  kCurrent,
  /// An older version, as after a restore from a copy.
  kOlder,
  /// The number in force with another content.
  kFork,
  /// The value cannot be read.
  kDamaged,
};

/// \returns The stable name of a state, as operators and metrics see it.
[[nodiscard]] std::string_view NameOf(HeadState state) noexcept;

/// \brief Sizes and counts of the fleet's state, for metrics.
struct FleetCounts {
  std::size_t members_alive = 0;
  std::size_t members_suspect = 0;
  std::size_t members_gone = 0;
  std::size_t unreachable_zones = 0;
  /// Nodes that take versions from this one.
  std::size_t children = 0;
  HeadState head_state = HeadState::kUnknown;
  /// Versions refused for having the number in force and another content.
  std::uint64_t forks = 0;
  /// Versions refused for not matching their mark.
  std::uint64_t damaged = 0;
};

/// \brief Decides membership, the spread of versions, reader leases, joining
/// and freshness.
class FleetReducer {
 public:
  /// \param self This node's first statement about itself.
  /// \param seed Seed of jitter and of random choices.
  FleetReducer(const FleetOptions& options,
               const Member& self,
               std::uint64_t seed);
  FleetReducer(const FleetReducer&) = delete;
  FleetReducer& operator=(const FleetReducer&) = delete;
  ~FleetReducer();

  /// \brief Answers one event; effects are appended to `*out`.
  void Reduce(const Instant& now,
              const FleetEvent& event,
              std::vector<FleetEffect>* out);

  /// \returns All members known, this node first.
  [[nodiscard]] std::vector<MemberView> Members(const Instant& now) const;
  [[nodiscard]] FleetCounts counts() const noexcept;
  /// \returns The version in force; null before the first.
  [[nodiscard]] RefPtr<const Snapshot> newest() const noexcept;
  /// \returns Whether this node reads the store for its zone.
  [[nodiscard]] bool is_reader() const noexcept;
  /// \returns The time to which the head is confirmed; unset for never.
  [[nodiscard]] std::optional<MonoTime> confirmed_at() const noexcept;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cassiabend
