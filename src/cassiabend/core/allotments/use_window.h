#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <cstdint>

#include "cassiabend/base/time.h"

namespace cassiabend {

/// \brief Calls counted over a sliding window of fixed length, in slots of a
/// twentieth of it.
class UseWindow {
 public:
  explicit UseWindow(Milliseconds window)
      : slot_(std::max<Nanoseconds>(window / kSlots, Milliseconds(1))) {}

  /// \brief Counts one call.
  void Add(MonoTime now) noexcept {
    Advance(now);
    ++counts_[Index(newest_)];
    ++sum_;
  }
  /// \brief Takes back a call that was counted at `at`, unless it has left the
  /// window.
  void Remove(MonoTime now, MonoTime at) noexcept {
    Advance(now);
    const std::int64_t slot = SlotOf(at);
    if (newest_ - slot > kSlots || counts_[Index(slot)] == 0) {
      return;
    }
    --counts_[Index(slot)];
    --sum_;
  }
  /// \returns Calls in the window up to `now`.
  [[nodiscard]] std::uint32_t Sum(MonoTime now) const noexcept {
    const std::int64_t slot = SlotOf(now);
    return slot <= newest_ ? sum_ : SumFrom(slot - kSlots);
  }
  /// \returns How many more calls there were in the last twentieth of the
  /// window or a little more than the fifth before lets expect, beyond what
  /// chance explains.
  [[nodiscard]] double Surge(MonoTime now) const noexcept {
    const std::int64_t newest = std::max(SlotOf(now), newest_);
    const std::int64_t first = newest - kSurgeSlots;
    const std::uint32_t recent = SumFrom(first);
    const std::uint32_t before = SumFrom(first - kRateSlots) - recent;
    const double expected = before * InSlots(now, first) / kRateSlots;
    return std::max(0.0, recent - expected - 3 * std::sqrt(expected) - 3);
  }
  /// \returns Calls per second over the last fifth of the window.
  [[nodiscard]] double PerSecond(MonoTime now) const noexcept {
    const std::int64_t first = std::max(SlotOf(now), newest_) - kRateSlots;
    return SumFrom(first) / InSlots(now, first) /
           std::chrono::duration<double>(slot_).count();
  }

 private:
  static constexpr std::int64_t kSlots = 20;
  static constexpr std::int64_t kRateSlots = 4;
  static constexpr std::int64_t kSurgeSlots = 1;
  /// The slot that `now` is in, and those before it.
  static constexpr std::int64_t kLength = kSlots + 1;

  [[nodiscard]] std::int64_t SlotOf(MonoTime at) const noexcept {
    return at.time_since_epoch() / slot_;
  }
  /// \returns The time since the start of a slot, in slots.
  [[nodiscard]] double InSlots(MonoTime now,
                               std::int64_t first) const noexcept {
    return static_cast<double>(
               (now.time_since_epoch() - first * slot_).count()) /
           static_cast<double>(slot_.count());
  }
  [[nodiscard]] static std::size_t Index(std::int64_t slot) noexcept {
    return static_cast<std::size_t>((slot % kLength + kLength) % kLength);
  }
  /// \returns Calls in the slots from `first` on.
  [[nodiscard]] std::uint32_t SumFrom(std::int64_t first) const noexcept {
    std::uint32_t sum = 0;
    for (std::int64_t i = std::max(first, newest_ - kSlots); i <= newest_;
         ++i) {
      sum += counts_[Index(i)];
    }
    return sum;
  }
  void Advance(MonoTime now) noexcept {
    const std::int64_t slot = SlotOf(now);
    for (std::int64_t i = std::max(newest_ + 1, slot - kSlots); i <= slot;
         ++i) {
      sum_ -= counts_[Index(i)];
      counts_[Index(i)] = 0;
    }
    newest_ = std::max(newest_, slot);
  }

  Nanoseconds slot_;
  std::int64_t newest_ = 0;
  std::uint32_t sum_ = 0;
  std::array<std::uint32_t, kLength> counts_{};
};

}  // namespace cassiabend
