#include "cassiabend/model/quiet_calendar.h"

#include <algorithm>
#include <utility>

#include "cassiabend/base/error.h"

namespace cassiabend {
namespace {

using LocalTime = std::chrono::local_seconds;

/// \brief Appends `range` unclipped if it is not empty and overlaps [from, to).
void AppendIfOverlaps(const TimeRange& range,
                      WallTime from,
                      WallTime to,
                      std::vector<TimeRange>* out) {
  if (range.begin < range.end && range.end > from && range.begin < to) {
    out->push_back(range);
  }
}

bool BeginsOn(const WeeklySchedule& schedule, std::chrono::local_days day) {
  const unsigned bit = std::chrono::weekday(day).c_encoding();
  return ((schedule.weekdays >> bit) & 1U) != 0;
}

/// \brief Appends the part of `period` during which the local time is in
/// [begin, end).
void AppendLocalRange(LocalTime begin,
                      LocalTime end,
                      const OffsetPeriod& period,
                      std::vector<TimeRange>* out) {
  const WallTime utc_begin =
      std::chrono::sys_seconds(begin.time_since_epoch() - period.offset);
  const WallTime utc_end =
      std::chrono::sys_seconds(end.time_since_epoch() - period.offset);
  const TimeRange range{std::max(utc_begin, period.begin),
                        std::min(utc_end, period.end)};
  if (range.begin < range.end) {
    out->push_back(range);
  }
}

std::chrono::local_days LocalDay(WallTime time) {
  return std::chrono::local_days(
      std::chrono::floor<std::chrono::days>(time).time_since_epoch());
}

std::vector<TimeRange> WeeklyRanges(const WeeklySchedule& schedule,
                                    const TimeZone& zone,
                                    WallTime from,
                                    WallTime to) {
  // A window lasts at most one day, and the local date differs from the UTC
  // date by at most one day.
  constexpr std::chrono::days kMargin{3};
  const std::vector<OffsetPeriod> periods =
      zone.Periods(from - kMargin, to + kMargin);
  const std::chrono::days length(schedule.to <= schedule.from ? 1 : 0);
  std::vector<TimeRange> all;
  for (auto day = LocalDay(from) - kMargin + std::chrono::days(1);
       day <= LocalDay(to) + std::chrono::days(1);
       day += std::chrono::days(1)) {
    if (!BeginsOn(schedule, day)) {
      continue;
    }
    for (const OffsetPeriod& it : periods) {
      AppendLocalRange(day + schedule.from, day + length + schedule.to, it,
                       &all);
    }
  }
  std::vector<TimeRange> out;
  for (const TimeRange& it : MergeRanges(std::move(all))) {
    AppendIfOverlaps(it, from, to, &out);
  }
  return out;
}

}  // namespace

bool IsTimeZoneRule(std::string_view rule) {
  try {
    const TimeZone zone(rule);
    return true;
  } catch (const ModelError&) {
    return false;
  }
}

std::vector<TimeRange> QuietRanges(const QuietWindow& window,
                                   std::string_view time_zone,
                                   WallTime from,
                                   WallTime to) {
  return QuietRanges(window, TimeZone(time_zone), from, to);
}

std::vector<TimeRange> QuietRanges(const QuietWindow& window,
                                   const TimeZone& zone,
                                   WallTime from,
                                   WallTime to) {
  if (const auto* once = std::get_if<OnceSchedule>(&window.schedule)) {
    std::vector<TimeRange> out;
    AppendIfOverlaps({once->begin, once->end}, from, to, &out);
    return out;
  }
  return WeeklyRanges(std::get<WeeklySchedule>(window.schedule), zone, from,
                      to);
}

std::vector<TimeRange> MergeRanges(std::vector<TimeRange> ranges) {
  std::ranges::sort(ranges, {}, &TimeRange::begin);
  std::vector<TimeRange> out;
  for (const TimeRange& it : ranges) {
    if (!out.empty() && it.begin <= out.back().end) {
      out.back().end = std::max(out.back().end, it.end);
      continue;
    }
    out.push_back(it);
  }
  return out;
}

}  // namespace cassiabend
