#pragma once

#include <cstdint>

#include "cassiabend/base/time.h"

namespace cassiabend {

/// \brief Load and times that a destination node reports with each answer and
/// refusal, for the choice of upstreams for later calls.
struct DestinationTimes {
  /// Calls that run at its upstream or wait for it, in thousandths of the
  /// slots.
  std::uint16_t load_permille = 0;
  /// Time from the attempt's arrival there to the start of its answer.
  Milliseconds time_at_node{0};
  /// Part of that time spent at the upstream; 0 if it was not reached.
  Milliseconds service{0};
  /// Time that work takes at its upstream at present, in hundredths of the
  /// usual; 0 if that is unknown.
  std::uint16_t time_percent = 0;

  [[nodiscard]] bool operator==(const DestinationTimes&) const = default;
};

}  // namespace cassiabend
