#include <doctest/doctest.h>

#include "tests/call_support.h"

namespace cassiabend::testing {
namespace {

CallOptions HeartbeatOptions() {
  CallOptions options;
  options.upstream_heartbeat = Milliseconds(1'500);
  options.slots = 2;
  return options;
}

UpstreamHeartbeat MakeHeartbeat(const char* instance,
                                std::uint64_t sequence,
                                UpstreamPhase phase = UpstreamPhase::kReady) {
  return {.instance = instance,
          .started_at = WallTime(Milliseconds(instance[0] * 1'000)),
          .sequence = sequence,
          .service = "svc",
          .slots = 2,
          .phase = phase};
}

/// \brief A node whose upstream sends heartbeats, and which gets attempts.
class UpstreamDriver {
 public:
  UpstreamDriver() : node_(Self(), HeartbeatOptions()) {
    node_.MakeReady({MakeMember(2)});
  }

  CallNode& operator*() { return node_; }
  CallNode* operator->() { return &node_; }

  /// \returns The attempt that was sent; its effects are the latest ones of the
  /// node.
  AttemptId Send() {
    AttemptRequest request;
    request.id = {1, ++last_};
    request.destination_start_id = node_.self().start_id;
    request.service = "svc";
    request.route = "status";
    request.request_class = "status";
    request.deadline = Milliseconds(600);
    node_.Do(AttemptArrived{last_, request});
    return request.id;
  }
  [[nodiscard]] bool Accepts() {
    const AttemptId id = Send();
    const bool accepted = node_.Only<StartUpstream>().has_value();
    if (accepted) {
      node_.Do(UpstreamAnswerStarted{id, 200});
      node_.Do(UpstreamAnswerCompleted{id});
    }
    return accepted;
  }

 private:
  static Member Self() {
    Member self = MakeMember(1);
    self.upstream_state = UpstreamState::kWarming;
    return self;
  }

  CallNode node_;
  std::uint64_t last_ = 0;
};

TEST_CASE(
    "an upstream gets attempts from its first heartbeat on, by instance") {
  UpstreamDriver driver;
  CHECK_FALSE(driver.Accepts());
  driver->Do(UpstreamHeartbeatReceived{MakeHeartbeat("a", 1)});
  CHECK(driver->Only<LocalUpstreamChanged>()->state == UpstreamState::kServing);
  driver.Send();
  REQUIRE(driver->Only<StartUpstream>());
  CHECK(driver->Only<StartUpstream>()->instance == "a");
}

TEST_CASE("an upstream that announces its stop gets no more attempts") {
  for (const UpstreamPhase it :
       {UpstreamPhase::kDraining, UpstreamPhase::kLeft}) {
    UpstreamDriver driver;
    driver->Do(UpstreamHeartbeatReceived{MakeHeartbeat("a", 1)});
    for (int i = 0; i < 3; ++i) {
      driver.Send();
    }
    driver->Do(UpstreamHeartbeatReceived{MakeHeartbeat("a", 2, it)});
    // The attempt that waited is refused, so that it is retried elsewhere.
    REQUIRE(driver->Only<ReplyNotRun>());
    CHECK_FALSE(driver.Accepts());
    // A heartbeat that was overtaken does not reopen it.
    driver->Do(UpstreamHeartbeatReceived{MakeHeartbeat("a", 3)});
    CHECK_FALSE(driver.Accepts());
    driver->Do(UpstreamHeartbeatReceived{MakeHeartbeat("b", 1)});
    driver.Send();
    // Two attempts at the first start are still running.
    CHECK_FALSE(driver->Only<ReplyNotRun>());
  }
}

TEST_CASE(
    "another upstream at the address gets no attempts before its heartbeat") {
  UpstreamDriver driver;
  driver->Do(UpstreamHeartbeatReceived{MakeHeartbeat("a", 1)});
  const AttemptId id = driver.Send();
  driver->Do(UpstreamReplaced{id});
  REQUIRE(driver->Only<ReplyNotRun>());
  CHECK(driver->Only<ReplyNotRun>()->reached_upstream);
  CHECK_FALSE(driver.Accepts());
  // It may belong to another service, so its instance id alone is not enough.
  for (int i = 0; i < 5; ++i) {
    driver->Tick(Milliseconds(600));
    CHECK_FALSE(driver->Only<ProbeUpstream>());
  }
  UpstreamHeartbeat other = MakeHeartbeat("b", 1);
  other.service = "elsewhere";
  driver->Do(UpstreamHeartbeatReceived{other});
  CHECK(driver->Only<LocalUpstreamChanged>()->service == "elsewhere");
  CHECK_FALSE(driver.Accepts());
  driver->Do(UpstreamHeartbeatReceived{MakeHeartbeat("c", 1)});
  CHECK(driver.Accepts());
}

TEST_CASE("a restarted node probes its upstream for its instance id") {
  UpstreamDriver driver;
  driver->Tick(Milliseconds(20));
  REQUIRE(driver->Only<ProbeUpstream>());
  UpstreamProbed probed{.healthy = true};
  probed.instance = "a";
  probed.slots = 2;
  driver->Do(probed);
  CHECK(driver.Accepts());
}

TEST_CASE("an upstream that loses some of its answers keeps serving") {
  UpstreamDriver driver;
  driver->Do(UpstreamHeartbeatReceived{MakeHeartbeat("a", 1)});
  for (int i = 0; i < 200; ++i) {
    CAPTURE(i);
    driver->Advance(Milliseconds(10));
    const AttemptId id = driver.Send();
    REQUIRE(driver->Only<StartUpstream>());
    if (i % 8 >= 3) {
      driver->Do(UpstreamConnectionLost{id});
    } else {
      driver->Do(UpstreamAnswerStarted{id, 200});
      driver->Do(UpstreamAnswerCompleted{id});
    }
  }
}

TEST_CASE("an upstream that answers nothing gets no more attempts") {
  UpstreamDriver driver;
  driver->Do(UpstreamHeartbeatReceived{MakeHeartbeat("a", 1)});
  CHECK(driver.Accepts());
  driver->Advance(Milliseconds(400));
  for (int i = 0; i < 3; ++i) {
    driver->Do(UpstreamConnectionLost{driver.Send()});
  }
  CHECK_FALSE(driver.Accepts());
  driver->Do(UpstreamHeartbeatReceived{MakeHeartbeat("a", 2)});
  CHECK(driver.Accepts());
}

}  // namespace
}  // namespace cassiabend::testing
