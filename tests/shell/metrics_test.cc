#include "cassiabend/node/metrics.h"

#include <doctest/doctest.h>

#include <string>

#include "tools/harness/http_client.h"

namespace cassiabend {
namespace {

CallEnded Ended(const std::string& outcome, const std::string& reason) {
  CallEnded ended;
  ended.team = "cascadia";
  ended.request_class = "status";
  ended.outcome = outcome;
  ended.reason = reason;
  ended.elapsed = Milliseconds(40);
  return ended;
}

TEST_CASE("calls are counted by outcome and reason") {
  NodeMetrics metrics([] { return NodeReadings(); });
  CallEnded answered = Ended("answered", "");
  answered.status = 200;
  metrics.Record(answered);
  answered.status = 503;
  metrics.Record(answered);
  metrics.Record(answered);
  metrics.Record(Ended("overloaded", "overloaded"));
  metrics.Record(Ended("unknown", "deadline"));
  const auto values = harness::ParseMetrics(metrics.Scrape());
  const auto count = [&](const std::string& outcome,
                         const std::string& reason) {
    return values.at("cassiabend_calls_total{class=\"status\",outcome=\"" +
                     outcome + "\",reason=\"" + reason +
                     "\",team=\"cascadia\"}");
  };
  CHECK(count("answered", "") == 1);
  CHECK(count("answered", "server_error") == 2);
  CHECK(count("not_run", "overloaded") == 1);
  CHECK(count("unknown", "deadline") == 1);
}

TEST_CASE("each phase of a call has a histogram") {
  NodeMetrics metrics([] { return NodeReadings(); });
  CallEnded ended = Ended("answered", "");
  ended.phases = CallPhases{.entry = Milliseconds(1),
                            .between = Milliseconds(2),
                            .queue = Milliseconds(300),
                            .upstream = Milliseconds(40)};
  metrics.Record(ended);
  metrics.Record(Ended("overloaded", "overloaded"));
  const auto values = harness::ParseMetrics(metrics.Scrape());
  const auto sum = [&](const std::string& phase) {
    const std::string labels =
        "{class=\"status\",phase=\"" + phase + "\",team=\"cascadia\"}";
    CHECK(values.at("cassiabend_call_phase_seconds_count" + labels) == 1);
    return values.at("cassiabend_call_phase_seconds_sum" + labels);
  };
  CHECK(sum("entry") == doctest::Approx(0.001));
  CHECK(sum("between") == doctest::Approx(0.002));
  CHECK(sum("queue") == doctest::Approx(0.3));
  CHECK(sum("upstream") == doctest::Approx(0.04));
  CHECK(values.at("cassiabend_call_seconds_count{class=\"status\","
                  "team=\"cascadia\"}") == 2);
}

TEST_CASE("the state of the node is read at each scrape") {
  NodeReadings readings;
  readings.calls.retry_budgets = {{"catalog", "", 1'500}};
  readings.calls.attempts_queued = 7;
  readings.store.replies.at(3).at(0) = 5;
  readings.store.replies.at(1).at(4) = 2;
  readings.log_lines_unread = 11;
  readings.log_lines_too_frequent = 12;
  readings.applied_at = WallTime(Milliseconds(2'500));
  readings.members_by_status = {{"alive", 3}, {"dead", 1}};
  readings.traffic_split.at(0).at(1).received = 7'000;
  NodeMetrics metrics([&readings] { return readings; });
  const auto values = harness::ParseMetrics(metrics.Scrape());
  CHECK(values.at("cassiabend_beyond_zone_bytes_total{beyond=\"region\","
                  "direction=\"received\",purpose=\"answers\"}") == 7'000);
  CHECK(values.at("cassiabend_retry_budget_left{of=\"catalog\",class=\"\"}") ==
        1.5);
  CHECK(values.at("cassiabend_work{state=\"attempts_queued\"}") == 7);
  CHECK(values.at(
            "cassiabend_store_replies_total{kind=\"watch\",result=\"ok\"}") ==
        5);
  CHECK(values.at("cassiabend_store_replies_total{kind=\"swap\",result="
                  "\"unknown\"}") == 2);
  CHECK(values.at("cassiabend_log_lines_dropped_total{reason=\"unread\"}") ==
        11);
  CHECK(values.at(
            "cassiabend_log_lines_dropped_total{reason=\"too_frequent\"}") ==
        12);
  CHECK(values.at("cassiabend_config_applied_timestamp_seconds") == 2.5);
  CHECK(values.at("cassiabend_members{status=\"dead\"}") == 1);
  readings.calls.attempts_queued = 0;
  CHECK(harness::ParseMetrics(metrics.Scrape())
            .at("cassiabend_work{state=\"attempts_queued\"}") == 0);
}

}  // namespace
}  // namespace cassiabend
