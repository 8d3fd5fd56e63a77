#pragma once

#include <cmath>

#include "cassiabend/base/time.h"

namespace cassiabend {

/// \brief Rate at which calls arrive, as an average that decays exponentially
/// with the age of the arrivals.
class ArrivalRate {
 public:
  /// \brief Counts one arrival.
  void Record(MonoTime now) noexcept {
    per_second_ = PerSecond(now) + 1.0 / kWindowSeconds;
    updated_at_ = now;
  }
  /// \returns Arrivals per second.
  [[nodiscard]] double PerSecond(MonoTime now) const noexcept {
    const double age =
        std::chrono::duration<double>(now - updated_at_).count() /
        kWindowSeconds;
    return per_second_ * std::exp(-age);
  }

 private:
  /// Age at which an arrival counts 1/e: long compared with the time in a
  /// queue, short compared with the bursts that must be detected.
  static constexpr double kWindowSeconds = 0.5;

  double per_second_ = 0.0;
  MonoTime updated_at_{};
};

}  // namespace cassiabend
