#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "cassiabend/base/time.h"

namespace cassiabend::soak {

enum class PhaseKind : std::uint8_t {
  /// Changes of the configuration only.
  kCalm,
  /// Planned node stops one after the other, and changes.
  kSeries,
  /// Planned node stops that overlap, and changes.
  kOverlap,
  /// Faults of every kind, planned node stops and changes.
  kMixed,
  /// No actions; at its end calls must be answered again.
  kRecovery,
};

/// \brief Kind of an action. The tables in `NameOf` and `SoakFleet::Apply` have
/// the same order. Planned work comes first, up to `kPeerSlowOpen`.
enum class ActionKind : std::uint8_t {
  // Planned work.
  kStopNode,
  kChange,
  /// The proxy in front of a node accepts no connections for a while.
  kPeerSlowOpen,
  // Faults of processes.
  kKillNode,
  kPauseNode,
  kRestartUpstream,
  kPauseUpstream,
  kPauseStore,
  kRestartStore,
  // Faults of the fake store and the fake upstreams.
  kStoreDown,
  kStoreSlow,
  kStoreLosesAnswers,
  kStoreDeadWatches,
  kStoreSilentConnections,
  kUpstreamSheds,
  kUpstreamSilent,
  kUpstreamBreaksAnswers,
  kUpstreamUnhealthy,
  // Network faults of the proxy in front of a node, an upstream or the store.
  kLinkDelay,
  kLinkReset,
  kLinkCutForward,
  kLinkCutBack,
  kLinkSilence,
};
inline constexpr std::size_t kActionKinds = 23;

/// \brief The process that a proxy forwards to.
enum class ProxyTarget : std::uint8_t { kNode, kUpstream, kStore };

/// \brief An operation or fault that is applied to the fleet.
struct Action {
  /// From the start of the phase.
  Milliseconds at{0};
  ActionKind kind = ActionKind::kChange;
  std::size_t host = 0;
  /// Time until a fault ends or a killed node starts again.
  Milliseconds length{0};
  /// Delay of connections and chunks; for `kLinkDelay`.
  Milliseconds delay{0};
  ProxyTarget proxy_target = ProxyTarget::kNode;

  [[nodiscard]] auto operator<=>(const Action&) const = default;
};

struct Phase {
  PhaseKind kind = PhaseKind::kCalm;
  Milliseconds length{0};
  /// Sorted by time.
  std::vector<Action> actions;

  [[nodiscard]] bool operator==(const Phase&) const = default;
};

/// \brief Parameters of a schedule.
struct ScheduleShape {
  std::uint64_t seed = 1;
  std::size_t hosts = 9;
  /// Fewest phases, including the recovery that follows each phase with faults;
  /// one more when the last phase has faults.
  std::size_t phases = 6;
};

/// \brief Draws a random schedule. Equal shapes give equal schedules.
[[nodiscard]] std::vector<Phase> GenerateSchedule(const ScheduleShape& shape);

/// \returns Whether a phase consists of planned work only.
[[nodiscard]] bool IsPlanned(PhaseKind kind) noexcept;
[[nodiscard]] const char* NameOf(PhaseKind kind) noexcept;
[[nodiscard]] const char* NameOf(ActionKind kind) noexcept;
[[nodiscard]] const char* NameOf(ProxyTarget proxy_target) noexcept;

/// \returns A description of an action, in one line.
[[nodiscard]] std::string Describe(const Action& action);

/// Time of a recovery in which calls may still fail: the longest pause between
/// store calls (`fleet.store_retry_limit_ms`) and the time of the last reply.
inline constexpr Milliseconds kRecoveryTime{16'000};
/// Time after `kRecoveryTime` in which calls must be answered.
inline constexpr Milliseconds kRecoveryCheckTime{4'000};

}  // namespace cassiabend::soak
