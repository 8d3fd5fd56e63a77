#include <doctest/doctest.h>

#include "cassiabend/core/placement/load_record.h"
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
  Config config = MakeConfig(2);
  config.services.insert(config.services.begin(), {"elsewhere", kCallerTeam});
  driver->Do(ApplyVersion{RefPtr<const Snapshot>(new Snapshot(config))});
  UpstreamHeartbeat other = MakeHeartbeat("b", 1);
  other.service = "elsewhere";
  driver->Do(UpstreamHeartbeatReceived{other});
  CHECK(driver->Only<LocalUpstreamChanged>()->service == "elsewhere");
  CHECK_FALSE(driver.Accepts());
  driver->Do(UpstreamHeartbeatReceived{MakeHeartbeat("c", 1)});
  CHECK(driver.Accepts());
}

TEST_CASE("a heartbeat with a service that no version names changes nothing") {
  // Another writer may use the id of the upstream or one of its own.
  std::string long_name;
  for (int i = 0; i < 300; ++i) {
    long_name += "xfd4c09";
  }
  for (const std::string& service : {std::string("nosuch41"), long_name}) {
    for (const char* instance : {"a", "z"}) {
      for (const UpstreamPhase phase :
           {UpstreamPhase::kReady, UpstreamPhase::kDraining}) {
        CAPTURE(service.size());
        CAPTURE(instance);
        UpstreamDriver driver;
        driver->Do(UpstreamHeartbeatReceived{MakeHeartbeat("a", 1)});
        UpstreamHeartbeat foreign = MakeHeartbeat(instance, 900, phase);
        foreign.service = service;
        foreign.slots = 1'000;
        driver->Do(UpstreamHeartbeatReceived{foreign});
        CHECK(driver->effects().empty());
        driver->Do(CallArrived{1, MakeMetadata("status")});
        REQUIRE(driver->Only<SendAttempt>());
        CHECK(driver->Only<SendAttempt>()->request.caller_service == "svc");
        driver.Send();
        REQUIRE(driver->Only<StartUpstream>());
        CHECK(driver->Only<StartUpstream>()->instance == "a");
        // The upstream's own heartbeats go on.
        driver->Do(UpstreamHeartbeatReceived{
            MakeHeartbeat("a", 2, UpstreamPhase::kDraining)});
        CHECK_FALSE(driver.Accepts());
      }
    }
  }
}

TEST_CASE("a heartbeat of another host's upstream changes nothing") {
  CallOptions options = HeartbeatOptions();
  options.upstream_address = "10.0.0.1:8080";
  CallNode node(MakeMember(1), options);
  node.MakeReady({MakeMember(2)});
  UpstreamHeartbeat own = MakeHeartbeat("a", 1);
  own.address = "10.0.0.1:8080";
  own.zone = "a";
  node.Do(UpstreamHeartbeatReceived{own});
  UpstreamHeartbeat elsewhere = MakeHeartbeat("b", 1, UpstreamPhase::kDraining);
  elsewhere.address = "10.0.0.2:8080";
  UpstreamHeartbeat of_other_zone = MakeHeartbeat("b", 1);
  of_other_zone.zone = "b";
  of_other_zone.slots = 1;
  for (const UpstreamHeartbeat& it : {elsewhere, of_other_zone}) {
    CHECK(node.Do(UpstreamHeartbeatReceived{it}).empty());
  }
}

TEST_CASE("a restarted node probes its upstream for its instance id") {
  UpstreamDriver driver;
  driver->Tick(Milliseconds(20));
  REQUIRE(driver->Only<ProbeUpstream>());
  UpstreamProbed probed{.healthy = true};
  probed.instance = "a";
  probed.load.slots = 2;
  driver->Do(probed);
  CHECK(driver.Accepts());
}

/// \returns The number of attempts that the upstream is given at once.
int SlotsOf(UpstreamDriver* driver) {
  int n = 0;
  for (; n < 300; ++n) {
    driver->Send();
    if (!(*driver)->Only<StartUpstream>()) {
      break;
    }
  }
  return n;
}

TEST_CASE("the slots of an upstream follow what it reports, within bounds") {
  const std::pair<UpstreamLoad, int> cases[] = {
      {{0, 0, 8, 100}, 8},     // as the heartbeat says
      {{2, 0, 6, 0}, 6},       // fewer
      {{0, 0, 0, 150}, 8},     // tells no slots
      {{0, 0, 100, 100}, 16},  // more than a report may add
      {{0, 0, 1, 100}, 4},     // fewer than a report may leave
  };
  for (const auto& it : cases) {
    const UpstreamLoad load = it.first;
    CAPTURE(load.slots);
    UpstreamDriver driver;
    UpstreamHeartbeat heartbeat = MakeHeartbeat("a", 1);
    heartbeat.slots = 8;
    driver->Do(UpstreamHeartbeatReceived{heartbeat});
    driver->Do(UpstreamLoadReported{load});
    CHECK(SlotsOf(&driver) == it.second);
  }
}

TEST_CASE("slots that were reported long ago count no more") {
  UpstreamDriver driver;
  UpstreamHeartbeat heartbeat = MakeHeartbeat("a", 1);
  heartbeat.slots = 8;
  driver->Do(UpstreamHeartbeatReceived{heartbeat});
  driver->Do(UpstreamLoadReported{{0, 0, 5, 100}});
  driver->Advance(LoadRecord::kHorizon);
  CHECK(SlotsOf(&driver) == 8);
}

TEST_CASE(
    "answers, refusals and heartbeats tell the speed, while it is known") {
  UpstreamDriver driver;
  driver->Do(UpstreamHeartbeatReceived{MakeHeartbeat("a", 1)});
  const auto answer = [&driver] {
    const AttemptId id = driver.Send();
    driver->Do(UpstreamAnswerStarted{id, 200});
    const auto sent = driver->Only<SendAnswer>();
    driver->Do(UpstreamAnswerCompleted{id});
    return sent ? sent->times.time_percent : -1;
  };
  CHECK(answer() == 0);
  driver->Do(UpstreamLoadReported{{1, 0, 2, 140}});
  CHECK(answer() == 140);
  const AttemptId running = driver.Send();
  driver->Tick(Milliseconds(100));
  REQUIRE(driver->Only<LocalLoadChanged>());
  CHECK(driver->Only<LocalLoadChanged>()->time_percent == 140);
  driver->Do(UpstreamShed{running, Milliseconds(50)});
  REQUIRE(driver->Only<ReplyNotRun>());
  CHECK(driver->Only<ReplyNotRun>()->times.time_percent == 140);
  driver->Advance(LoadRecord::kHorizon);
  CHECK(answer() == 0);
}

TEST_CASE("a probe with the speed of work names the slots alone") {
  UpstreamDriver driver;
  driver->Tick(Milliseconds(20));
  REQUIRE(driver->Only<ProbeUpstream>());
  UpstreamProbed probed{.healthy = true};
  probed.instance = "a";
  probed.load = {0, 0, 6, 100};
  driver->Do(probed);
  CHECK(SlotsOf(&driver) == 6);
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
