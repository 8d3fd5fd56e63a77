#pragma once

#include <cstdint>

#include "cassiabend/base/time.h"

namespace cassiabend {

/// \brief Expects how long work takes at one upstream now, as a factor on the
/// mean of its service.
///
/// Load pattern: hosts of one service differ in speed for good, and each is
/// slower or faster for moments as others work on it. The first shows in the
/// times of answers, the second only in what the upstream tells at the moment.
/// What it tells counts against its own usual figure, so that it does not
/// matter whether figures are true across hosts, and one that always claims the
/// same gains nothing.
class SpeedExpectation {
 public:
  /// Time in which the measured factor loses half of its weight.
  static constexpr Milliseconds kMeasuredHalfLife{20'000};
  /// Time in which a told figure loses half of its weight.
  static constexpr Milliseconds kToldHalfLife{300};
  /// Bounds of a told figure against the upstream's usual one.
  static constexpr double kMinToldRatio = 0.5;
  static constexpr double kMaxToldRatio = 2.0;

  /// \param ratio Service time of an answer against the mean of its class.
  void RecordMeasured(MonoTime now, double ratio) noexcept;
  /// \param time_percent Time that work takes, in hundredths of the usual; 0 is
  /// ignored, as unknown.
  void RecordTold(MonoTime now, std::uint32_t time_percent) noexcept;

  [[nodiscard]] double At(MonoTime now) const noexcept;

 private:
  [[nodiscard]] double MeasuredAt(MonoTime now) const noexcept;

  double measured_ = 1.0;
  MonoTime measured_at_{};
  double told_ = 0.0;
  double usually_told_ = 0.0;
  MonoTime told_at_{};
};

}  // namespace cassiabend
