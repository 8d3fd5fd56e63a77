#include <doctest/doctest.h>

#include "tests/call_support.h"

namespace cassiabend::testing {
namespace {

CallOptions Options() {
  CallOptions options;
  options.start_wait = Milliseconds(1'000);
  return options;
}

CallMetadata MakeMetadataWithDeadline(const char* route,
                                      Milliseconds deadline) {
  CallMetadata metadata = MakeMetadata(route);
  metadata.deadline = deadline;
  return metadata;
}

TEST_CASE("a call at a node that has just started waits until it is ready") {
  CallNode node(MakeMember(1), Options());
  node.Do(CallTick{});
  node.Advance(Milliseconds(100));
  node.Do(
      CallArrived{1, MakeMetadataWithDeadline("status", Milliseconds(2'000))});
  CHECK(node.effects().empty());
  node.Tick(Milliseconds(300));
  CHECK(node.effects().empty());
  node.MakeReady({MakeMember(2)});
  REQUIRE(node.Only<SendAttempt>());
  // Its deadline counts from its arrival.
  CHECK(node.Only<SendAttempt>()->request.deadline <= Milliseconds(1'700));
}

TEST_CASE("a call does not wait long for a node that is not ready") {
  CallNode node(MakeMember(1), Options());
  node.Do(CallTick{});
  node.Do(
      CallArrived{1, MakeMetadataWithDeadline("status", Milliseconds(800))});
  node.Do(
      CallArrived{2, MakeMetadataWithDeadline("status", Milliseconds(8'000))});
  node.Tick(Milliseconds(199));
  CHECK(node.effects().empty());
  node.Tick(Milliseconds(1));
  REQUIRE(node.Only<AnswerNotRun>());
  CHECK(node.Only<AnswerNotRun>()->call == 1);
  CHECK(node.Only<AnswerNotRun>()->reason == NotRunReason::kNotReady);
  node.Tick(Milliseconds(800));
  REQUIRE(node.Only<AnswerNotRun>());
  CHECK(node.Only<AnswerNotRun>()->call == 2);
  node.Do(
      CallArrived{3, MakeMetadataWithDeadline("status", Milliseconds(8'000))});
  REQUIRE(node.Only<AnswerNotRun>());
  CHECK(node.Only<AnswerNotRun>()->reason == NotRunReason::kNotReady);
}

TEST_CASE("a call that waited for readiness still waits for its turn") {
  CallNode node(MakeMember(1), Options());
  node.Do(CallTick{});
  for (CallId call = 1; call <= 2; ++call) {
    CallArrived event{call,
                      MakeMetadataWithDeadline("orders", Milliseconds(2'000))};
    event.waits_turn = true;
    node.Do(event);
  }
  node.Do(CallTurn{1});
  node.MakeReady({MakeMember(2)});
  REQUIRE(node.Only<SendAttempt>());
  CHECK(node.Only<SendAttempt>()->call == 1);
  node.Do(CallTurn{2});
  REQUIRE(node.Only<SendAttempt>());
  CHECK(node.Only<SendAttempt>()->call == 2);
}

TEST_CASE("without a start wait a node that is not ready refuses at once") {
  CallNode node(MakeMember(1));
  node.Do(CallTick{});
  node.Do(
      CallArrived{1, MakeMetadataWithDeadline("status", Milliseconds(2'000))});
  REQUIRE(node.Only<AnswerNotRun>());
  CHECK(node.Only<AnswerNotRun>()->reason == NotRunReason::kNotReady);
}

}  // namespace
}  // namespace cassiabend::testing
