#pragma once

#include <chrono>

#include "cassiabend/base/clock.h"
#include "tools/soak_history.h"

namespace cassiabend::soak {

/// \brief Clock that starts at 0 when it is constructed.
class RunClock {
 public:
  explicit RunClock(const Clock& clock)
      : clock_(clock), start_(clock.Now().mono) {}

  [[nodiscard]] RunTime Now() const noexcept {
    return std::chrono::duration_cast<RunTime>(clock_.Now().mono - start_);
  }

 private:
  const Clock& clock_;
  MonoTime start_;
};

}  // namespace cassiabend::soak
