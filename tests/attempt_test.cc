#include "cassiabend/core/attempt_tombstones.h"

#include <doctest/doctest.h>

#include "tests/call_support.h"

namespace cassiabend::testing {
namespace {

constexpr AttemptId kId{0, 7};

AttemptRequest MakeAttempt(bool once) {
  AttemptRequest request;
  request.id = kId;
  request.destination_start_id = 100;
  request.service = "svc";
  request.once = once;
  request.deadline = Milliseconds(4'000);
  request.expires_at = WallTime(Seconds(104));
  return request;
}

/// \brief A destination node that has received one attempt on connection 1.
class Destination : public CallNode {
 public:
  explicit Destination(bool once) : CallNode(MakeMember(2)) {
    MakeReady({});
    Do(AttemptArrived{1, MakeAttempt(once)});
  }
};

/// \brief An entry node with call 1 in progress.
struct EntryCall {
  explicit EntryCall(const std::string& route) : node(MakeMember(1)) {
    node.MakeReady({MakeMember(2), MakeMember(3)});
    node.Do(CallArrived{1, MakeMetadata(route)});
    id = node.Only<SendAttempt>()->request.id;
  }
  CallNode node;
  AttemptId id;
};

TEST_CASE("a lost connection is followed by a fetch, a cancel, then unknown") {
  EntryCall call("orders");
  call.node.Do(AttemptConnectionLost{1, call.id, ConnectionLoss::kTimedOut});
  REQUIRE(call.node.Only<SendAttempt>());
  CHECK(call.node.Only<SendAttempt>()->verb == AttemptVerb::kFetch);
  call.node.Do(AttemptConnectionLost{1, call.id, ConnectionLoss::kNeverSent});
  CHECK(!call.node.Only<SendAttempt>());
  call.node.Tick(Milliseconds(60));
  CHECK(call.node.Only<SendAttempt>()->verb == AttemptVerb::kFetch);
  call.node.Do(AttemptConnectionLost{1, call.id, ConnectionLoss::kBroken});
  CHECK(call.node.Only<SendAttempt>()->verb == AttemptVerb::kCancel);
  call.node.Do(AttemptConnectionLost{1, call.id, ConnectionLoss::kNeverSent});
  CHECK(call.node.Only<AnswerUnknown>());
  CHECK(call.node.counts().calls == 0);
}

TEST_CASE(
    "what provably did not run, or may be repeated, is retried elsewhere") {
  struct Row {
    const char* route;
    CallEvent event;
    bool retried;
    bool not_run;
  };
  const auto rows = [](const AttemptId& id) {
    return std::vector<Row>{
        {"orders", AttemptConnectionLost{1, id, ConnectionLoss::kNeverSent},
         true, true},
        {"orders", AttemptNotRun{1, id, NotRunReason::kDraining}, true, true},
        {"orders", AttemptNotRun{1, id, NotRunReason::kQuietWindow}, false,
         true},
        {"orders", AttemptNotRun{1, id, NotRunReason::kShareExceeded}, false,
         true},
        {"orders", AttemptUnknown{1, id}, false, false},
        {"status", AttemptUnknown{1, id}, true, false},
    };
  };
  for (std::size_t i = 0; i < rows(kId).size(); ++i) {
    CAPTURE(i);
    EntryCall call(rows(kId)[i].route);
    const Row row = rows(call.id)[i];
    call.node.Do(row.event);
    const auto send = call.node.Only<SendAttempt>();
    CHECK(send.has_value() == row.retried);
    if (send) {
      CHECK(send->request.id != call.id);
      CHECK(send->request.is_retry);
      call.node.Do(AttemptNotRun{1, send->request.id, NotRunReason::kDraining});
      const auto third = call.node.Only<SendAttempt>();
      REQUIRE(third);
      call.node.Do(
          AttemptNotRun{1, third->request.id, NotRunReason::kDraining});
    }
    CHECK(call.node.Only<AnswerNotRun>().has_value() == row.not_run);
    CHECK(call.node.Only<AnswerUnknown>().has_value() == !row.not_run);
  }
}

TEST_CASE("the caller gets the newest refusal that is not transient") {
  EntryCall call("status");
  call.node.Do(AttemptNotRun{1, call.id, NotRunReason::kStoreUnavailable,
                             Milliseconds(700)});
  const auto second = call.node.Only<SendAttempt>();
  REQUIRE(second);
  call.node.Do(AttemptNotRun{1, second->request.id, NotRunReason::kRestarted});
  const auto third = call.node.Only<SendAttempt>();
  REQUIRE(third);
  call.node.Do(AttemptNotRun{1, third->request.id, NotRunReason::kDraining});
  REQUIRE(call.node.Only<AnswerNotRun>());
  CHECK(call.node.Only<AnswerNotRun>()->reason ==
        NotRunReason::kStoreUnavailable);
  CHECK(call.node.Only<AnswerNotRun>()->retry_after >= Milliseconds(700));
}

TEST_CASE("a call below a retry is not retried") {
  CallNode node(MakeMember(1));
  node.MakeReady({MakeMember(2)});
  CallMetadata metadata = MakeMetadata("status");
  metadata.is_retry = true;
  node.Do(CallArrived{1, metadata});
  const AttemptId id = node.Only<SendAttempt>()->request.id;
  CHECK(node.Only<SendAttempt>()->request.is_retry);
  node.Do(AttemptNotRun{1, id, NotRunReason::kDraining});
  CHECK(node.Only<AnswerNotRun>());
}

TEST_CASE(
    "a refusal of a fetch after the deadline leaves the outcome unknown") {
  EntryCall call("orders");
  call.node.Do(AttemptConnectionLost{1, call.id, ConnectionLoss::kBroken});
  call.node.Advance(Milliseconds(4'001));
  call.node.Do(AttemptNotRun{1, call.id, NotRunReason::kCancelled});
  CHECK(call.node.Only<AnswerUnknown>());
}

TEST_CASE("an order without an answer is cancelled in time, then unknown") {
  EntryCall call("orders");
  call.node.Tick(Milliseconds(3'919));
  CHECK(call.node.effects().empty());
  call.node.Tick(Milliseconds(1));
  REQUIRE(call.node.Only<SendAttempt>());
  CHECK(call.node.Only<SendAttempt>()->verb == AttemptVerb::kCancel);
  call.node.Tick(Milliseconds(80));
  CHECK(call.node.Only<AnswerUnknown>());
}

TEST_CASE("a connection that waits for a long attempt gets progress replies") {
  // An attempt of several seconds must not look like a lost connection: the
  // entry node would close the connection, and the upstream would see its work
  // cancelled.
  Destination running(false);
  int shown = 0;
  for (int i = 0; i < 30; ++i) {
    running.Tick(Milliseconds(100));
    shown += running.Only<ReplyProgress>() ? 1 : 0;
    CHECK_FALSE(running.Only<CancelUpstream>());
  }
  CHECK(shown == 4);
  running.Do(UpstreamAnswerCompleted{kId});
  CHECK(running.Only<SendAnswer>());
  for (int i = 0; i < 10; ++i) {
    running.Tick(Milliseconds(100));
    CHECK_FALSE(running.Only<ReplyProgress>());
  }
}

TEST_CASE("an answer is due within the time for which it was admitted") {
  for (const Milliseconds objective :
       {Milliseconds(0), kMissedObjective, Milliseconds(300)}) {
    CAPTURE(objective.count());
    CallNode node(MakeMember(2));
    node.MakeReady({});
    AttemptRequest request = MakeAttempt(false);
    request.objective = objective;
    const MonoTime begin = node.now().mono;
    node.Do(AttemptArrived{1, request});
    node.Do(UpstreamAnswerCompleted{kId, 100'000});
    REQUIRE(node.Only<SendAnswer>());
    const Milliseconds due =
        objective > kMissedObjective ? objective : request.deadline / 4;
    CHECK(node.Only<SendAnswer>()->due == begin + due);
  }
}

TEST_CASE("an endless answer releases its slot after the deadline") {
  for (const bool once : {false, true}) {
    CAPTURE(once);
    Destination running(once);
    running.Do(UpstreamAnswerStarted{kId, 200});
    REQUIRE(running.Only<SendAnswer>());
    bool cancelled = false;
    for (int i = 0; i < 200 && !cancelled; ++i) {
      running.Tick(Milliseconds(100));
      cancelled = running.Only<CancelUpstream>().has_value();
    }
    CHECK(cancelled);
    CHECK(running.Only<ReplyUnknown>());
    CHECK(running.counts().attempts_running == 0);
  }
}

TEST_CASE("a download that the link cannot send in time is refused at once") {
  constexpr std::uint64_t kDownload = 90'000;
  CallNode node(MakeMember(2));
  node.MakeReady({});
  AttemptRequest request = MakeAttempt(false);
  request.objective = Milliseconds(1'000);
  request.deadline = Milliseconds(4'000);
  std::uint64_t n = 100;
  const auto arrive = [&](const std::string& request_class) {
    request.id = {n, n};
    request.request_class = request_class;
    node.Do(AttemptArrived{n++, request});
    return node.Only<StartUpstream>().has_value();
  };
  const auto finish = [&](std::uint64_t bytes) {
    node.Advance(Milliseconds(100));
    node.Do(UpstreamAnswerCompleted{request.id, bytes});
  };
  REQUIRE(arrive("download"));
  finish(kDownload);
  REQUIRE(arrive("read"));
  finish(1'500);
  // A network link of 10 Mbit/s for which 0.8 s of large answers wait.
  node.Do(LinkLoadChanged{800'000, 1'000'000});
  CHECK(arrive("download"));
  finish(kDownload);
  // A second one would be late: the first one is still ahead of it.
  node.Do(LinkLoadChanged{890'000, 1'000'000});
  CHECK_FALSE(arrive("download"));
  REQUIRE(node.Only<ReplyNotRun>());
  CHECK(node.Only<ReplyNotRun>()->reason == NotRunReason::kOverloaded);
  CHECK(node.Only<ReplyNotRun>()->retry_after > Milliseconds(0));
  // Small answers do not wait for the link.
  CHECK(arrive("read"));
  finish(1'500);
  // An answer that is already late must leave room for others.
  request.objective = kMissedObjective;
  CHECK_FALSE(arrive("download"));
  node.Do(LinkLoadChanged{100'000, 1'000'000});
  CHECK(arrive("download"));
}

TEST_CASE("a destination replies to fetches by the state of the attempt") {
  Destination running(true);
  running.Do(FetchArrived{2, kId, 100});
  CHECK(running.effects().empty());
  running.Tick(Milliseconds(1'000));
  REQUIRE(running.Only<ReplyStillRunning>());
  CHECK(running.Only<ReplyStillRunning>()->connection == 2);
  running.Do(UpstreamAnswerCompleted{kId});
  CHECK(!running.Only<SendAnswer>());
  running.Do(FetchArrived{3, kId, 100});
  REQUIRE(running.Only<SendAnswer>());
  CHECK(running.Only<SendAnswer>()->connection == 3);
  running.Tick(Milliseconds(10'000));
  CHECK(!running.Only<ReleaseAttempt>());
  running.Do(AnswerSent{3});
  running.Tick(Milliseconds(10'000));
  CHECK(running.Only<ReleaseAttempt>());
  running.Do(FetchArrived{4, kId, 100});
  CHECK(running.Only<ReplyUnknown>());

  CallNode absent(MakeMember(2));
  absent.MakeReady({});
  absent.Do(FetchArrived{1, kId, 99});
  CHECK(absent.Only<ReplyUnknown>());
  absent.Do(FetchArrived{2, kId, 100});
  CHECK(absent.Only<ReplyNotRun>());
  absent.Do(AttemptArrived{3, MakeAttempt(true)});
  CHECK(absent.Only<ReplyNotRun>());
  CHECK(!absent.Only<StartUpstream>());
}

TEST_CASE("copies of an attempt do not start it again") {
  Destination node(true);
  node.Do(AttemptArrived{1, MakeAttempt(true)});
  CHECK(!node.Only<StartUpstream>());
  node.Do(UpstreamAnswerCompleted{kId});
  node.Do(AnswerSent{1});
  node.Tick(Milliseconds(10'000));
  node.Do(AttemptArrived{2, MakeAttempt(true)});
  CHECK(node.Only<ReplyUnknown>());
  // Its tombstone has expired, and so has the copy.
  node.Tick(Milliseconds(600'000));
  node.Do(AttemptArrived{3, MakeAttempt(true)});
  REQUIRE(node.Only<ReplyNotRun>());
  CHECK(node.Only<ReplyNotRun>()->reason == NotRunReason::kDeadline);
}

TEST_CASE("cancel stops what has not started and what may be repeated") {
  Destination status(false);
  status.Do(CancelArrived{2, kId, 100});
  CHECK(status.Only<CancelUpstream>());
  CHECK(status.Only<ReplyUnknown>());
  Destination order(true);
  order.Do(CancelArrived{2, kId, 100});
  CHECK(order.effects().empty());
  order.Do(UpstreamAnswerCompleted{kId});
  REQUIRE(order.Only<SendAnswer>());
  CHECK(order.Only<SendAnswer>()->connection == 2);
}

TEST_CASE("an attempt without a connection is cancelled only if repeatable") {
  for (const bool once : {false, true}) {
    Destination node(once);
    node.Do(ConnectionLost{1});
    node.Tick(Milliseconds(300));
    CHECK(node.Only<CancelUpstream>().has_value() == !once);
    CHECK(node.counts().attempts_running == (once ? 1 : 0));
  }
}

// Listed in KNOWN-RED.txt: issue 20.
TEST_CASE("a run outlasts one connect timeout of the node that fetches it" *
          doctest::should_fail()) {
  // `http.connect_timeout_ms` is 250 ms, and a fetch is repeated after 40 ms.
  Destination node(false);
  node.Do(ConnectionLost{1});
  for (int step = 0; step < 16; ++step) {
    node.Tick(Milliseconds(20));
    CHECK(!node.Only<CancelUpstream>());
  }
  node.Do(FetchArrived{2, kId, 100});
  CHECK(!node.Only<ReplyUnknown>());
  CHECK(node.counts().attempts_running == 1);
}

TEST_CASE(
    "tombstones are bounded, and copies of evicted attempts are refused") {
  AttemptTombstones tombstones(4);
  const MonoTime start{};
  for (std::uint64_t n = 1; n <= 5; ++n) {
    CHECK(tombstones.Add({0, n}, TombstoneKind::kRan, WallTime(Seconds(n)),
                         start + Seconds(n)));
  }
  CHECK(tombstones.size() == 4);
  CHECK(!tombstones.Find({0, 1}));
  CHECK(tombstones.MayHaveEvicted(WallTime(Seconds(1))));
  CHECK(!tombstones.MayHaveEvicted(WallTime(Seconds(2))));
  CHECK(tombstones.Add({1, 1}, TombstoneKind::kNotRun, std::nullopt,
                       start + Seconds(9)));
  CHECK(tombstones.Add({1, 2}, TombstoneKind::kNotRun, std::nullopt,
                       start + Seconds(9)));
  CHECK(!tombstones.Add({1, 3}, TombstoneKind::kNotRun, std::nullopt,
                        start + Seconds(9)));
  tombstones.Expire(start + Seconds(9));
  CHECK(tombstones.size() == 0);
}

}  // namespace
}  // namespace cassiabend::testing
