#include "cassiabend/model/time_text.h"

#include <cstdio>

#include "cassiabend/model/text_scanner.h"

namespace cassiabend {
namespace {

constexpr int kMinutesPerHour = 60;

/// \brief Reads an optional ".mmm".
/// \returns Milliseconds; 0 when it is absent, -1 when it is malformed.
int ReadFraction(TextScanner* in) {
  return in->Consume('.') ? in->ReadNumber(3, 999) : 0;
}

}  // namespace

std::string FormatWallTime(WallTime time) {
  const auto day = std::chrono::floor<std::chrono::days>(time);
  const std::chrono::year_month_day date(day);
  const std::chrono::hh_mm_ss clock(time - day);
  char buf[64];
  std::snprintf(buf, sizeof(buf), "%04d-%02u-%02uT%02d:%02d:%02d",
                static_cast<int>(date.year()),
                static_cast<unsigned>(date.month()),
                static_cast<unsigned>(date.day()),
                static_cast<int>(clock.hours().count()),
                static_cast<int>(clock.minutes().count()),
                static_cast<int>(clock.seconds().count()));
  std::string out = buf;
  if (clock.subseconds().count() != 0) {
    std::snprintf(buf, sizeof(buf), ".%03d",
                  static_cast<int>(clock.subseconds().count()));
    out += buf;
  }
  return out + "Z";
}

std::optional<WallTime> ParseWallTime(std::string_view text) {
  TextScanner in(text);
  const int year = in.ReadNumber(4, 9999);
  const bool dash = in.Consume('-');
  const int month = in.ReadNumber(2, 12);
  const bool dash2 = in.Consume('-');
  const int day = in.ReadNumber(2, 31);
  const bool separator = in.Consume('T');
  const int hour = in.ReadNumber(2, 23);
  const bool colon = in.Consume(':');
  const int minute = in.ReadNumber(2, 59);
  const bool colon2 = in.Consume(':');
  const int second = in.ReadNumber(2, 59);
  const int fraction = ReadFraction(&in);
  const bool zone = in.Consume('Z');
  if (!dash || !dash2 || !separator || !colon || !colon2 || !zone ||
      !in.AtEnd() || year < 0 || month < 1 || day < 1 || hour < 0 ||
      minute < 0 || second < 0 || fraction < 0) {
    return std::nullopt;
  }
  const std::chrono::year_month_day date(
      std::chrono::year{year}, std::chrono::month(static_cast<unsigned>(month)),
      std::chrono::day(static_cast<unsigned>(day)));
  if (!date.ok()) {
    return std::nullopt;
  }
  return std::chrono::sys_days(date) + std::chrono::hours(hour) +
         std::chrono::minutes(minute) + Seconds(second) +
         Milliseconds(fraction);
}

std::string FormatTimeOfDay(std::chrono::minutes minutes) {
  char buf[32];
  std::snprintf(buf, sizeof(buf), "%02d:%02d",
                static_cast<int>(minutes.count()) / kMinutesPerHour,
                static_cast<int>(minutes.count()) % kMinutesPerHour);
  return buf;
}

std::optional<std::chrono::minutes> ParseTimeOfDay(std::string_view text) {
  TextScanner in(text);
  const int hour = in.ReadNumber(2, 23);
  const bool colon = in.Consume(':');
  const int minute = in.ReadNumber(2, 59);
  if (hour < 0 || !colon || minute < 0 || !in.AtEnd()) {
    return std::nullopt;
  }
  return std::chrono::minutes(hour * kMinutesPerHour + minute);
}

}  // namespace cassiabend
