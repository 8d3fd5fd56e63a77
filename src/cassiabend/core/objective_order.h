#pragma once

#include <compare>
#include <cstdint>

#include "cassiabend/core/attempt.h"

namespace cassiabend {

/// \brief Place of a waiting attempt in the order by objective: lower ranks are
/// served first. Answers overload: when more work waits than can meet its
/// objective, first-come order makes all of it late; this order serves what can
/// still meet its objective, the more urgent rank first and then what has to
/// start soonest, and what is late anyway with the slots that are left.
struct ObjectiveRank {
  bool is_late = false;
  std::uint32_t priority = 0;
  /// Latest start that meets the objective, or the deadline once that is
  /// missed.
  MonoTime start_by{};

  [[nodiscard]] auto operator<=>(const ObjectiveRank&) const = default;
};

/// \param objective_at When the objective is missed; the maximum for none.
/// \param service Time that such an attempt takes at the upstream.
[[nodiscard]] constexpr ObjectiveRank RankByObjective(
    MonoTime now,
    std::uint32_t priority,
    MonoTime objective_at,
    MonoTime deadline,
    Nanoseconds service) noexcept {
  const MonoTime aim = objective_at < deadline ? objective_at : deadline;
  if (now + service <= aim) {
    return {.is_late = false, .priority = priority, .start_by = aim - service};
  }
  return {
      .is_late = true, .priority = priority, .start_by = deadline - service};
}

}  // namespace cassiabend
