#pragma once

#include <compare>
#include <cstdint>

#include "cassiabend/core/attempt.h"

namespace cassiabend {

/// \brief Position of a waiting attempt in the queue by latency objective;
/// lower ranks are served first. In an overload, first-come order would make
/// all attempts late. This order first serves attempts that can still meet
/// their objective, by priority (0 is the most urgent) and then by latest
/// start, and gives the remaining slots to attempts that are already late.
struct ObjectiveRank {
  bool is_late = false;
  /// Priority of the team, which outranks that of the route.
  std::uint32_t team_priority = 0;
  std::uint32_t priority = 0;
  /// Latest start that meets the objective; once that can no longer be met, the
  /// latest start that meets the deadline.
  MonoTime start_by{};

  [[nodiscard]] auto operator<=>(const ObjectiveRank&) const = default;
};

/// \brief Ranks a waiting attempt at `now`.
/// \param priority Priority of the route; 0 is the most urgent.
/// \param objective_at When the objective ends; the maximum for none. An
/// objective after the deadline is replaced by the deadline.
/// \param service Expected service time of the attempt at the upstream.
[[nodiscard]] constexpr ObjectiveRank RankByObjective(
    MonoTime now,
    std::uint32_t priority,
    MonoTime objective_at,
    MonoTime deadline,
    Nanoseconds service) noexcept {
  const MonoTime due = objective_at < deadline ? objective_at : deadline;
  if (now + service <= due) {
    return {.is_late = false, .priority = priority, .start_by = due - service};
  }
  return {
      .is_late = true, .priority = priority, .start_by = deadline - service};
}

}  // namespace cassiabend
