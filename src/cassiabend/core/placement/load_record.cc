#include "cassiabend/core/placement/load_record.h"

#include <algorithm>
#include <cmath>

namespace cassiabend {
namespace {

double ToMs(Nanoseconds time) noexcept {
  return std::chrono::duration<double, std::milli>(time).count();
}

std::uint32_t BoundSlots(std::uint32_t reported, std::uint32_t known) noexcept {
  if (reported == 0) {
    return known;
  }
  if (known == 0) {
    return std::min(reported, LoadRecord::kMaxSlots);
  }
  const std::uint32_t least = std::max(known / LoadRecord::kMaxSlotsFactor, 1U);
  return std::clamp(reported, least, known * LoadRecord::kMaxSlotsFactor);
}

}  // namespace

void LoadRecord::Record(MonoTime now,
                        const UpstreamLoad& reported,
                        std::uint32_t known_slots) noexcept {
  newest_.slots = BoundSlots(reported.slots, known_slots);
  const std::uint32_t slots = std::max(newest_.slots, 1U);
  newest_.running = std::min(reported.running, slots);
  newest_.waiting = std::min(reported.waiting, slots * kMaxWaitingFactor);
  RecordSpeed(now, reported.time_percent);
  reported_at_ = now;
}

void LoadRecord::RecordSpeed(MonoTime now,
                             std::uint32_t time_percent) noexcept {
  if (time_percent == 0) {
    return;
  }
  const double sample =
      std::clamp(time_percent, kMinTimePercent, kMaxTimePercent);
  const Nanoseconds age = now - speed_reported_at_;
  if (mean_time_percent_ == 0.0 || age >= kHorizon) {
    mean_time_percent_ = sample;
  } else {
    // Reports that come together count as one: a burst of answers says no more
    // of the time that it took than a single one.
    constexpr double kLeastWeight = 0.05;
    const double weight = std::max(
        1.0 - std::exp2(-ToMs(age) / ToMs(kSpeedHalfLife)), kLeastWeight);
    mean_time_percent_ += (sample - mean_time_percent_) * weight;
  }
  speed_reported_at_ = now;
}

std::optional<UpstreamLoad> LoadRecord::At(MonoTime now) const noexcept {
  if (!reported_at_ || now - *reported_at_ >= kHorizon) {
    return std::nullopt;
  }
  UpstreamLoad load = newest_;
  const bool has_speed =
      mean_time_percent_ > 0.0 && now - speed_reported_at_ < kHorizon;
  load.time_percent =
      has_speed ? static_cast<std::uint32_t>(std::lround(mean_time_percent_))
                : 0;
  return load;
}

}  // namespace cassiabend
