#include <doctest/doctest.h>

#include "tests/call_support.h"

namespace cassiabend::testing {
namespace {

AttemptRequest MakeAttempt(std::uint64_t n) {
  AttemptRequest request;
  request.id = {0, n};
  request.destination_start_id = 100;
  request.service = "svc";
  request.deadline = Milliseconds(4'000);
  return request;
}

TEST_CASE("a draining node finishes running attempts and refuses the rest") {
  CallNode node(MakeMember(2));
  node.MakeReady({MakeMember(1)});
  for (std::uint64_t n = 1; n <= 3; ++n) {
    node.Do(AttemptArrived{n, MakeAttempt(n)});
  }
  node.Do(CallArrived{1, MakeMetadata("status")});
  const auto own = node.Only<SendAttempt>();
  REQUIRE(own);
  node.Do(DrainRequested{});
  REQUIRE(node.Only<LocalUpstreamChanged>());
  CHECK(node.Only<LocalUpstreamChanged>()->state == UpstreamState::kDraining);
  REQUIRE(node.Only<ReplyNotRun>());
  CHECK(node.Only<ReplyNotRun>()->attempt == AttemptId{0, 3});
  CHECK(node.Only<ReplyNotRun>()->reason == NotRunReason::kDraining);
  node.Do(DrainRequested{});
  CHECK(node.effects().empty());

  node.Do(AttemptArrived{4, MakeAttempt(4)});
  CHECK(node.Only<ReplyNotRun>()->reason == NotRunReason::kDraining);
  node.Do(CallArrived{2, MakeMetadata("status")});
  CHECK(node.Only<AnswerNotRun>()->reason == NotRunReason::kDraining);
  node.Do(UpstreamProbed{true, 0});
  CHECK(!node.Only<LocalUpstreamChanged>());

  node.Do(UpstreamAnswerCompleted{{0, 1}});
  CHECK(node.Only<SendAnswer>());
  node.Do(AnswerSent{1});
  node.Do(UpstreamAnswerCompleted{{0, 2}});
  CHECK(node.Only<SendAnswer>());
  node.Do(AnswerSent{2});
  CHECK(!node.Only<DrainFinished>());
  node.Do(AttemptAnswerStarted{1, own->request.id, 200});
  CHECK(!node.Only<DrainFinished>());
  node.Do(AnswerRelayed{1, own->request.id, true});
  CHECK(node.Only<DrainFinished>());
  node.Tick(Milliseconds(20));
  CHECK(!node.Only<DrainFinished>());
}

TEST_CASE("running attempts can make calls while the node drains") {
  CallNode node(MakeMember(2));
  node.MakeReady({MakeMember(1)});
  node.Do(AttemptArrived{1, MakeAttempt(1)});
  node.Do(DrainRequested{});
  CallMetadata nested = MakeMetadata("status");
  nested.depth = 1;
  node.Do(CallArrived{1, nested});
  const auto send = node.Only<SendAttempt>();
  REQUIRE(send);
  CHECK(send->destination == MakeMember(1).id);
  node.Do(UpstreamAnswerCompleted{{0, 1}});
  CHECK(!node.Only<DrainFinished>());
  node.Do(AnswerSent{1});
  CHECK(!node.Only<DrainFinished>());
  node.Do(CallArrived{2, nested});
  CHECK(node.Only<AnswerNotRun>()->reason == NotRunReason::kDraining);
  node.Do(AttemptNotRun{1, send->request.id, NotRunReason::kQuietWindow});
  CHECK(node.Only<DrainFinished>());
}

TEST_CASE("a drain waits for an answer whose connection was lost") {
  CallNode node(MakeMember(2));
  node.MakeReady({});
  AttemptRequest request = MakeAttempt(1);
  request.once = true;
  node.Do(AttemptArrived{1, request});
  node.Do(ConnectionLost{1});
  node.Do(DrainRequested{});
  node.Do(UpstreamAnswerCompleted{request.id});
  CHECK(!node.Only<DrainFinished>());
  node.Do(FetchArrived{2, request.id, 100});
  CHECK(node.Only<SendAnswer>());
  CHECK(!node.Only<DrainFinished>());
  node.Do(AnswerSent{2});
  CHECK(node.Only<DrainFinished>());
}

TEST_CASE("a drain waits for an answer that is still being sent") {
  for (const bool once : {false, true}) {
    CAPTURE(once);
    CallNode node(MakeMember(2));
    node.MakeReady({});
    AttemptRequest request = MakeAttempt(1);
    request.once = once;
    node.Do(AttemptArrived{1, request});
    node.Do(UpstreamAnswerCompleted{request.id});
    REQUIRE(node.Only<SendAnswer>());
    node.Do(DrainRequested{});
    for (int i = 0; i < 150; ++i) {
      CHECK(!node.Only<DrainFinished>());
      node.Tick(Milliseconds(100));
    }
    node.Do(AnswerSent{1});
    CHECK(node.Only<DrainFinished>());
  }
}

TEST_CASE(
    "healthy probes make an upstream serve, and answers outweigh failed ones") {
  Member self = MakeMember(2);
  self.upstream_state = UpstreamState::kWarming;
  CallNode node(self);
  node.MakeReady({});
  node.Do(AttemptArrived{1, MakeAttempt(1)});
  CHECK(node.Only<ReplyNotRun>()->reason == NotRunReason::kNoUpstream);
  node.Do(UpstreamProbed{true, 0});
  CHECK(!node.Only<LocalUpstreamChanged>());
  node.Do(UpstreamProbed{true, 0});
  REQUIRE(node.Only<LocalUpstreamChanged>());
  CHECK(node.Only<LocalUpstreamChanged>()->state == UpstreamState::kServing);
  CHECK(node.Only<LocalUpstreamChanged>()->slots == 2);

  // Answered calls outweigh probes that fail.
  node.Do(AttemptArrived{2, MakeAttempt(2)});
  node.Do(UpstreamAnswerStarted{{0, 2}, 200});
  for (int n = 0; n < 5; ++n) {
    node.Do(UpstreamProbed{false, 0});
    CHECK(!node.Only<LocalUpstreamChanged>());
  }
  node.Advance(Milliseconds(3'000));
  node.Do(UpstreamProbed{false, 0});
  node.Do(UpstreamProbed{false, 0});
  CHECK(!node.Only<LocalUpstreamChanged>());
  node.Do(UpstreamProbed{false, 0});
  REQUIRE(node.Only<LocalUpstreamChanged>());
  CHECK(node.Only<LocalUpstreamChanged>()->state == UpstreamState::kWarming);
}

TEST_CASE(
    "an upstream that fails calls despite healthy probes needs more of them") {
  CallNode node(MakeMember(2));
  node.MakeReady({});
  std::uint64_t id = 0;
  for (int needed = 4; needed <= 16; needed *= 2) {
    CAPTURE(needed);
    for (int n = 0; n < 3; ++n) {
      ++id;
      node.Do(AttemptArrived{id, MakeAttempt(id)});
      REQUIRE(node.Only<StartUpstream>());
      node.Do(UpstreamUnreachable{{0, id}});
    }
    CHECK(node.Only<LocalUpstreamChanged>().has_value());
    for (int n = 1; n <= needed; ++n) {
      node.Do(UpstreamProbed{true, 0});
      CHECK(node.Only<LocalUpstreamChanged>().has_value() == (n == needed));
    }
  }
}

TEST_CASE("an upstream that sheds gets fewer calls for a time") {
  CallNode node(MakeMember(2));
  node.MakeReady({});
  node.Do(AttemptArrived{1, MakeAttempt(1)});
  node.Do(AttemptArrived{2, MakeAttempt(2)});
  node.Do(UpstreamShed{{0, 2}, Milliseconds(300)});
  CHECK(node.Only<ReplyNotRun>()->reason == NotRunReason::kOverloaded);
  node.Do(AttemptArrived{3, MakeAttempt(3)});
  CHECK(!node.Only<StartUpstream>());
  node.Tick(Milliseconds(299));
  CHECK(!node.Only<StartUpstream>());
  node.Tick(Milliseconds(1));
  CHECK(node.Only<StartUpstream>());
}

TEST_CASE("the load is reported when it changes") {
  CallNode node(MakeMember(2));
  node.MakeReady({});
  node.Tick(Milliseconds(20));
  CHECK(!node.Only<LocalLoadChanged>());
  for (std::uint64_t n = 1; n <= 3; ++n) {
    node.Do(AttemptArrived{n, MakeAttempt(n)});
  }
  node.Tick(Milliseconds(100));
  REQUIRE(node.Only<LocalLoadChanged>());
  CHECK(node.Only<LocalLoadChanged>()->load_permille == 1'500);
  node.Tick(Milliseconds(100));
  CHECK(!node.Only<LocalLoadChanged>());
}

TEST_CASE("a draining node runs attempts that end before its exit") {
  CallOptions options;
  options.shutdown_accept = Milliseconds(1'000);
  options.shutdown_serve = Milliseconds(2'300);
  CallNode node(MakeMember(2), options);
  node.MakeReady({MakeMember(1)});
  // Attempts of class "brief" take 100 ms and those of "long" 1 s.
  std::uint64_t id = 0;
  const auto arrive = [&node, &id](const char* request_class) {
    AttemptRequest request = MakeAttempt(++id);
    request.request_class = request_class;
    node.Do(AttemptArrived{id, request});
    return node.Only<StartUpstream>().has_value();
  };
  const auto run = [&node, &id, &arrive](const char* request_class,
                                         Milliseconds length) {
    REQUIRE(arrive(request_class));
    node.Tick(length);
    node.Do(UpstreamAnswerCompleted{{0, id}});
    node.Do(AnswerSent{id});
  };
  run("long", Milliseconds(1'000));
  for (int n = 0; n < 64; ++n) {
    run("brief", Milliseconds(100));
  }

  node.Do(DrainRequested{});
  node.Tick(Milliseconds(900));
  CHECK(arrive("long"));
  node.Do(UpstreamAnswerCompleted{{0, id}});
  node.Do(AnswerSent{id});
  node.Tick(Milliseconds(500));
  // 900 ms are left until the node stops serving callers.
  CHECK(!arrive("long"));
  CHECK(node.Only<ReplyNotRun>()->reason == NotRunReason::kDraining);
  CHECK(arrive("brief"));
  node.Do(UpstreamAnswerCompleted{{0, id}});
  node.Do(AnswerSent{id});
  node.Tick(Milliseconds(480));
  CHECK(!node.Only<LocalUpstreamChanged>());
  CHECK(arrive("brief"));
  // Peers are told of the withdrawal 400 ms before the node may exit.
  node.Tick(Milliseconds(20));
  REQUIRE(node.Only<LocalUpstreamChanged>());
  CHECK(node.Only<LocalUpstreamChanged>()->state == UpstreamState::kDraining);
  CHECK(!arrive("brief"));
  CHECK(node.Only<ReplyNotRun>()->reason == NotRunReason::kDraining);
  node.Tick(Milliseconds(80));
  node.Do(UpstreamAnswerCompleted{{0, id - 1}});
  node.Do(AnswerSent{id - 1});
  node.Tick(Milliseconds(300));
  CHECK(!node.Only<DrainFinished>());
  node.Tick(Milliseconds(20));
  CHECK(node.Only<DrainFinished>());
}

}  // namespace
}  // namespace cassiabend::testing
