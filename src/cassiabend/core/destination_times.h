#pragma once

#include "cassiabend/base/time.h"

namespace cassiabend {

/// \brief What a destination node says with each answer and refusal, for the
/// choice of later upstreams.
struct DestinationTimes {
  /// Calls that its upstream has and that wait for it, in thousandths of the
  /// slots.
  std::uint16_t load_permille = 0;
  /// Time from the attempt's arrival there to its answer.
  Milliseconds stay{0};
  /// The part of it that the upstream took; 0 when it was not asked.
  Milliseconds service{0};

  [[nodiscard]] bool operator==(const DestinationTimes&) const = default;
};

}  // namespace cassiabend
