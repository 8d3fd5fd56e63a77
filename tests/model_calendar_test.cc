#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <sstream>

#include "cassiabend/model/quiet_calendar.h"
#include "cassiabend/model/snapshot.h"
#include "cassiabend/model/time_text.h"
#include "tests/support/configs.h"

namespace cassiabend {
namespace {

using testing::kSeattleTimeZone;
using testing::NightWindow;
using testing::SmallConfig;

constexpr char kReykjavik[] = "GMT+00";
constexpr char kSydney[] = "AEST+10AEDT,M10.1.0/02:00,M4.1.0/03:00";
constexpr std::uint8_t kEveryDay = 0x7F;

WallTime At(const char* text) {
  const auto time = ParseWallTime(text);
  REQUIRE(time.has_value());
  return *time;
}

QuietWindow Weekly(std::uint8_t days, const char* from, const char* to) {
  return {.name = "w",
          .site = "press",
          .schedule =
              WeeklySchedule{days, *ParseTimeOfDay(from), *ParseTimeOfDay(to)}};
}

std::string TextOf(const std::vector<TimeRange>& ranges) {
  std::ostringstream out;
  for (const TimeRange& it : ranges) {
    out << FormatWallTime(it.begin) << '/' << FormatWallTime(it.end) << ' ';
  }
  return out.str();
}

TEST_CASE("malformed time zone rules are refused") {
  for (const char* rule : {kSeattleTimeZone, kReykjavik, kSydney, "MST-07"}) {
    CAPTURE(rule);
    CHECK(IsTimeZoneRule(rule));
  }
  for (const char* rule :
       {"", "GMT", "Europe/Oslo", "PST-08PDT", "PST-08PDT,M3.2.0/02:00",
        "PST-08PDT,M13.2.0/02:00,M11.1.0/02:00", "GMT+00 ", "GMT+0"}) {
    CAPTURE(rule);
    CHECK_FALSE(IsTimeZoneRule(rule));
  }
}

TEST_CASE("weekly windows follow local time through daylight saving") {
  struct Row {
    const char* title;
    const char* zone;
    QuietWindow window;
    const char* from;
    const char* to;
    const char* expected;
  };
  // Transitions in local time.
  // Seattle: 02:00 -> 03:00 on 2026-03-08, 02:00 -> 01:00 on 2026-11-01.
  // Sydney: 03:00 -> 02:00 on 2026-04-05, 02:00 -> 03:00 on 2026-10-04.
  const Row rows[] = {
      {"no daylight saving", kReykjavik, Weekly(kEveryDay, "22:00", "07:00"),
       "2026-03-08T12:00:00Z", "2026-03-09T12:00:00Z",
       "2026-03-08T22:00:00Z/2026-03-09T07:00:00Z "},
      {"one weekday", kReykjavik, Weekly(1 << 1, "10:00", "11:00"),
       "2026-03-01T00:00:00Z", "2026-03-10T00:00:00Z",
       "2026-03-02T10:00:00Z/2026-03-02T11:00:00Z "
       "2026-03-09T10:00:00Z/2026-03-09T11:00:00Z "},
      {"night over the spring gap", kSeattleTimeZone,
       Weekly(kEveryDay, "22:00", "07:00"), "2026-03-08T00:00:00Z",
       "2026-03-09T00:00:00Z", "2026-03-08T06:00:00Z/2026-03-08T14:00:00Z "},
      {"begins in the gap", kSeattleTimeZone, Weekly(1 << 0, "02:30", "04:00"),
       "2026-03-08T00:00:00Z", "2026-03-09T00:00:00Z",
       "2026-03-08T10:00:00Z/2026-03-08T11:00:00Z "},
      {"ends in the gap", kSeattleTimeZone, Weekly(1 << 0, "01:00", "02:30"),
       "2026-03-08T00:00:00Z", "2026-03-09T00:00:00Z",
       "2026-03-08T09:00:00Z/2026-03-08T10:00:00Z "},
      {"inside the gap", kSeattleTimeZone, Weekly(1 << 0, "02:10", "02:50"),
       "2026-03-08T00:00:00Z", "2026-03-09T00:00:00Z", ""},
      {"night over the autumn overlap", kSeattleTimeZone,
       Weekly(kEveryDay, "22:00", "07:00"), "2026-11-01T00:00:00Z",
       "2026-11-02T00:00:00Z", "2026-11-01T05:00:00Z/2026-11-01T15:00:00Z "},
      {"twice in the overlap", kSeattleTimeZone,
       Weekly(1 << 0, "01:15", "01:45"), "2026-11-01T00:00:00Z",
       "2026-11-02T00:00:00Z",
       "2026-11-01T08:15:00Z/2026-11-01T08:45:00Z "
       "2026-11-01T09:15:00Z/2026-11-01T09:45:00Z "},
      {"ends at the overlap", kSeattleTimeZone,
       Weekly(1 << 0, "00:30", "02:00"), "2026-11-01T00:00:00Z",
       "2026-11-02T00:00:00Z", "2026-11-01T07:30:00Z/2026-11-01T10:00:00Z "},
      {"southern autumn", kSydney, Weekly(1 << 0, "01:00", "04:00"),
       "2026-04-04T00:00:00Z", "2026-04-05T12:00:00Z",
       "2026-04-04T14:00:00Z/2026-04-04T18:00:00Z "},
      {"southern spring", kSydney, Weekly(1 << 0, "01:00", "04:00"),
       "2026-10-03T00:00:00Z", "2026-10-04T12:00:00Z",
       "2026-10-03T15:00:00Z/2026-10-03T17:00:00Z "},
      {"southern summer over new year", kSydney,
       Weekly(1 << 4, "23:30", "00:30"), "2026-12-31T00:00:00Z",
       "2027-01-01T00:00:00Z", "2026-12-31T12:30:00Z/2026-12-31T13:30:00Z "},
      {"ends when it begins: a whole day", kReykjavik,
       Weekly(1 << 0, "06:00", "06:00"), "2026-03-08T12:00:00Z",
       "2026-03-08T13:00:00Z", "2026-03-08T06:00:00Z/2026-03-09T06:00:00Z "},
      {"every whole day: one run", kReykjavik,
       Weekly(kEveryDay, "00:00", "00:00"), "2026-03-08T12:00:00Z",
       "2026-03-08T12:00:01Z", "2026-03-06T00:00:00Z/2026-03-10T00:00:00Z "},
      {"touches only at its end", kReykjavik,
       Weekly(kEveryDay, "22:00", "07:00"), "2026-03-09T07:00:00Z",
       "2026-03-09T22:00:00Z", ""},
  };
  for (const Row& row : rows) {
    CAPTURE(row.title);
    CHECK(TextOf(QuietRanges(row.window, row.zone, At(row.from), At(row.to))) ==
          row.expected);
  }
}

TEST_CASE("a moment is quiet exactly when its local time is in the window") {
  // Local time of Seattle in 2026, computed independently of the rule.
  const auto local = [](WallTime time) {
    const bool summer =
        time >= At("2026-03-08T10:00:00Z") && time < At("2026-11-01T09:00:00Z");
    return time - std::chrono::hours(summer ? 7 : 8);
  };
  CHECK(rc::check([&] {
    const int from = *rc::gen::inRange(0, 1440);
    const int to = *rc::gen::inRange(0, 1440);
    const auto days = *rc::gen::inRange(1, 128);
    const WeeklySchedule schedule{static_cast<std::uint8_t>(days),
                                  std::chrono::minutes(from),
                                  std::chrono::minutes(to)};
    const QuietWindow window{.name = "w", .schedule = schedule};
    const WallTime base =
        At(*rc::gen::element("2026-03-08T00:00:00Z", "2026-11-01T00:00:00Z",
                             "2026-06-01T00:00:00Z"));
    const WallTime time =
        base + std::chrono::minutes(*rc::gen::inRange(-1500, 3000));
    const WallTime there = local(time);
    const auto day = std::chrono::floor<std::chrono::days>(there);
    const auto minute = std::chrono::floor<std::chrono::minutes>(there - day);
    const auto begins = [days](std::chrono::sys_days on) {
      return ((days >> std::chrono::weekday(on).c_encoding()) & 1) != 0;
    };
    const bool over_midnight = to <= from;
    const bool today = begins(day) && minute >= schedule.from &&
                       (over_midnight || minute < schedule.to);
    const bool yesterday = over_midnight &&
                           begins(day - std::chrono::days(1)) &&
                           minute < schedule.to;
    const auto ranges =
        QuietRanges(window, kSeattleTimeZone, time, time + Milliseconds(1));
    RC_ASSERT(!ranges.empty() == (today || yesterday));
  }));
}

TEST_CASE("adjoining windows count as one quiet time") {
  Config config = SmallConfig();
  config.windows = {NightWindow("a", "press")};
  config.windows[0].schedule =
      OnceSchedule{At("2026-05-04T10:00:00Z"), At("2026-05-04T12:00:00Z")};
  QuietWindow touching = config.windows[0];
  touching.name = "b";
  touching.schedule =
      OnceSchedule{At("2026-05-04T12:00:00Z"), At("2026-05-20T12:00:00Z")};
  QuietWindow apart = touching;
  apart.name = "c";
  apart.schedule =
      OnceSchedule{At("2026-05-20T12:00:01Z"), At("2026-05-21T12:00:00Z")};
  config.windows.push_back(touching);
  config.windows.push_back(apart);
  const Snapshot snapshot(config);
  const auto until = [&](const char* from, const char* to) {
    const auto end = snapshot.QuietUntil("press", At(from), At(to));
    return end ? FormatWallTime(*end) : std::string("free");
  };
  CHECK(until("2026-05-04T09:00:00Z", "2026-05-04T10:00:00Z") == "free");
  CHECK(until("2026-05-04T09:00:00Z", "2026-05-04T10:00:01Z") ==
        "2026-05-20T12:00:00Z");
  CHECK(until("2026-05-20T12:00:00Z", "2026-05-20T12:00:01Z") == "free");
  CHECK(until("2026-05-20T11:00:00Z", "2026-05-20T12:30:00Z") ==
        "2026-05-21T12:00:00Z");
  CHECK_FALSE(snapshot.QuietUntil("zoo", At("2026-05-04T11:00:00Z"),
                                  At("2026-05-04T11:01:00Z")));
}

TEST_CASE("the search for the end of an endless quiet time is bounded") {
  Config config = SmallConfig();
  config.windows[0].schedule = WeeklySchedule{kEveryDay, {}, {}};
  const Snapshot snapshot(config);
  const WallTime now = At("2026-05-04T10:00:00Z");
  const auto end = snapshot.QuietUntil("press", now, now + Seconds(1));
  REQUIRE(end.has_value());
  CHECK(*end > now + std::chrono::days(300));
}

}  // namespace
}  // namespace cassiabend
