#include "tools/soak_checker.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace cassiabend::soak {
namespace {

constexpr char kOwnAnswer[] = "own answer";
constexpr char kNotRunIsTrue[] = "not run is true";
constexpr char kAtMostOnce[] = "at most once";
constexpr char kNoAnswerCut[] = "no answer is cut by planned work";
constexpr char kNoUnknownOutcome[] = "no outcome is unknown by planned work";
constexpr char kAnswerToEachRead[] = "an answer to each request that was read";
constexpr char kAnswerByDeadline[] = "an answer by the deadline";
constexpr char kVersionsRise[] = "versions only rise";
constexpr char kChangeInForce[] = "a change is in force in time";
constexpr char kNoNewWorkAtStop[] = "no new work beside a leaving node";
constexpr char kServedAgain[] = "calls are served again";

CallRecord MakeCall(CallOutcome outcome) {
  return {.id = "a",
          .kind = CallKind::kSlowRead,
          .entry = 1,
          .sent = RunTime(1'000),
          .ended = RunTime(2'000),
          .deadline = Milliseconds(10'000),
          .outcome = outcome};
}

/// \returns A history of one minute of planned work, in which the nodes of two
/// hosts run.
History MakeHistory(std::vector<CallRecord> calls) {
  History history;
  history.calls = std::move(calls);
  history.node_processes = {{.host = 0}, {.host = 1}};
  history.planned = {{RunTime(0), RunTime(60'000)}};
  return history;
}

std::vector<std::string> ViolatedGuarantees(const History& history) {
  std::vector<std::string> out;
  for (const Violation& it : Check(history)) {
    out.push_back(it.promise);
  }
  return out;
}

using Guarantees = std::vector<std::string>;

TEST_CASE("answers and refusals violate nothing") {
  CHECK(ViolatedGuarantees(MakeHistory({})).empty());
  CHECK(ViolatedGuarantees(MakeHistory({MakeCall(CallOutcome::kAnswered),
                                        MakeCall(CallOutcome::kNotRun)}))
            .empty());
}

TEST_CASE("an answer must be the request's own") {
  CallRecord call = MakeCall(CallOutcome::kAnswered);
  call.has_expected_body = false;
  CHECK(ViolatedGuarantees(MakeHistory({call})) == Guarantees{kOwnAnswer});
}

TEST_CASE(
    "a request reported as not run must not run, with or without faults") {
  History history = MakeHistory({MakeCall(CallOutcome::kNotRun)});
  history.runs_by_id["a"] = 1;
  CHECK(ViolatedGuarantees(history) == Guarantees{kNotRunIsTrue});
  history.planned.clear();
  CHECK(ViolatedGuarantees(history) == Guarantees{kNotRunIsTrue});
}

TEST_CASE("orders run at most once, reads may run again") {
  CallRecord order = MakeCall(CallOutcome::kAnswered);
  History history = MakeHistory({order});
  history.runs_by_id["a"] = 2;
  CHECK(ViolatedGuarantees(history).empty());

  history.calls.front().kind = CallKind::kOrder;
  CHECK(ViolatedGuarantees(history) == Guarantees{kAtMostOnce});

  history.calls.front().kind = CallKind::kKeyedOrder;
  history.calls.front().order_key = "key";
  history.runs_by_key["key"] = 1;
  CHECK(ViolatedGuarantees(history).empty());
  history.runs_by_key["key"] = 2;
  CHECK(ViolatedGuarantees(history) == Guarantees{kAtMostOnce});
}

TEST_CASE("planned work neither cuts an answer nor leaves an unknown outcome") {
  History history = MakeHistory({MakeCall(CallOutcome::kCut)});
  CHECK(ViolatedGuarantees(history) == Guarantees{kNoAnswerCut});
  history.calls = {MakeCall(CallOutcome::kUnknown)};
  CHECK(ViolatedGuarantees(history) == Guarantees{kNoUnknownOutcome});

  // Both may happen when the call does not lie within planned work.
  history.planned = {{RunTime(0), RunTime(1'500)}};
  CHECK(ViolatedGuarantees(history).empty());
  history.calls = {MakeCall(CallOutcome::kCut)};
  CHECK(ViolatedGuarantees(history).empty());
}

TEST_CASE("a call that overlaps a stall of the proxies is not planned work") {
  History history = MakeHistory({MakeCall(CallOutcome::kCut)});
  history.stalls = {{RunTime(1'900), RunTime(2'300)}};
  CHECK(ViolatedGuarantees(history).empty());
  history.stalls = {{RunTime(2'100), RunTime(2'300)}};
  CHECK(ViolatedGuarantees(history) == Guarantees{kNoAnswerCut});

  // A guarantee that also holds under faults is still checked.
  history.calls = {MakeCall(CallOutcome::kNotRun)};
  history.runs_by_id["a"] = 1;
  history.stalls = {{RunTime(1'900), RunTime(2'300)}};
  CHECK(ViolatedGuarantees(history) == Guarantees{kNotRunIsTrue});
}

TEST_CASE("a request that was read before a planned stop gets an answer") {
  History history = MakeHistory({MakeCall(CallOutcome::kClosed)});
  CHECK(ViolatedGuarantees(history) == Guarantees{kAnswerToEachRead});

  SUBCASE("not when its node exited just after it was sent") {
    history.node_processes.at(1).stop_requested = RunTime(500);
    history.node_processes.at(1).ended = RunTime(1'200);
    CHECK(ViolatedGuarantees(history).empty());
  }
  SUBCASE("when its node exited long after it was sent") {
    history.node_processes.at(1).stop_requested = RunTime(500);
    history.node_processes.at(1).ended = RunTime(1'900);
    CHECK(ViolatedGuarantees(history) == Guarantees{kAnswerToEachRead});
  }
  SUBCASE("not when the process that accepted the connection had exited") {
    history.node_processes.at(1).ended = RunTime(990);
    history.node_processes.push_back({.host = 1, .started = RunTime(991)});
    CHECK(ViolatedGuarantees(history).empty());
    history.calls.front().opened = RunTime(995);
    CHECK(ViolatedGuarantees(history) == Guarantees{kAnswerToEachRead});
  }
  SUBCASE("when it ran, no matter when its node exited") {
    history.node_processes.at(1).stop_requested = RunTime(500);
    history.node_processes.at(1).ended = RunTime(1'200);
    history.runs_by_id["a"] = 1;
    CHECK(ViolatedGuarantees(history) == Guarantees{kAnswerToEachRead});
  }
}

TEST_CASE("a call ends by its deadline, with or without faults") {
  CallRecord late = MakeCall(CallOutcome::kNotRun);
  late.ended = late.sent + late.deadline + kDeadlineSlack;
  History history = MakeHistory({late});
  CHECK(ViolatedGuarantees(history).empty());
  history.calls.front().ended += Milliseconds(1);
  CHECK(ViolatedGuarantees(history) == Guarantees{kAnswerByDeadline});
  history.planned.clear();
  CHECK(ViolatedGuarantees(history) == Guarantees{kAnswerByDeadline});

  // A late answer is allowed when its entry node was paused or killed.
  history.node_outages = {{1, {RunTime(9'000), RunTime(9'500)}}};
  CHECK(ViolatedGuarantees(history).empty());
  history.node_outages = {{0, {RunTime(9'000), RunTime(9'500)}}};
  CHECK(ViolatedGuarantees(history) == Guarantees{kAnswerByDeadline});
}

TEST_CASE("versions never decrease within one process of a node") {
  History history = MakeHistory({});
  history.versions = {
      {.host = 1, .at = RunTime(10), .read = RunTime(11), .number = 7},
      {.host = 0, .at = RunTime(20), .read = RunTime(21), .number = 6},
      {.host = 1, .at = RunTime(30), .read = RunTime(31), .number = 6}};
  CHECK(ViolatedGuarantees(history) == Guarantees{kVersionsRise});

  history.node_processes.at(1).ended = RunTime(20);
  history.node_processes.push_back({.host = 1, .started = RunTime(21)});
  CHECK(ViolatedGuarantees(history).empty());
}

TEST_CASE("a change is in force at every ready node in time") {
  const auto read = [](std::int64_t at, std::uint64_t number) {
    return VersionObservation{.host = 1,
                              .at = RunTime(at),
                              .read = RunTime(at + 1),
                              .number = number,
                              .is_ready = true};
  };
  History history = MakeHistory({});
  history.commits = {{RunTime(1'000), 5}};
  history.versions = {read(900, 4), read(5'400, 4)};
  CHECK(ViolatedGuarantees(history).empty());
  history.versions = {read(900, 4), read(5'600, 4)};
  CHECK(ViolatedGuarantees(history) == Guarantees{kChangeInForce});
  history.versions = {read(900, 4), read(5'600, 5)};
  CHECK(ViolatedGuarantees(history).empty());

  history.versions = {read(900, 4), read(5'600, 4)};
  SUBCASE("except a node that is stopping") {
    history.node_processes.at(1).stop_requested = RunTime(5'000);
    CHECK(ViolatedGuarantees(history).empty());
  }
  SUBCASE("except a node that started after the commit") {
    history.node_processes.at(1).started = RunTime(1'100);
    CHECK(ViolatedGuarantees(history).empty());
  }
  SUBCASE("except a node that was not ready before the commit") {
    history.versions.front().is_ready = false;
    CHECK(ViolatedGuarantees(history).empty());
  }
  SUBCASE("except when there are faults") {
    history.planned = {{RunTime(1'001), RunTime(60'000)}};
    CHECK(ViolatedGuarantees(history).empty());
  }
}

TEST_CASE("the upstream of a stopping node gets no new requests") {
  History history = MakeHistory({});
  history.drain_checks = {
      {.host = 1, .at = RunTime(9), .runs_at_limit = 4, .runs_at_exit = 4}};
  CHECK(ViolatedGuarantees(history).empty());
  history.drain_checks.front().runs_at_exit = 5;
  CHECK(ViolatedGuarantees(history) == Guarantees{kNoNewWorkAtStop});
}

TEST_CASE("after a recovery calls of each kind are answered") {
  History history = MakeHistory({});
  history.recovered = {{RunTime(500), RunTime(3'000)}};
  history.calls.assign(kMinRecoveryCalls, MakeCall(CallOutcome::kNotRun));
  CHECK(ViolatedGuarantees(history) == Guarantees{kServedAgain});
  history.calls.back().outcome = CallOutcome::kAnswered;
  CHECK(ViolatedGuarantees(history).empty());
  history.calls.assign(kMinRecoveryCalls - 1, MakeCall(CallOutcome::kNotRun));
  CHECK(ViolatedGuarantees(history).empty());
}

TEST_CASE("a violation names its request and describes the call") {
  CallRecord call = MakeCall(CallOutcome::kUnknown);
  call.status = 502;
  const std::vector<Violation> found = Check(MakeHistory({call}));
  REQUIRE(found.size() == 1);
  CHECK(found.front() ==
        Violation{kNoUnknownOutcome, RunTime(2'000), 1, "a",
                  "slow read sent at 1000 ms: unknown, status 502"});
}

}  // namespace
}  // namespace cassiabend::soak
