#include <doctest/doctest.h>

#include "tests/call_support.h"

namespace cassiabend::testing {
namespace {

TEST_CASE("a call goes to a serving upstream and back to its caller") {
  CallNode entry(MakeMember(1));
  CallNode destination(MakeMember(2));
  entry.MakeReady({MakeMember(2)});
  destination.MakeReady({MakeMember(1)});
  Member own = MakeMember(1);

  std::optional<SendAttempt> send;
  for (CallId call = 1; !send || send->destination != destination.self().id;
       ++call) {
    entry.Do(CallArrived{call, MakeMetadata("status")});
    send = entry.Only<SendAttempt>();
    REQUIRE(send);
    CHECK(send->verb == AttemptVerb::kRun);
    CHECK(send->request.expires_at > entry.now().wall);
  }
  const AttemptId id = send->request.id;
  destination.Do(AttemptArrived{9, send->request});
  REQUIRE(destination.Only<StartUpstream>());
  CHECK(destination.Only<StartUpstream>()->attempt == id);
  destination.Do(UpstreamAnswerStarted{id, 200});
  REQUIRE(destination.Only<SendAnswer>());
  CHECK(destination.Only<SendAnswer>()->connection == 9);
  entry.Do(AttemptAnswerStarted{send->call, id, 200});
  CHECK(entry.Only<RelayAnswer>());
  destination.Do(UpstreamAnswerCompleted{id});
  CHECK(destination.counts().attempts_running == 0);
  entry.Do(AnswerRelayed{send->call, id, true});
  REQUIRE(entry.Only<CallEnded>());
  CHECK(entry.Only<CallEnded>()->outcome == "answered");
}

TEST_CASE("calls that cannot be routed are not run") {
  CallNode node(MakeMember(1));
  node.Do(CallArrived{1, MakeMetadata("status")});
  REQUIRE(node.Only<AnswerNotRun>());
  CHECK(node.Only<AnswerNotRun>()->reason == NotRunReason::kNotReady);
  CHECK(node.Only<AnswerNotRun>()->retry_after > Milliseconds(0));
  node.MakeReady({});
  node.Do(CallArrived{2, MakeMetadata("elsewhere")});
  CHECK(node.Only<AnswerNotRun>()->reason == NotRunReason::kNoRoute);
  CallMetadata deep = MakeMetadata("status");
  deep.depth = kMaxCallDepth;
  node.Do(CallArrived{3, deep});
  CHECK(node.Only<AnswerNotRun>()->reason == NotRunReason::kDepthExceeded);
  CHECK(node.counts().calls == 0);
}

TEST_CASE("noisy work is refused around a window and without freshness") {
  struct Row {
    int wall_ms;
    int confirmed_age_ms;
    std::optional<NotRunReason> reason;
  };
  // The window is [1,000 s, 2,000 s), the job 60 s, the clock error 0.5 s.
  const Row rows[] = {
      {939'499, 0, std::nullopt},
      {939'501, 0, NotRunReason::kQuietWindow},
      {1'500'000, 0, NotRunReason::kQuietWindow},
      {2'000'499, 0, NotRunReason::kQuietWindow},
      {2'000'500, 0, std::nullopt},
      {500'000, 10'000, std::nullopt},
      {500'000, 10'001, NotRunReason::kStaleConfiguration},
  };
  for (const Row& row : rows) {
    CAPTURE(row.wall_ms);
    CAPTURE(row.confirmed_age_ms);
    CallNode entry(MakeMember(1));
    CallNode destination(MakeMember(2));
    entry.MakeReady({});
    destination.MakeReady({});
    entry.Do(CallArrived{1, MakeMetadata("print")});
    const auto send = entry.Only<SendAttempt>();
    REQUIRE(send);
    AttemptRequest request = send->request;
    request.expires_at = WallTime(Seconds(10'000));
    destination.Advance(Milliseconds(row.confirmed_age_ms));
    destination.SetWall(WallTime(Milliseconds(row.wall_ms)));
    destination.Do(AttemptArrived{1, request});
    CHECK(destination.Only<StartUpstream>().has_value() == !row.reason);
    if (row.reason) {
      REQUIRE(destination.Only<ReplyNotRun>());
      CHECK(destination.Only<ReplyNotRun>()->reason == *row.reason);
      CHECK(destination.Only<ReplyNotRun>()->retry_after > Milliseconds(0));
    }
    entry.Advance(Milliseconds(row.confirmed_age_ms));
    entry.SetWall(WallTime(Milliseconds(row.wall_ms)));
    entry.Do(CallArrived{2, MakeMetadata("print")});
    CHECK(entry.Only<AnswerNotRun>().has_value() == row.reason.has_value());
    if (row.reason == NotRunReason::kQuietWindow) {
      CHECK(entry.Only<AnswerNotRun>()->retry_after >=
            Milliseconds(2'000'500 - row.wall_ms));
    }
  }
}

TEST_CASE("noisy work follows the newest route at the destination") {
  struct Row {
    bool noisy;
    std::string site;
    VersionNumber config_number;
    std::optional<NotRunReason> reason;
  };
  const Row rows[] = {
      {true, "works", 1, std::nullopt},
      // The entry node does not know yet that the route is noisy, or has
      // another site.
      {false, "", 1, NotRunReason::kStaleConfiguration},
      {true, "elsewhere", 1, NotRunReason::kStaleConfiguration},
      // The entry node has a version that this node does not have yet.
      {true, "works", 2, NotRunReason::kStaleConfiguration},
  };
  for (const Row& row : rows) {
    CAPTURE(row.site);
    CAPTURE(row.config_number);
    CallNode destination(MakeMember(2));
    destination.MakeReady({});
    AttemptRequest request;
    request.id = {0, 1};
    request.destination_start_id = 100;
    request.service = "svc";
    request.route = "print";
    request.deadline = Milliseconds(1'000);
    request.noisy = row.noisy;
    request.site = row.site;
    request.config_number = row.config_number;
    destination.Do(AttemptArrived{1, request});
    CHECK(destination.Only<StartUpstream>().has_value() == !row.reason);
    if (row.reason) {
      CHECK(destination.Only<ReplyNotRun>()->reason == *row.reason);
    }
  }
}

TEST_CASE("attempts beyond the slots wait in order") {
  CallNode destination(MakeMember(2));
  destination.MakeReady({});
  AttemptRequest request;
  request.destination_start_id = 100;
  request.service = "svc";
  request.deadline = Milliseconds(1'000);
  for (std::uint64_t n = 1; n <= 4; ++n) {
    request.id = {0, n};
    destination.Do(AttemptArrived{n, request});
    CHECK(destination.Only<StartUpstream>().has_value() == (n <= 2));
  }
  CHECK(destination.counts().attempts_queued == 2);
  destination.Do(UpstreamAnswerCompleted{{0, 2}});
  REQUIRE(destination.Only<StartUpstream>());
  CHECK(destination.Only<StartUpstream>()->attempt == AttemptId{0, 3});
  destination.Tick(Milliseconds(1'001));
  REQUIRE(destination.Only<ReplyNotRun>());
  CHECK(destination.Only<ReplyNotRun>()->reason == NotRunReason::kDeadline);
}

}  // namespace
}  // namespace cassiabend::testing
