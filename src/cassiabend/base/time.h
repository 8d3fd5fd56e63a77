#pragma once

#include <chrono>
#include <cstdint>

namespace cassiabend {

using Nanoseconds = std::chrono::nanoseconds;
using Microseconds = std::chrono::microseconds;
using Milliseconds = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

/// \brief Clock type of `MonoTime`. This time also counts while the host is
/// suspended. It has no now(): it is read through `Clock`.
struct BootTimeline {
  using rep = std::int64_t;
  using period = std::nano;
  using duration = Nanoseconds;
  using time_point = std::chrono::time_point<BootTimeline, Nanoseconds>;
  // The standard's requirements of a clock prescribe this name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;
};

/// \brief Monotonic time, in nanoseconds since the host started.
using MonoTime = BootTimeline::time_point;

/// \brief Wall-clock time, in milliseconds since the Unix epoch, UTC.
using WallTime = std::chrono::sys_time<Milliseconds>;

/// \brief One reading of both clocks.
struct Instant {
  MonoTime mono{};
  WallTime wall{};

  [[nodiscard]] auto operator<=>(const Instant&) const = default;
};

}  // namespace cassiabend
