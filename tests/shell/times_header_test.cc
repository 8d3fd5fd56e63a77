#include <doctest/doctest.h>

#include "cassiabend/http/headers.h"
#include "cassiabend/http/system_answers.h"

namespace cassiabend {
namespace {

constexpr DestinationTimes kTimes{.load_permille = 750,
                                  .time_at_node = Milliseconds(40),
                                  .service = Milliseconds(30)};

MessageHead HeadWith(const DestinationTimes& times) {
  MessageHead head;
  for (const HeaderField& it : TimesHeaders(times)) {
    head.Add(it.name, it.value);
  }
  return head;
}

TEST_CASE("load, times and speed of a destination arrive as they were sent") {
  DestinationTimes times = kTimes;
  CHECK(ReadOutcome(HeadWith(times)).times == times);
  times.time_percent = 140;
  CHECK(ReadOutcome(HeadWith(times)).times == times);
}

TEST_CASE("the speed does not change what nodes that don't know it read") {
  DestinationTimes times = kTimes;
  CHECK(TimesHeaders(times).size() == 1);
  times.time_percent = 140;
  CHECK(HeadWith(times).Get(kTimesHeader) == "750 40 30");
  CHECK(ParseTimes(HeadWith(times).Get(kTimesHeader)) == kTimes);
}

TEST_CASE("a malformed speed is unknown") {
  for (const char* it : {"", "x", "-1", "1.5", "70000", "99999999999"}) {
    CAPTURE(it);
    MessageHead head = HeadWith(kTimes);
    head.Add(kTimePercentHeader, it);
    CHECK(ReadOutcome(head).times == kTimes);
  }
}

}  // namespace
}  // namespace cassiabend
