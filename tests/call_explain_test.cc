#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "tests/call_support.h"

namespace cassiabend::testing {
namespace {

std::vector<Member> Others() {
  return {MakeMember(2), MakeMember(3), MakeMember(4)};
}

CallMetadata MakeMetadataWithId(const std::string& route,
                                const std::string& request_id) {
  CallMetadata metadata = MakeMetadata(route);
  metadata.request_id = request_id;
  return metadata;
}

TEST_CASE("the end of a call has a breakdown of its time") {
  CallNode entry(MakeMember(1));
  entry.MakeReady(Others());
  entry.Do(CallArrived{1, MakeMetadataWithId("status", "r-1")});
  const AttemptId unsent = entry.Only<SendAttempt>()->request.id;
  CHECK(entry.Only<SendAttempt>()->request.request_id == "r-1");
  entry.Advance(Milliseconds(3));
  entry.Do(AttemptConnectionLost{1, unsent, ConnectionLoss::kNeverSent});
  const AttemptId sent = entry.Only<SendAttempt>()->request.id;
  entry.Advance(Milliseconds(30));
  entry.Do(
      AttemptAnswerStarted{1, sent, 200,
                           DestinationTimes{.load_permille = 500,
                                            .time_at_node = Milliseconds(20),
                                            .service = Milliseconds(15)}});
  entry.Advance(Milliseconds(4));
  entry.Do(AnswerRelayed{1, sent, true});
  const auto ended = entry.Only<CallEnded>();
  REQUIRE(ended);
  CHECK(ended->request_id == "r-1");
  CHECK(ended->elapsed == Milliseconds(37));
  REQUIRE(ended->phases);
  CHECK(*ended->phases == CallPhases{.entry = Milliseconds(3),
                                     .between = Milliseconds(10),
                                     .queue = Milliseconds(5),
                                     .upstream = Milliseconds(15)});
  CHECK(ended->reason.empty());
}

TEST_CASE("a call without an answer has no breakdown of its time") {
  CallNode entry(MakeMember(1));
  entry.MakeReady(Others());
  entry.Do(CallArrived{1, MakeMetadata("elsewhere")});
  const auto ended = entry.Only<CallEnded>();
  REQUIRE(ended);
  CHECK_FALSE(ended->phases);
  CHECK(ended->reason == "no_route");
}

TEST_CASE("the end of a call says why it was not retried") {
  struct Row {
    CallOptions options;
    std::vector<Member> members;
    bool is_retry;
    Milliseconds answered_after;
    const char* no_retry;
  };
  CallOptions errors;
  errors.retry_errors = 1;
  CallOptions once = errors;
  once.max_attempts = 1;
  const Row rows[] = {
      {once, Others(), false, Milliseconds(1), "attempts"},
      {errors, Others(), true, Milliseconds(1), "the caller retries"},
      {errors, {MakeMember(2)}, false, Milliseconds(1), "no other upstream"},
      {errors, Others(), false, Milliseconds(3'500), "time"},
  };
  for (const Row& row : rows) {
    CAPTURE(row.no_retry);
    Member self = MakeMember(1);
    self.service = "other";
    CallNode entry(self, row.options);
    entry.MakeReady(row.members);
    CallMetadata metadata = MakeMetadata("status");
    metadata.is_retry = row.is_retry;
    entry.Do(CallArrived{1, metadata});
    const AttemptId id = entry.Only<SendAttempt>()->request.id;
    entry.Advance(row.answered_after);
    entry.Do(AttemptAnswerStarted{1, id, 500});
    REQUIRE(entry.Only<RelayAnswer>());
    entry.Do(AnswerRelayed{1, id, true});
    CHECK(entry.Only<CallEnded>()->no_retry == row.no_retry);
  }
}

TEST_CASE("the end of a call has the balance of its retry budget") {
  CallOptions options;
  options.retry_errors = 1;
  options.retry_budget_permille = 0;
  options.retry_burst = 4;
  CallNode entry(MakeMember(1), options);
  entry.MakeReady(Others());
  // Four nodes share four retries, so this one has a single retry.
  for (const bool granted : {true, false}) {
    const CallId call = granted ? 1 : 2;
    entry.Do(CallArrived{call, MakeMetadata("status")});
    entry.Do(
        AttemptAnswerStarted{call, entry.Only<SendAttempt>()->request.id, 500});
    REQUIRE(entry.Only<SendAttempt>().has_value() == granted);
    if (granted) {
      const AttemptId second = entry.Only<SendAttempt>()->request.id;
      entry.Do(AttemptAnswerStarted{call, second, 200});
      entry.Do(AnswerRelayed{call, second, true});
      CHECK(entry.Only<CallEnded>()->no_retry.empty());
    } else {
      const AttemptId only = entry.Only<RelayAnswer>()->attempt;
      entry.Do(AnswerRelayed{call, only, true});
      CHECK(entry.Only<CallEnded>()->no_retry == "budget");
    }
    CHECK(entry.Only<CallEnded>()->retry_budget_left == 0);
    const auto budgets = entry.counts().retry_budgets;
    REQUIRE(budgets.size() == 1);
    CHECK(budgets[0].team == "svc");
    CHECK(budgets[0].left == 0);
  }
}

TEST_CASE("an unknown outcome has a stable reason") {
  CallNode entry(MakeMember(1));
  entry.MakeReady(Others());
  entry.Do(CallArrived{1, MakeMetadata("orders")});
  entry.Do(AttemptUnknown{1, entry.Only<SendAttempt>()->request.id});
  CHECK(entry.Only<CallEnded>()->outcome == "unknown");
  CHECK(entry.Only<CallEnded>()->reason == "answer_lost");
  entry.Do(CallArrived{2, MakeMetadata("status")});
  entry.Tick(Seconds(5));
  CHECK(entry.Only<CallEnded>()->outcome == "unknown");
  CHECK(entry.Only<CallEnded>()->reason == "deadline");
}

TEST_CASE("a refusal at the destination has its details") {
  Member self = MakeMember(1);
  CallOptions options;
  options.slots = 2;
  CallNode node(self, options);
  node.MakeReady({MakeMember(2)});
  AttemptRequest request;
  request.id = {1, 1};
  request.request_id = "r-7";
  request.destination_start_id = self.start_id;
  request.service = "another";
  request.deadline = Milliseconds(600);
  node.Do(AttemptArrived{1, request});
  const auto reply = node.Only<ReplyNotRun>();
  REQUIRE(reply);
  CHECK(reply->reason == NotRunReason::kNoUpstream);
  CHECK(reply->request_id == "r-7");
  CHECK(reply->left == Milliseconds(600));
  CHECK(reply->running == 0);
  CHECK(reply->queued == 0);
}

}  // namespace
}  // namespace cassiabend::testing
