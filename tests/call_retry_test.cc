#include <doctest/doctest.h>

#include <set>

#include "tests/call_support.h"

namespace cassiabend::testing {
namespace {

std::vector<Member> Members(int from, int to) {
  std::vector<Member> members;
  for (int host = from; host <= to; ++host) {
    members.push_back(MakeMember(host));
  }
  return members;
}

TEST_CASE("an attempt that was never sent goes elsewhere and costs no retry") {
  CallOptions options;
  options.retry_budget_permille = 0;
  CallNode entry(MakeMember(1), options);
  entry.MakeReady(Members(2, 4));
  // More calls than the initial balance of a retry budget.
  for (CallId call = 1; call <= 40; ++call) {
    CAPTURE(call);
    entry.Do(CallArrived{call, MakeMetadata("status")});
    REQUIRE(entry.Only<SendAttempt>());
    const SendAttempt first = *entry.Only<SendAttempt>();
    entry.Do(AttemptConnectionLost{call, first.request.id,
                                   ConnectionLoss::kNeverSent});
    REQUIRE(entry.Only<SendAttempt>());
    const SendAttempt second = *entry.Only<SendAttempt>();
    CHECK(second.destination != first.destination);
    entry.Do(AttemptAnswerStarted{call, second.request.id, 200});
    entry.Do(AnswerRelayed{call, second.request.id, true});
    entry.Advance(Seconds(2));
  }
  CHECK(entry.counts().retries == 0);
  CHECK(entry.counts().retries_refused == 0);
}

TEST_CASE("a node that cannot be reached is not picked again at once") {
  CallNode entry(MakeMember(1));
  entry.MakeReady(Members(2, 3));
  entry.Do(CallArrived{1, MakeMetadata("status")});
  const NodeId dead = entry.Only<SendAttempt>()->destination;
  entry.Do(AttemptConnectionLost{1, entry.Only<SendAttempt>()->request.id,
                                 ConnectionLoss::kNeverSent});
  for (CallId call = 2; call <= 30; ++call) {
    entry.Do(CallArrived{call, MakeMetadata("status")});
    REQUIRE(entry.Only<SendAttempt>());
    CHECK(entry.Only<SendAttempt>()->destination != dead);
  }
}

TEST_CASE("retries after refusals by the upstream use the shared budget") {
  CallOptions options;
  options.retry_budget_permille = 0;
  options.retry_burst = 8;
  CallNode entry(MakeMember(1), options);
  entry.MakeReady(Members(2, 4));
  std::uint64_t retried = 0;
  for (CallId call = 1; call <= 20; ++call) {
    entry.Do(CallArrived{call, MakeMetadata("status")});
    const SendAttempt first = *entry.Only<SendAttempt>();
    AttemptNotRun refusal{call, first.request.id, NotRunReason::kOverloaded,
                          Milliseconds(0)};
    refusal.reached_upstream = true;
    entry.Do(refusal);
    retried += entry.Only<SendAttempt>() ? 1 : 0;
    entry.Advance(Seconds(2));
  }
  // Four nodes share eight retries, and the calls add none.
  CHECK(retried == 2);
}

TEST_CASE("a route's limit counts attempts at upstreams, not at nodes") {
  CallOptions options;
  options.max_attempts = 4;
  CallNode entry(MakeMember(1), options);
  Config config = MakeConfig();
  config.routes[2].max_attempts = 1;
  entry.MakeReady(Members(2, 5));
  config.number = 2;
  entry.Do(ApplyVersion{RefPtr<const Snapshot>(new Snapshot(config))});
  entry.Do(CallArrived{1, MakeMetadata("status")});
  entry.Do(AttemptNotRun{1, entry.Only<SendAttempt>()->request.id,
                         NotRunReason::kDraining, Milliseconds(0)});
  REQUIRE(entry.Only<SendAttempt>());
  AttemptNotRun refusal{1, entry.Only<SendAttempt>()->request.id,
                        NotRunReason::kOverloaded, Milliseconds(0)};
  refusal.reached_upstream = true;
  entry.Do(refusal);
  CHECK_FALSE(entry.Only<SendAttempt>());
  CHECK(entry.Only<AnswerNotRun>());
}

TEST_CASE("a repeatable call whose upstream failed is retried elsewhere") {
  CallOptions options;
  options.retry_errors = 1;
  CallNode entry(MakeMember(1), options);
  entry.MakeReady(Members(2, 4));
  SUBCASE("while time is left") {
    entry.Do(CallArrived{1, MakeMetadata("status")});
    const SendAttempt first = *entry.Only<SendAttempt>();
    entry.Do(AttemptAnswerStarted{1, first.request.id, 500});
    REQUIRE(entry.Only<SendAttempt>());
    CHECK(entry.Only<SendAttempt>()->destination != first.destination);
    CHECK(entry.Only<DropAttempt>()->attempt == first.request.id);
    CHECK_FALSE(entry.Only<RelayAnswer>());
  }
  SUBCASE("not when as much time again is not left") {
    entry.Do(CallArrived{1, MakeMetadata("status")});
    const SendAttempt first = *entry.Only<SendAttempt>();
    entry.Advance(Milliseconds(3'900));
    entry.Do(AttemptAnswerStarted{1, first.request.id, 504});
    CHECK_FALSE(entry.Only<SendAttempt>());
    CHECK(entry.Only<RelayAnswer>());
  }
  SUBCASE("never when it may run only once") {
    entry.Do(CallArrived{1, MakeMetadata("orders")});
    const SendAttempt first = *entry.Only<SendAttempt>();
    entry.Do(AttemptAnswerStarted{1, first.request.id, 500});
    CHECK_FALSE(entry.Only<SendAttempt>());
    CHECK(entry.Only<RelayAnswer>());
  }
}

TEST_CASE("a traffic split keeps its weights, and a retry keeps its service") {
  Config config = MakeConfig(2);
  config.services = {{"spare", kCallerTeam}, {"svc", kCallerTeam}};
  config.routes[2].service.clear();
  config.routes[2].split = {{"svc", 90}, {"spare", 10}};
  CallNode entry(MakeMember(1));
  std::vector<Member> members = Members(2, 3);
  members[1].service = "spare";
  entry.MakeReady(members);
  entry.Do(ApplyVersion{RefPtr<const Snapshot>(new Snapshot(config))});
  constexpr int kCalls = 2'000;
  int spare = 0;
  for (CallId call = 1; call <= kCalls; ++call) {
    entry.Do(CallArrived{call, MakeMetadata("status")});
    REQUIRE(entry.Only<SendAttempt>());
    const SendAttempt send = *entry.Only<SendAttempt>();
    spare += send.request.service == "spare" ? 1 : 0;
    if (call % 50 == 0) {
      // A call refused as overloaded does not move to the other service.
      entry.Do(AttemptNotRun{call, send.request.id, NotRunReason::kOverloaded,
                             Milliseconds(0)});
      if (entry.Only<SendAttempt>()) {
        CHECK(entry.Only<SendAttempt>()->request.service ==
              send.request.service);
      }
    }
    entry.Do(AttemptAnswerStarted{call, send.request.id, 200});
    entry.Do(AnswerRelayed{call, send.request.id, true});
  }
  CHECK(spare > kCalls / 10 * 7 / 10);
  CHECK(spare < kCalls / 10 * 13 / 10);
}

TEST_CASE("a draining node serves callers for a while, then ends all calls") {
  CallOptions options;
  options.shutdown_accept = Milliseconds(1'000);
  options.shutdown_serve = Milliseconds(2'300);
  options.shutdown_finish = Milliseconds(5'000);
  CallNode node(MakeMember(1), options);
  node.MakeReady(Members(2, 3));
  node.Do(CallArrived{1, MakeMetadata("status")});
  node.Do(DrainRequested{});
  node.Advance(Milliseconds(2'000));
  node.Do(CallArrived{2, MakeMetadata("status")});
  REQUIRE(node.Only<SendAttempt>());
  CHECK(node.Only<SendAttempt>()->destination != node.self().id);
  node.Tick(Milliseconds(400));
  node.Do(CallArrived{3, MakeMetadata("status")});
  REQUIRE(node.Only<AnswerNotRun>());
  CHECK(node.Only<AnswerNotRun>()->reason == NotRunReason::kDraining);
  node.Tick(Milliseconds(2'700));
  CHECK(node.counts().calls == 0);
  CHECK(node.Only<DrainFinished>());
}

}  // namespace
}  // namespace cassiabend::testing
