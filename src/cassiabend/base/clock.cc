#include "cassiabend/base/clock.h"

#include <ctime>

namespace cassiabend {

Instant SystemClock::Now() const noexcept {
  timespec boot{};
  clock_gettime(CLOCK_BOOTTIME, &boot);
  const Nanoseconds since_boot =
      Seconds(boot.tv_sec) + Nanoseconds(boot.tv_nsec);
  const auto wall = std::chrono::system_clock::now();
  return {MonoTime(since_boot),
          std::chrono::time_point_cast<Milliseconds>(wall)};
}

void ManualClock::Advance(Nanoseconds step) noexcept {
  now_.mono += step;
  now_.wall += std::chrono::duration_cast<Milliseconds>(step);
}

}  // namespace cassiabend
