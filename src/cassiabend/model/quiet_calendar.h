#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "cassiabend/base/time.h"
#include "cassiabend/model/config.h"
#include "cassiabend/model/time_zone.h"

namespace cassiabend {

/// \brief A half-open range of wall-clock time.
struct TimeRange {
  WallTime begin{};
  WallTime end{};

  [[nodiscard]] bool operator==(const TimeRange&) const = default;
};

/// \brief Whether `rule` is a time zone rule that `TimeZone` accepts.
[[nodiscard]] bool IsTimeZoneRule(std::string_view rule);

/// \brief Computes the ranges of one window that overlap [from, to), merged,
/// sorted and not clipped to it. Weekly windows are evaluated in the local time
/// of the site. Daylight saving skips some local times: a window that begins at
/// one of them begins at the end of the gap. A local time that occurs twice is
/// quiet both times.
/// \throws ModelError when `time_zone` is not a time zone rule.
[[nodiscard]] std::vector<TimeRange> QuietRanges(const QuietWindow& window,
                                                 std::string_view time_zone,
                                                 WallTime from,
                                                 WallTime to);
[[nodiscard]] std::vector<TimeRange> QuietRanges(const QuietWindow& window,
                                                 const TimeZone& zone,
                                                 WallTime from,
                                                 WallTime to);

/// \brief Sorts ranges and merges those that adjoin or overlap.
[[nodiscard]] std::vector<TimeRange> MergeRanges(std::vector<TimeRange> ranges);

}  // namespace cassiabend
