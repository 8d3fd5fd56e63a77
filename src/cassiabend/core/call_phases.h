#pragma once

#include <algorithm>

#include "cassiabend/base/time.h"
#include "cassiabend/core/destination_times.h"

namespace cassiabend {

/// \brief Breakdown of the time from a call's arrival until its answer began.
struct CallPhases {
  /// From the call's arrival until its newest attempt was sent.
  Nanoseconds entry{0};
  /// In transit to the destination node and back.
  Nanoseconds between{0};
  /// Queued at the destination node.
  Nanoseconds queue{0};
  /// At the upstream.
  Nanoseconds upstream{0};

  [[nodiscard]] bool operator==(const CallPhases&) const = default;
};

/// \param times Times that the destination node reported.
/// \param sent Time from the call's arrival until its attempt was sent.
/// \param answered Time from then until the answer began.
[[nodiscard]] constexpr CallPhases PhasesOf(const DestinationTimes& times,
                                            Nanoseconds sent,
                                            Nanoseconds answered) noexcept {
  return {.entry = sent,
          .between = std::max<Nanoseconds>(answered - times.time_at_node,
                                           Nanoseconds(0)),
          .queue = times.time_at_node - times.service,
          .upstream = times.service};
}

}  // namespace cassiabend
