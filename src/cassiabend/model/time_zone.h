#pragma once

#include <memory>
#include <string_view>
#include <vector>

#include "cassiabend/base/time.h"

namespace cassiabend {

/// \brief A period during which the UTC offset of a time zone is constant.
struct OffsetPeriod {
  WallTime begin{};
  /// Exclusive.
  WallTime end{};
  /// Local time minus UTC.
  Seconds offset{0};

  [[nodiscard]] bool operator==(const OffsetPeriod&) const = default;
};

/// \brief A time zone with its daylight saving rule, in the notation of
/// Boost.DateTime's `posix_time_zone`: "PST-08" is 8 hours behind UTC, with the
/// opposite sign of the TZ variable of POSIX.
class TimeZone {
 public:
  /// \throws ModelError when `rule` is not a time zone rule.
  explicit TimeZone(std::string_view rule);

  /// \returns The consecutive periods that make up [from, to).
  [[nodiscard]] std::vector<OffsetPeriod> Periods(WallTime from,
                                                  WallTime to) const;

 private:
  struct Rule;
  std::shared_ptr<const Rule> rule_;
};

}  // namespace cassiabend
