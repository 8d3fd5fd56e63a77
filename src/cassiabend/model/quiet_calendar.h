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

/// \brief Whether `rule` is a zone rule that `QuietRanges` can evaluate.
[[nodiscard]] bool IsTimeZoneRule(std::string_view rule);

/// \brief The ranges of one window that touch [from, to), merged and sorted.
/// Weekly windows are evaluated in the site's local time: a local time that
/// daylight saving skips counts from the end of the gap, and one that occurs
/// twice is quiet both times.
[[nodiscard]] std::vector<TimeRange> QuietRanges(const QuietWindow& window,
                                                 std::string_view time_zone,
                                                 WallTime from,
                                                 WallTime to);
[[nodiscard]] std::vector<TimeRange> QuietRanges(const QuietWindow& window,
                                                 const TimeZone& zone,
                                                 WallTime from,
                                                 WallTime to);

/// \brief Sorts ranges and joins those that touch or overlap.
[[nodiscard]] std::vector<TimeRange> MergeRanges(std::vector<TimeRange> ranges);

}  // namespace cassiabend
