#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "cassiabend/base/time.h"

namespace cassiabend {

/// \brief Limits new work at this host's upstream to what the inner calls of
/// its runs allow.
///
/// Load pattern: the services that runs call are short of room, so that runs
/// fail after they took a slot and, with their other inner calls, room that
/// would have served others. The fewer of the inner calls are served, the less
/// new work starts. One run is always let through, which finds out when there
/// is room again.
class RunGate {
 public:
  /// \brief Counts an inner call of this host's upstream that has ended.
  void Record(MonoTime now, bool was_served) noexcept {
    Decay(now);
    ++(was_served ? served_ : failed_);
  }
  /// \returns How many of `slots` may hold new work.
  [[nodiscard]] std::uint32_t SlotsForNewWork(MonoTime now,
                                              std::uint32_t slots) noexcept {
    Decay(now);
    const double all = served_ + failed_;
    if (all < kMinCalls || failed_ < all * kUsualFailures) {
      return slots;
    }
    const double open = slots * served_ / all;
    return std::max<std::uint32_t>(
        1, static_cast<std::uint32_t>(std::lround(open)));
  }

 private:
  /// Age at which an inner call counts 1/e: some times the time that one takes,
  /// short against the time limits of callers.
  static constexpr double kWindowSeconds = 0.7;
  /// Calls that tell something, and the share that fails in any case.
  static constexpr double kMinCalls = 4;
  static constexpr double kUsualFailures = 0.1;

  void Decay(MonoTime now) noexcept {
    const double age =
        std::chrono::duration<double>(now - counted_at_).count() /
        kWindowSeconds;
    served_ *= std::exp(-age);
    failed_ *= std::exp(-age);
    counted_at_ = now;
  }

  double served_ = 0;
  double failed_ = 0;
  MonoTime counted_at_{};
};

}  // namespace cassiabend
