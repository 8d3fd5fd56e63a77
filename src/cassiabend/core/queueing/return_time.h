#pragma once

#include <algorithm>
#include <cstdint>

#include "cassiabend/base/time.h"

namespace cassiabend {

/// \brief What a refusal for lack of room is based on.
struct Shortage {
  /// Time until all that waits has been served.
  Nanoseconds drain_time{0};
  /// Work that arrives, as a multiple of what the slots serve.
  double demand = 0;
  /// Priority of the refused call; 0 is the most urgent.
  std::uint32_t priority = 0;
};

/// \returns When a refused caller should come back.
///
/// Load pattern: a burst or a storm of repeats, whose refused callers come back
/// together, so that the overload outlasts its cause. While more arrives than
/// is served, the room at the end of the queue is not there for all: callers
/// come back the later the greater the demand is, and the less urgent after the
/// more urgent. Without excess demand the room is near, and so is the return.
[[nodiscard]] inline Milliseconds ReturnTime(const Shortage& it) noexcept {
  constexpr double kMostDemand = 4.0;
  constexpr std::uint32_t kMostSteps = 3;
  constexpr Milliseconds kLongest{2'000};
  const double excess = std::clamp(it.demand, 1.0, kMostDemand);
  const double steps =
      it.demand > 1.0 ? 1.0 + std::min(it.priority, kMostSteps) : 1.0;
  const auto wait =
      std::chrono::ceil<Milliseconds>(std::chrono::duration<double, std::nano>(
          static_cast<double>(it.drain_time.count()) * excess * steps));
  return std::min(wait, kLongest);
}

}  // namespace cassiabend
