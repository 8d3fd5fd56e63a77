#pragma once

#include <compare>

#include "cassiabend/core/objective_order.h"

namespace cassiabend {

/// \brief Position of a waiting attempt in the queue; lower ranks are served
/// first.
///
/// Load pattern: more work than the slots can serve, part of which are inner
/// calls. The loss of an inner call wastes the whole run that waits for it, and
/// the run holds a slot meanwhile, so inner calls go before all new work.
struct QueueRank {
  /// Whether no run waits for it.
  bool is_new_work = true;
  ObjectiveRank objective;

  [[nodiscard]] auto operator<=>(const QueueRank&) const = default;
};

/// \returns The rank of an inner call. Its run needs the answer at all, and no
/// sooner than its deadline, so neither objective nor priority counts.
[[nodiscard]] constexpr QueueRank RankInnerCall(MonoTime now,
                                                MonoTime deadline,
                                                Nanoseconds service) noexcept {
  return {
      .is_new_work = false,
      .objective = RankByObjective(now, 0, MonoTime::max(), deadline, service)};
}

}  // namespace cassiabend
