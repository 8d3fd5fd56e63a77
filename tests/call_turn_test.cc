// Calls that are pipelined behind others of their connection.

#include <doctest/doctest.h>

#include "tests/call_support.h"

namespace cassiabend {
namespace {

using testing::CallNode;
using testing::MakeMember;
using testing::MakeMetadata;

TEST_CASE("a call that may repeat starts behind others of its connection") {
  CallNode node(MakeMember(1));
  node.MakeReady({MakeMember(2)});
  node.Do(CallArrived{1, MakeMetadata("status"), true});
  CHECK(node.Only<SendAttempt>());
  node.Do(CallTurn{1});
  CHECK(node.effects().empty());
}

TEST_CASE("a call that runs once starts only when it has its turn") {
  CallNode node(MakeMember(1));
  node.MakeReady({MakeMember(2)});
  node.Do(CallArrived{1, MakeMetadata("orders"), true});
  CHECK(node.effects().empty());
  node.Tick(Milliseconds(500));
  CHECK(node.effects().empty());
  node.Do(CallTurn{1});
  REQUIRE(node.Only<SendAttempt>());
  // Its deadline counts from when it was read.
  CHECK(node.Only<SendAttempt>()->request.deadline <= Milliseconds(3'500));
}

TEST_CASE("a call that runs once and is first starts at once") {
  CallNode node(MakeMember(1));
  node.MakeReady({MakeMember(2)});
  node.Do(CallArrived{1, MakeMetadata("orders"), false});
  CHECK(node.Only<SendAttempt>());
}

TEST_CASE("an order with a key need not wait for its turn") {
  CallNode node(MakeMember(1));
  node.MakeReady({MakeMember(2)});
  CallMetadata metadata = MakeMetadata("orders");
  metadata.order_key = "k1";
  node.Do(CallArrived{1, metadata, true});
  CHECK(node.Only<SendAttempt>());
}

TEST_CASE("a call whose turn does not come was not run") {
  CallNode node(MakeMember(1));
  node.MakeReady({MakeMember(2)});
  node.Do(CallArrived{1, MakeMetadata("orders"), true});
  node.Tick(Milliseconds(4'000));
  REQUIRE(node.Only<AnswerNotRun>());
  CHECK(node.Only<AnswerNotRun>()->reason == NotRunReason::kDeadline);
  node.Do(CallTurn{1});
  CHECK(node.effects().empty());
}

TEST_CASE("a call whose connection ends before its turn is never sent") {
  CallNode node(MakeMember(1));
  node.MakeReady({MakeMember(2)});
  node.Do(CallArrived{1, MakeMetadata("orders"), true});
  node.Do(CallerDisconnected{1});
  CHECK_FALSE(node.Only<SendAttempt>());
  REQUIRE(node.Only<CallEnded>());
  CHECK(node.Only<CallEnded>()->attempts == 0);
  node.Do(CallTurn{1});
  CHECK(node.effects().empty());
  CHECK(node.counts().calls == 0);
}

}  // namespace
}  // namespace cassiabend
