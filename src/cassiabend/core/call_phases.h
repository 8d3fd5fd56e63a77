#pragma once

#include <algorithm>

#include "cassiabend/base/time.h"
#include "cassiabend/core/destination_times.h"

namespace cassiabend {

/// \brief Where the time of a call went until its answer began.
struct CallPhases {
  /// From its arrival until its newest attempt was sent.
  Nanoseconds entry{0};
  /// On the way to the upstream's node and back.
  Nanoseconds between{0};
  /// Waiting at the upstream's node.
  Nanoseconds queue{0};
  /// At the upstream.
  Nanoseconds upstream{0};

  [[nodiscard]] bool operator==(const CallPhases&) const = default;
};

/// \param sent From the call's arrival until its attempt was sent.
/// \param answered From then until the answer began.
[[nodiscard]] constexpr CallPhases PhasesOf(const DestinationTimes& times,
                                            Nanoseconds sent,
                                            Nanoseconds answered) noexcept {
  return {
      .entry = sent,
      .between = std::max<Nanoseconds>(answered - times.stay, Nanoseconds(0)),
      .queue = times.stay - times.service,
      .upstream = times.service};
}

}  // namespace cassiabend
