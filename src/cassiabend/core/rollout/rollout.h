#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

#include "cassiabend/base/time.h"
#include "cassiabend/core/store_types.h"

namespace cassiabend {

/// \brief An operator's order to move the calls of a service to one version.
struct RolloutOrder {
  std::string service;
  std::string target_version;
  /// Time in which the move is to be completed.
  Milliseconds duration{0};

  [[nodiscard]] bool operator==(const RolloutOrder&) const = default;
};

enum class RolloutPhase : std::uint8_t { kRunning, kCompleted, kRolledBack };

/// \returns The stable name of a phase, for operators and logs.
[[nodiscard]] constexpr std::string_view NameOf(RolloutPhase phase) noexcept {
  constexpr std::array<std::string_view, 3> kNames = {"running", "completed",
                                                      "rolled_back"};
  return kNames.at(static_cast<std::size_t>(phase));
}

/// \brief Step of a roll-out that was stopped, but is not yet recorded as
/// rolled back in the store.
inline constexpr std::uint32_t kHaltedStep =
    std::numeric_limits<std::uint32_t>::max();
/// \brief The share of all calls, in thousandths.
inline constexpr std::uint32_t kWholeShare = 1'000;

/// Bits of an order's number that hold its revision in the store.
inline constexpr int kOrderRevisionBits = 40;
/// \returns The number of an order. Revisions are given out again when the
/// store is restored from a copy, so the store's era comes first.
[[nodiscard]] constexpr StoreRevision OrderRevision(
    const StorePosition& position) noexcept {
  return static_cast<StoreRevision>(position.era << kOrderRevisionBits) +
         position.revision;
}
/// \returns The era in the number of an order.
[[nodiscard]] constexpr StoreEra EraOfOrder(StoreRevision number) noexcept {
  return static_cast<StoreEra>(number) >> kOrderRevisionBits;
}

/// \brief State of the newest order for a service.
struct Rollout {
  RolloutOrder order;
  /// `OrderRevision` of the order; a later order has a higher one.
  StoreRevision order_revision = 0;
  /// Increases with each change of the share.
  std::uint32_t step = 0;
  /// Share of the calls that the target version gets, in thousandths.
  std::uint32_t share_permille = 0;
  RolloutPhase phase = RolloutPhase::kRunning;

  [[nodiscard]] bool is_running() const noexcept {
    return phase == RolloutPhase::kRunning;
  }
  [[nodiscard]] bool operator==(const Rollout&) const = default;
};

/// \returns Whether `a` is a newer state than `b` of the same service: ordered
/// by order, then by whether it has ended, then by step.
[[nodiscard]] inline bool Supersedes(const Rollout& a, const Rollout& b) {
  return std::tuple(a.order_revision, !a.is_running(), a.step) >
         std::tuple(b.order_revision, !b.is_running(), b.step);
}

/// \returns `rollout`, stopped.
[[nodiscard]] inline Rollout Halted(Rollout rollout) {
  rollout.step = kHaltedStep;
  rollout.share_permille = 0;
  return rollout;
}

/// \brief A roll-out as nodes tell it to each other.
struct RolloutNews {
  Rollout rollout;
  /// Time since the order became known.
  Milliseconds order_age{0};
  /// Time since a node that decides on the roll-out vouched for this state;
  /// unset for never.
  std::optional<Milliseconds> vouched_age;

  [[nodiscard]] bool operator==(const RolloutNews&) const = default;
};

}  // namespace cassiabend
