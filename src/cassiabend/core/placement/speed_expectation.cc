#include "cassiabend/core/placement/speed_expectation.h"

#include <algorithm>
#include <cmath>

namespace cassiabend {
namespace {

/// Weight of the newest figure in a mean.
constexpr double kNewestWeight = 0.1;
/// Bounds of one measured ratio: a single long call says little.
constexpr double kMinMeasured = 0.3;
constexpr double kMaxMeasured = 5.0;

double RemainingWeight(Nanoseconds age, Milliseconds half_life) noexcept {
  return std::exp2(-static_cast<double>(age.count()) /
                   static_cast<double>(Nanoseconds(half_life).count()));
}

}  // namespace

double SpeedExpectation::MeasuredAt(MonoTime now) const noexcept {
  if (measured_at_ == MonoTime{}) {
    return 1.0;
  }
  return 1.0 + (measured_ - 1.0) *
                   RemainingWeight(now - measured_at_, kMeasuredHalfLife);
}

void SpeedExpectation::RecordMeasured(MonoTime now, double ratio) noexcept {
  measured_ = MeasuredAt(now);
  measured_ += (std::clamp(ratio, kMinMeasured, kMaxMeasured) - measured_) *
               kNewestWeight;
  measured_at_ = now;
}

void SpeedExpectation::RecordTold(MonoTime now,
                                  std::uint32_t time_percent) noexcept {
  if (time_percent == 0) {
    return;
  }
  told_ = time_percent;
  usually_told_ = usually_told_ == 0.0
                      ? told_
                      : usually_told_ + (told_ - usually_told_) * kNewestWeight;
  told_at_ = now;
}

double SpeedExpectation::At(MonoTime now) const noexcept {
  const double measured = MeasuredAt(now);
  if (told_ == 0.0) {
    return measured;
  }
  const double ratio =
      std::clamp(told_ / usually_told_, kMinToldRatio, kMaxToldRatio);
  return measured *
         (1.0 + (ratio - 1.0) * RemainingWeight(now - told_at_, kToldHalfLife));
}

}  // namespace cassiabend
