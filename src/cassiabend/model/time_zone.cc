#include "cassiabend/model/time_zone.h"

#include <algorithm>
#include <array>
#include <boost/date_time/local_time/posix_time_zone.hpp>
#include <boost/date_time/posix_time/posix_time_types.hpp>
#include <string>

#include "cassiabend/base/error.h"
#include "cassiabend/model/text_scanner.h"

namespace cassiabend {
namespace {

namespace local_time = boost::local_time;
namespace posix_time = boost::posix_time;

/// Range of years for which Boost.DateTime can compute transitions.
constexpr int kFirstYear = 1400;
constexpr int kLastYear = 9998;

constexpr std::size_t kMinZoneName = 3;
constexpr std::size_t kMaxZoneName = 6;

bool ScanZoneName(TextScanner* in) {
  const std::size_t n = in->SkipLetters();
  return n >= kMinZoneName && n <= kMaxZoneName;
}

/// \brief Consumes "HH", "HH:MM" or "HH:MM:SS".
bool ScanClock(TextScanner* in) {
  if (in->ReadNumber(2, 24) < 0) {
    return false;
  }
  for (int field = 0; field < 2 && in->Consume(':'); ++field) {
    if (in->ReadNumber(2, 59) < 0) {
      return false;
    }
  }
  return true;
}

bool ScanOffset(TextScanner* in) {
  return (in->Consume('+') || in->Consume('-')) && ScanClock(in);
}

/// \brief Consumes ",Mm.w.d" with an optional "/HH:MM".
bool ScanTransition(TextScanner* in) {
  if (!in->Consume(',') || !in->Consume('M')) {
    return false;
  }
  int month = in->ReadNumber(2, 12);
  if (month < 0) {
    month = in->ReadNumber(1, 9);
  }
  const bool dot = in->Consume('.');
  const int week = in->ReadNumber(1, 5);
  const bool dot2 = in->Consume('.');
  const int day = in->ReadNumber(1, 6);
  if (month < 1 || week < 1 || day < 0 || !dot || !dot2) {
    return false;
  }
  return !in->Consume('/') || ScanClock(in);
}

/// \brief Whether `rule` is a name with an offset, optionally followed by a
/// daylight saving name with an optional offset and the first and last day of
/// daylight saving, each given by month, week and weekday.
bool HasRuleForm(std::string_view rule) {
  TextScanner in(rule);
  if (!ScanZoneName(&in) || !ScanOffset(&in)) {
    return false;
  }
  if (in.AtEnd()) {
    return true;
  }
  if (!ScanZoneName(&in)) {
    return false;
  }
  if (!in.NextIs(',') && !ScanOffset(&in)) {
    return false;
  }
  return ScanTransition(&in) && ScanTransition(&in) && in.AtEnd();
}

Seconds ToSeconds(const posix_time::time_duration& duration) {
  return Seconds(duration.total_seconds());
}

std::chrono::sys_seconds ToSysSeconds(const posix_time::ptime& time) {
  static const posix_time::ptime epoch(boost::gregorian::date(1970, 1, 1));
  return std::chrono::sys_seconds(ToSeconds(time - epoch));
}

int YearOf(WallTime time) {
  const std::chrono::year_month_day date(
      std::chrono::floor<std::chrono::days>(time));
  return std::clamp(static_cast<int>(date.year()), kFirstYear, kLastYear);
}

/// \brief A change of the UTC offset.
struct Transition {
  WallTime at{};
  Seconds offset{0};
};

}  // namespace

struct TimeZone::Rule {
  explicit Rule(const std::string& text) : zone(text) {}

  /// \returns The two transitions of one year, in order.
  [[nodiscard]] std::array<Transition, 2> TransitionsOf(int year) const {
    const auto y = static_cast<boost::gregorian::greg_year>(
        static_cast<unsigned short>(year));
    const Seconds base = ToSeconds(zone.base_utc_offset());
    const Seconds summer = base + ToSeconds(zone.dst_offset());
    const Transition start{ToSysSeconds(zone.dst_local_start_time(y)) - base,
                           summer};
    const Transition end{ToSysSeconds(zone.dst_local_end_time(y)) - summer,
                         base};
    if (start.at < end.at) {
      return {start, end};
    }
    return {end, start};
  }

  local_time::posix_time_zone zone;
};

TimeZone::TimeZone(std::string_view rule) {
  const std::string text(rule);
  if (!HasRuleForm(rule)) {
    throw ModelError("cannot parse the time zone rule", text,
                     "it must have the form NAME+HH or "
                     "NAME+HHNAME,Mm.w.d/HH:MM,Mm.w.d/HH:MM");
  }
  try {
    rule_ = std::make_shared<const Rule>(text);
  } catch (const std::exception& e) {
    throw ModelError("cannot parse the time zone rule", text, e.what());
  }
}

std::vector<OffsetPeriod> TimeZone::Periods(WallTime from, WallTime to) const {
  const Seconds base = ToSeconds(rule_->zone.base_utc_offset());
  if (!rule_->zone.has_dst()) {
    return {{from, to, base}};
  }
  std::vector<OffsetPeriod> out;
  OffsetPeriod period{from, to, base};
  for (int year = YearOf(from) - 1; year <= YearOf(to) + 1; ++year) {
    for (const Transition& it : rule_->TransitionsOf(year)) {
      if (it.at <= from) {
        period.offset = it.offset;
        continue;
      }
      if (it.at >= to) {
        continue;
      }
      period.end = it.at;
      out.push_back(period);
      period = {it.at, to, it.offset};
    }
  }
  out.push_back(period);
  return out;
}

}  // namespace cassiabend
