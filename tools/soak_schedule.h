#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "cassiabend/base/time.h"

namespace cassiabend::soak {

enum class PhaseKind : std::uint8_t {
  kCalm,
  /// Planned stops one after the other, with changes of the configuration.
  kSeries,
  /// Planned stops that overlap, with changes.
  kOverlap,
  /// Faults of every kind, with planned stops and changes.
  kMixed,
  /// No faults; at its end calls must be served again.
  kRecovery,
};

enum class ActionKind : std::uint8_t {
  // Planned work.
  kStopNode,
  kChange,
  /// The way to a node opens no connection in time for a while.
  kPeerSlowOpen,
  // Faults of processes.
  kKillNode,
  kPauseNode,
  kRestartUpstream,
  kPauseUpstream,
  kPauseStore,
  kRestartStore,
  // Faults of the stand-ins.
  kStoreDown,
  kStoreSlow,
  kStoreLosesAnswers,
  kStoreDeadWatches,
  kStoreSilentConnections,
  kUpstreamSheds,
  kUpstreamSilent,
  kUpstreamBreaksAnswers,
  kUpstreamUnhealthy,
  // Faults of the ways to a node, to its upstream and to the store.
  kLinkDelay,
  kLinkReset,
  kLinkCutForward,
  kLinkCutBack,
  kLinkSilence,
};
inline constexpr std::size_t kActionKinds = 23;

/// \brief Where a proxy stands.
enum class LinkPlace : std::uint8_t { kNode, kUpstream, kStore };

/// \brief One thing that is done to the fleet.
struct Action {
  /// From the start of the phase.
  Milliseconds at{0};
  ActionKind kind = ActionKind::kChange;
  std::size_t host = 0;
  Milliseconds length{0};
  /// Delay of connections and bytes, for those that have one.
  Milliseconds delay{0};
  LinkPlace place = LinkPlace::kNode;

  [[nodiscard]] auto operator<=>(const Action&) const = default;
};

struct Phase {
  PhaseKind kind = PhaseKind::kCalm;
  Milliseconds length{0};
  /// By time.
  std::vector<Action> actions;

  [[nodiscard]] bool operator==(const Phase&) const = default;
};

/// \brief What a schedule is drawn for.
struct ScheduleShape {
  std::uint64_t seed = 1;
  std::size_t hosts = 9;
  /// Phases to draw; a recovery follows each with faults and counts too.
  std::size_t phases = 6;
};

/// \returns The phases of a seed: equal shapes give equal schedules.
[[nodiscard]] std::vector<Phase> DrawSchedule(const ScheduleShape& shape);

/// \brief Whether a phase consists of planned work alone.
[[nodiscard]] bool IsPlanned(PhaseKind kind) noexcept;
[[nodiscard]] const char* NameOf(PhaseKind kind) noexcept;
[[nodiscard]] const char* NameOf(ActionKind kind) noexcept;
[[nodiscard]] const char* NameOf(LinkPlace place) noexcept;

/// \returns One line that tells an action.
[[nodiscard]] std::string Describe(const Action& action);

/// Longest time of a recovery without a served call: the longest pause of the
/// store calls (`fleet.store_retry_limit_ms`), and the last answer's way.
inline constexpr Milliseconds kRecoveryTime{16'000};
/// The time after it in which calls must be served.
inline constexpr Milliseconds kRecoveryWatch{4'000};

}  // namespace cassiabend::soak
