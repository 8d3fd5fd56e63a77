#pragma once

#include "cassiabend/base/time.h"

namespace cassiabend {

/// \brief Source of the current time, which is passed to code that needs it.
class Clock {
 public:
  Clock() = default;
  Clock(const Clock&) = delete;
  Clock& operator=(const Clock&) = delete;
  virtual ~Clock() = default;

  /// \returns The current time of the monotonic and of the wall clock.
  [[nodiscard]] virtual Instant Now() const noexcept = 0;
};

/// \brief The operating system's clocks.
class SystemClock final : public Clock {
 public:
  [[nodiscard]] Instant Now() const noexcept override;
};

/// \brief A clock that moves only by calls of its methods, for tests and
/// examples.
class ManualClock final : public Clock {
 public:
  explicit ManualClock(Instant start = {}) : now_(start) {}

  [[nodiscard]] Instant Now() const noexcept override { return now_; }

  /// \brief Moves both clocks forward by `step`.
  void Advance(Nanoseconds step) noexcept;
  /// \brief Moves only the wall clock, as a time correction would.
  void StepWall(Milliseconds step) noexcept { now_.wall += step; }

 private:
  Instant now_;
};

}  // namespace cassiabend
