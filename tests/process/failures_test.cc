#include <doctest/doctest.h>

#include <chrono>
#include <csignal>
#include <cstdint>
#include <string>
#include <thread>
#include <utility>

#include "cassiabend/base/error.h"
#include "tests/support/work_folder.h"
#include "tools/harness/fleet.h"

namespace cassiabend {
namespace {

using harness::Response;

constexpr std::chrono::seconds kWait{90};
constexpr std::size_t kHosts = 6;

harness::Deployment Cascadia() {
  return harness::DeploymentByName("cascadia");
}

/// \brief A ready fleet with the example configuration in force as version 1.
class ReadyFleet {
 public:
  explicit ReadyFleet(const std::string& name,
                      std::vector<std::string> upstream_arguments = {},
                      const boost::json::object& http = {})
      : folder_(name),
        fleet_(OptionsOf(folder_, std::move(upstream_arguments), http)) {
    fleet_.Start();
    REQUIRE(fleet_.WaitMembers(kHosts, kWait));
    const CommitResult result = Commit(0, ExampleChange(Cascadia(), NextId()));
    REQUIRE(result.code == CommitCode::kOk);
    REQUIRE(fleet_.WaitVersion(result.mark.number, kWait));
    REQUIRE(fleet_.WaitReady(kWait));
    REQUIRE(fleet_.WaitServing(kHosts, kWait));
  }

  harness::Fleet* operator->() { return &fleet_; }

  ChangeId NextId() { return {0xFA17, ++changes_}; }

  /// \returns A change that adds one route.
  Change NextChange() {
    const ChangeId id = NextId();
    Route route;
    route.name = "added-" + std::to_string(changes_);
    route.team = "cascadia";
    route.path_prefix = "/" + route.name;
    route.service = "catalog";
    route.request_class = "status";
    route.repeat = RepeatPolicy::kRepeatable;
    route.timeout = Milliseconds(1'000);
    return {.id = id, .author = {}, .edits = {{route, {}}}};
  }

  /// \brief Commits a change, and retries with the same change id while the
  /// outcome is unknown.
  CommitResult Commit(std::size_t host, const Change& change) {
    for (int i = 0; i < 5; ++i) {
      try {
        CommitResult result = fleet_.Admin(host)->Commit(change, false);
        if (result.code != CommitCode::kOutcomeUnknown) {
          return result;
        }
      } catch (const RpcError&) {
        // The outcome is unknown; a retry with the same change id returns it.
      }
    }
    return {.code = CommitCode::kOutcomeUnknown};
  }

  bool EveryNodeAnswers() {
    for (std::size_t i = 0; i < kHosts; ++i) {
      const Response answer = fleet_.Call(i, {.target = "/status/1"});
      if (answer.status != 200) {
        MESSAGE("host ", i, ": ", answer.body);
        return false;
      }
    }
    return true;
  }

 private:
  static harness::FleetOptions OptionsOf(const WorkFolder& folder,
                                         std::vector<std::string> arguments,
                                         const boost::json::object& http) {
    harness::FleetOptions options;
    options.deployment = Cascadia();
    options.hosts = kHosts;
    options.bin = ProgramFolder();
    options.work = folder.path();
    options.upstream_arguments = std::move(arguments);
    // Short enough for the lease of a paused reader to expire in the test.
    options.settings = {{"fleet", {{"reader_lease_s", 1}}}, {"http", http}};
    return options;
  }

  WorkFolder folder_;
  harness::Fleet fleet_;
  std::uint64_t changes_ = 0;
};

TEST_CASE("an outage of the store blocks changes and nothing else") {
  ReadyFleet fleet("store-outage");
  fleet->ControlStore(R"({"down": true})");
  CHECK(fleet.EveryNodeAnswers());
  const Change change = fleet.NextChange();
  const CommitCode refused = fleet->Admin(1)->Commit(change, false).code;
  CHECK(refused == CommitCode::kStoreUnavailable);

  // A node that starts during the outage gets its version from its peers.
  fleet->KillNode(2);
  fleet->StartNode(2);
  REQUIRE(fleet->WaitVersion(1, kWait));
  REQUIRE(fleet->WaitReady(kWait));
  CHECK(fleet.EveryNodeAnswers());

  fleet->ControlStore(R"({"down": false})");
  const CommitResult accepted = fleet.Commit(1, change);
  REQUIRE(accepted.code == CommitCode::kOk);
  CHECK(accepted.mark.number == 2);
  CHECK(fleet->WaitVersion(2, kWait));
}

TEST_CASE("a change whose store replies are lost is committed once") {
  ReadyFleet fleet("lost-answers");
  fleet->ControlStore(R"({"lose_next_answers": 3})");
  const Change change = fleet.NextChange();
  const CommitResult result = fleet.Commit(3, change);
  REQUIRE(result.code == CommitCode::kOk);
  CHECK(result.mark.number == 2);
  REQUIRE(fleet->WaitVersion(2, kWait));
  CHECK(fleet.Commit(4, change).mark == result.mark);
  CHECK(fleet->Version(0).at("version").to_number<int>() == 2);
}

TEST_CASE("a committed change survives a kill of every node") {
  ReadyFleet fleet("all-killed");
  const CommitResult result = fleet.Commit(5, fleet.NextChange());
  REQUIRE(result.code == CommitCode::kOk);
  for (std::size_t i = 0; i < kHosts; ++i) {
    fleet->KillNode(i);
  }
  for (std::size_t i = 0; i < kHosts; ++i) {
    fleet->StartNode(i);
  }
  REQUIRE(fleet->WaitVersion(result.mark.number, kWait));
  REQUIRE(fleet->WaitReady(kWait));
  REQUIRE(fleet->WaitServing(kHosts, kWait));
  CHECK(fleet.EveryNodeAnswers());
  const CommitResult next = fleet.Commit(0, fleet.NextChange());
  CHECK(next.mark.number == result.mark.number + 1);
}

TEST_CASE("a store restored from an old copy is refused until recovery") {
  ReadyFleet fleet("restored");
  fleet->ControlStore(R"({"save": "old"})");
  const CommitResult newest = fleet.Commit(0, fleet.NextChange());
  REQUIRE(newest.mark.number == 2);
  REQUIRE(fleet->WaitVersion(2, kWait));
  fleet->ControlStore(R"({"restore": "old"})");

  CHECK(fleet.Commit(1, fleet.NextChange()).code == CommitCode::kStoreBehind);
  CHECK(fleet.EveryNodeAnswers());
  for (std::size_t i = 0; i < kHosts; ++i) {
    CHECK(fleet->Version(i).at("version").to_number<int>() == 2);
  }

  const CommitResult recovered = fleet->Admin(1)->Recover(fleet.NextId());
  REQUIRE(recovered.code == CommitCode::kOk);
  CHECK(recovered.mark.number == 3);
  REQUIRE(fleet->WaitVersion(3, kWait));
  CHECK(fleet.Commit(2, fleet.NextChange()).mark.number == 4);
}

TEST_CASE("nodes paused past their leases resume without harm") {
  ReadyFleet fleet("paused");
  for (std::size_t i = 0; i < kHosts; i += 2) {
    fleet->node(i)->Signal(SIGSTOP);
  }
  const CommitResult result = fleet.Commit(1, fleet.NextChange());
  REQUIRE(result.code == CommitCode::kOk);
  std::this_thread::sleep_for(std::chrono::seconds(3));
  for (std::size_t i = 0; i < kHosts; i += 2) {
    fleet->node(i)->Signal(SIGCONT);
  }
  REQUIRE(fleet->WaitVersion(result.mark.number, kWait));
  REQUIRE(fleet->WaitMembers(kHosts, kWait));
  const CommitResult next = fleet.Commit(0, fleet.NextChange());
  REQUIRE(next.code == CommitCode::kOk);
  CHECK(fleet->WaitVersion(next.mark.number, kWait));
}

TEST_CASE("SIGTERM cuts no call in flight, and later calls go elsewhere") {
  ReadyFleet fleet("drain", {"--latency-us", "400000"});
  // Hosts 0 and 3 serve "catalog".
  std::vector<Response> answers(8);
  std::vector<std::thread> callers;
  callers.reserve(answers.size());
  for (Response& it : answers) {
    callers.emplace_back([&fleet, &it] {
      it = fleet->Call(1, {.target = "/status/in-flight"});
    });
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  fleet->StopNode(0);
  for (std::thread& it : callers) {
    it.join();
  }
  for (const Response& it : answers) {
    CAPTURE(it.body);
    CHECK(it.status == 200);
    CHECK(it.complete);
  }
  CHECK(fleet->node(0)->Wait(kWait) == 0);
  CHECK(fleet->Call(1, {.target = "/status/later"}).status == 200);
}

TEST_CASE("SIGTERM cuts no download in progress over a slow link") {
  constexpr std::size_t kBytes = 400'000;
  ReadyFleet fleet("narrow-drain", {},
                   {{"link_kilobits", 2'000},
                    {"whole_answer_bytes", 600'000},
                    {"held_answer_bytes", 700'000}});
  Response answer;
  std::thread caller([&fleet, &answer] {
    answer = fleet->Call(1, {.target = "/bytes/" + std::to_string(kBytes)});
  });
  // Hosts 2 and 5 serve "artwork".
  const auto is_sending = [&fleet](std::size_t host) {
    return fleet->Metrics(host)["cassiabend_link_waiting_bytes"] > 0;
  };
  while (!is_sending(2) && !is_sending(5)) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  fleet->StopNode(2);
  fleet->StopNode(5);
  caller.join();
  CHECK(answer.status == 200);
  CHECK(answer.complete);
  CHECK(answer.body.size() == kBytes);
  CHECK(fleet->node(2)->Wait(kWait) == 0);
  CHECK(fleet->node(5)->Wait(kWait) == 0);
}

TEST_CASE("a killed upstream's calls are answered by another") {
  ReadyFleet fleet("killed-node");
  fleet->KillNode(0);
  for (int i = 0; i < 20; ++i) {
    const Response answer = fleet->Call(1, {.target = "/status/1"});
    CAPTURE(answer.body);
    CHECK(answer.status == 200);
  }
  fleet->StartNode(0);
  CHECK(fleet->WaitReady(kWait));
}

}  // namespace
}  // namespace cassiabend
