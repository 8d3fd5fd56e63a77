#pragma once

#include <cstdint>
#include <optional>

#include "cassiabend/base/time.h"

namespace cassiabend {

/// \brief Limits within which calls may go to a version that is not yet known
/// to be good.
struct ExposureLimits {
  /// Share of the service's calls during the roll-out, in thousandths.
  std::uint32_t permille = 0;
  /// Calls beyond that share.
  std::uint32_t slack = 0;
};

/// \brief What the next step of a roll-out depends on.
struct RolloutProgress {
  /// Time since the order.
  Nanoseconds elapsed{0};
  Milliseconds duration{0};
  /// Time since the present share was set.
  Nanoseconds at_step{0};
  std::uint32_t share_permille = 0;
  /// Calls per second that the service gets; 0 while unknown.
  double calls_per_s = 0;
  /// Answers of the target version since the order.
  std::uint32_t new_answers = 0;
  /// Whether upstreams of the target version serve.
  bool has_upstreams = false;
  /// Whether upstreams of other versions serve.
  bool has_old_upstreams = true;
};

/// \returns The share that the target version gets next, in thousandths; unset
/// to keep the present one. Assumes that nothing speaks against the version.
///
/// The first share lets the version be judged on a third of what it may get
/// while it is not known to be good; it lasts for half of the time, in which
/// late faults show. A quarter of the calls and then all follow.
[[nodiscard]] std::optional<std::uint32_t> NextShare(
    const ExposureLimits& limits,
    const RolloutProgress& progress);

}  // namespace cassiabend
