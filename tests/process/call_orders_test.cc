#include <doctest/doctest.h>

#include <chrono>
#include <set>
#include <string>
#include <thread>

#include "tests/support/work_folder.h"
#include "tools/harness/fleet.h"

namespace cassiabend {
namespace {

using harness::Request;
using harness::Response;

constexpr std::chrono::seconds kWait{60};
constexpr std::size_t kHosts = 6;

Request MakeOrder(const std::string& key) {
  return {.method = "POST",
          .target = "/orders/" + key,
          .headers = {{"Idempotency-Key", key}},
          .body = "{}"};
}

/// \returns How often the upstream of one host ran an order.
std::int64_t RunsAtHost(const harness::Fleet& fleet,
                        std::size_t host,
                        const std::string& key) {
  const boost::json::value runs = fleet.Executions(host);
  const auto* count = runs.at("by_key").as_object().if_contains(key);
  return count == nullptr ? 0 : count->to_number<std::int64_t>();
}

std::int64_t TotalRuns(const harness::Fleet& fleet, const std::string& key) {
  std::int64_t total = 0;
  for (std::size_t n = 0; n < fleet.hosts().size(); ++n) {
    total += RunsAtHost(fleet, n, key);
  }
  return total;
}

/// \brief Sends one order through every node.
/// \returns Whether every node returned the same complete answer.
bool IsAnsweredEverywhere(const harness::Fleet& fleet, const std::string& key) {
  std::set<std::string> bodies;
  for (std::size_t n = 0; n < kHosts; ++n) {
    const Response answer = fleet.Call(n, MakeOrder(key));
    const bool answered = answer.status == 200 && answer.complete;
    bodies.insert(answered ? answer.body : "");
    if (!answered) {
      MESSAGE(key << " through host " << n << ": " << answer.status << " "
                  << answer.body);
    }
  }
  return bodies.size() == 1 && !bodies.contains("");
}

/// \brief Sends orders through every node until all nodes agree on the home
/// node of several orders in a row. Checks that no order runs twice meanwhile.
/// \param name Prefix of the orders' keys.
/// \returns Whether they agree within `kWait`.
bool WaitForAgreement(const harness::Fleet& fleet, const std::string& name) {
  constexpr int kConsecutiveAgreements = 8;
  const auto end = std::chrono::steady_clock::now() + kWait;
  int agreements = 0;
  for (int n = 0; std::chrono::steady_clock::now() < end; ++n) {
    const std::string key = name + std::to_string(n);
    agreements = IsAnsweredEverywhere(fleet, key) ? agreements + 1 : 0;
    CHECK(TotalRuns(fleet, key) <= 1);
    if (agreements == kConsecutiveAgreements) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  return false;
}

TEST_CASE("an order with a key runs once across nodes, kills and outages") {
  const WorkFolder folder("call-orders");
  const harness::Deployment deployment = harness::DeploymentByName("cascadia");
  harness::Fleet fleet({.deployment = deployment,
                        .hosts = kHosts,
                        .bin = ProgramFolder(),
                        .work = folder.path()});
  fleet.Start();
  REQUIRE(fleet.WaitMembers(kHosts, kWait));
  const auto change = harness::ExampleChange(deployment, {1, 1});
  const CommitResult accepted = fleet.Admin(0)->Commit(change, false);
  REQUIRE(accepted.code == CommitCode::kOk);
  REQUIRE(fleet.WaitVersion(accepted.mark.number, kWait));
  REQUIRE(fleet.WaitReady(kWait));

  REQUIRE(WaitForAgreement(fleet, "early-"));

  // Every node returns the answer of the one run.
  CHECK(IsAnsweredEverywhere(fleet, "first"));
  CHECK(TotalRuns(fleet, "first") == 1);

  // The home node, which remembers the order, is killed and restarts without
  // its memory of orders. Repeats must not be answered then, since another run
  // might be the order's second.
  std::size_t home = 0;
  while (RunsAtHost(fleet, home, "first") == 0) {
    ++home;
  }
  fleet.KillNode(home);
  for (std::size_t n = 0; n < kHosts; ++n) {
    if (n != home) {
      const Response repeat = fleet.Call(n, MakeOrder("first"));
      CHECK(repeat.Header("x-cassiabend-outcome") != "answered");
    }
  }
  fleet.StartNode(home);
  REQUIRE(fleet.WaitReady(kWait));
  for (std::size_t n = 0; n < kHosts; ++n) {
    const Response repeat = fleet.Call(n, MakeOrder("first"));
    CHECK(repeat.Header("x-cassiabend-outcome") != "answered");
  }
  CHECK(TotalRuns(fleet, "first") == 1);
  REQUIRE(WaitForAgreement(fleet, "later-"));

  // While the store is down, new orders with a key are refused; other calls
  // are answered.
  fleet.ControlStore(R"({"down":true})");
  const Response refused = fleet.Call(0, MakeOrder("second"));
  CHECK(refused.status == 503);
  CHECK(refused.Header("x-cassiabend-outcome") == "not-run");
  CHECK(refused.Header("x-cassiabend-reason") == "store_unavailable");
  CHECK(!refused.Header("retry-after").empty());
  CHECK(TotalRuns(fleet, "second") == 0);
  CHECK(fleet.Call(0, {.target = "/status/1"}).status == 200);
  fleet.ControlStore(R"({"down":false})");
  unsigned status = 0;
  const auto end = std::chrono::steady_clock::now() + kWait;
  while (status != 200 && std::chrono::steady_clock::now() < end) {
    status = fleet.Call(1, MakeOrder("second")).status;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  CHECK(status == 200);
  CHECK(TotalRuns(fleet, "second") == 1);
}

}  // namespace
}  // namespace cassiabend
