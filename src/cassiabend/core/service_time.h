#pragma once

#include "cassiabend/base/time.h"

namespace cassiabend {

/// \brief Mean and deviation of the time that attempts take at the upstream,
/// weighted towards the newest ones.
class ServiceTime {
 public:
  [[nodiscard]] Nanoseconds mean() const noexcept { return mean_; }
  /// \returns A time that most attempts stay within: mean plus deviation.
  [[nodiscard]] Nanoseconds mean_plus_deviation() const noexcept {
    return mean_ + deviation_;
  }

  void Record(Nanoseconds sample) noexcept {
    if (mean_ == Nanoseconds(0)) {
      mean_ = sample;
      return;
    }
    const Nanoseconds difference = std::chrono::abs(sample - mean_);
    mean_ += (sample - mean_) / kWindow;
    deviation_ += (difference - deviation_) / kWindow;
  }

 private:
  /// Weight of the newest sample is 1 / kWindow.
  static constexpr int kWindow = 16;

  Nanoseconds mean_{0};
  /// Mean absolute deviation from the mean.
  Nanoseconds deviation_{0};
};

}  // namespace cassiabend
