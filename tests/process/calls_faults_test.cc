#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "tests/support/work_folder.h"
#include "tools/harness/fleet.h"

namespace cassiabend {
namespace {

using harness::Request;
using harness::Response;

constexpr std::chrono::seconds kWait{60};
/// Longer than the route's timeout, so that the mesh reports the outcome
/// before the caller gives up.
constexpr std::chrono::seconds kCallerTimeout{20};
/// Pause of a caller after an order that was not answered.
constexpr std::chrono::milliseconds kPauseAfterFailure{20};
constexpr std::size_t kHosts = 6;
constexpr std::size_t kCallers = 12;

/// \brief What the caller of one order received.
struct OrderOutcome {
  std::string key;
  std::string outcome;
  std::string reason;
  bool complete = false;
};

/// \brief A fleet with the example configuration in force, whose upstreams take
/// 100 ms to answer.
struct CallFleet {
  explicit CallFleet(const std::string& name)
      : folder(name),
        fleet({.deployment = harness::DeploymentByName("cascadia"),
               .hosts = kHosts,
               .bin = ProgramFolder(),
               .work = folder.path(),
               .upstream_arguments = {"--latency-us", "100000"}}) {
    fleet.Start();
    REQUIRE(fleet.WaitMembers(kHosts, kWait));
    const Change change =
        harness::ExampleChange(harness::DeploymentByName("cascadia"), {9, 1});
    const CommitResult result = fleet.Admin(0)->Commit(change, false);
    REQUIRE(result.code == CommitCode::kOk);
    REQUIRE(fleet.WaitVersion(result.mark.number, kWait));
    REQUIRE(fleet.WaitReady(kWait));
  }

  [[nodiscard]] std::vector<std::size_t> HostsOf(
      const std::string& service) const {
    std::vector<std::size_t> out;
    for (std::size_t i = 0; i < kHosts; ++i) {
      if (fleet.hosts().at(i).service == service) {
        out.push_back(i);
      }
    }
    return out;
  }

  /// \returns How often all upstreams together started each order, by its key.
  [[nodiscard]] std::map<std::string, std::int64_t> Executions() const {
    std::map<std::string, std::int64_t> out;
    for (std::size_t i = 0; i < kHosts; ++i) {
      const auto counts = fleet.Executions(i);
      for (const auto& it : counts.at("by_key").as_object()) {
        out[std::string(it.key())] += it.value().to_number<std::int64_t>();
      }
    }
    return out;
  }

  WorkFolder folder;
  harness::Fleet fleet;
};

OrderOutcome SendOrder(const CallFleet& calls,
                       std::size_t entry,
                       const std::string& key) {
  OrderOutcome result{.key = key, .outcome = "cut"};
  const Request request{.method = "POST",
                        .target = "/orders",
                        .headers = {{"Idempotency-Key", key}},
                        .body = "{}"};
  try {
    const harness::HostSpec& plan = calls.fleet.hosts().at(entry);
    const Response response =
        harness::Fetch(plan.ip, plan.call_port, request, kCallerTimeout);
    result.outcome = response.Header("x-cassiabend-outcome");
    result.reason = response.Header("x-cassiabend-reason");
    result.complete = response.complete;
  } catch (const std::exception&) {
    result.outcome = "cut";
  }
  return result;
}

/// \brief Waits until every host has answered an order, since only then every
/// node knows the upstreams.
void WaitForAnswers(const CallFleet& calls) {
  const auto end = std::chrono::steady_clock::now() + kWait;
  for (std::size_t entry = 0; entry < kHosts; ++entry) {
    std::string outcome;
    for (int n = 0; outcome != "answered"; ++n) {
      REQUIRE(std::chrono::steady_clock::now() < end);
      outcome =
          SendOrder(calls, entry,
                    "first-" + std::to_string(entry) + "-" + std::to_string(n))
              .outcome;
      std::this_thread::sleep_for(kPauseAfterFailure);
    }
  }
}

/// \brief Sends orders through `entries` from several threads while `fault`
/// runs on this thread.
std::vector<OrderOutcome> SendOrdersDuring(
    const CallFleet& calls,
    const std::vector<std::size_t>& entries,
    const std::function<void()>& fault) {
  WaitForAnswers(calls);
  std::atomic<bool> is_over{false};
  std::mutex mutex;
  std::vector<OrderOutcome> out;
  std::vector<std::thread> threads;
  for (std::size_t caller = 0; caller < kCallers; ++caller) {
    threads.emplace_back([&, caller] {
      for (int n = 0; !is_over; ++n) {
        const std::string key =
            std::to_string(caller) + "-" + std::to_string(n);
        OrderOutcome result =
            SendOrder(calls, entries.at(caller % entries.size()), key);
        if (result.outcome != "answered") {
          std::this_thread::sleep_for(kPauseAfterFailure);
        }
        const std::lock_guard lock(mutex);
        out.push_back(std::move(result));
      }
    });
  }
  fault();
  is_over = true;
  for (std::thread& it : threads) {
    it.join();
  }
  return out;
}

/// \brief Checks the outcomes that callers received against the orders that the
/// upstreams ran.
void CheckOrders(const CallFleet& calls,
                 const std::vector<OrderOutcome>& orders) {
  const std::map<std::string, std::int64_t> executions = calls.Executions();
  for (const OrderOutcome& it : orders) {
    CAPTURE(it.key);
    CAPTURE(it.outcome);
    CAPTURE(it.reason);
    const auto found = executions.find(it.key);
    const std::int64_t n = found == executions.end() ? 0 : found->second;
    CHECK(n <= 1);
    if (it.outcome == "not-run") {
      CHECK(n == 0);
    }
    if (it.outcome == "answered") {
      CHECK(n == 1);
      CHECK(it.complete);
    }
  }
}

std::size_t CountOutcomes(const std::vector<OrderOutcome>& orders,
                          const std::string& outcome) {
  std::size_t n = 0;
  for (const OrderOutcome& it : orders) {
    n += it.outcome == outcome ? 1 : 0;
  }
  return n;
}

/// \returns All hosts except `host`.
std::vector<std::size_t> HostsExcept(std::size_t host) {
  std::vector<std::size_t> out;
  for (std::size_t i = 0; i < kHosts; ++i) {
    if (i != host) {
      out.push_back(i);
    }
  }
  return out;
}

TEST_CASE("a graceful shutdown of a destination cuts no order") {
  CallFleet calls("calls-drain");
  const std::size_t leaver = calls.HostsOf("orders").front();
  const std::vector<OrderOutcome> orders =
      SendOrdersDuring(calls, HostsExcept(leaver), [&] {
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
        calls.fleet.StopNode(leaver);
        CHECK(calls.fleet.node(leaver)->Wait(kWait) == 0);
      });
  CheckOrders(calls, orders);
  CHECK(CountOutcomes(orders, "unknown") == 0);
  CHECK(CountOutcomes(orders, "cut") == 0);
  CHECK(CountOutcomes(orders, "answered") > kCallers);
}

TEST_CASE("a killed destination causes no false outcome of an order") {
  CallFleet calls("calls-kill");
  const std::size_t victim = calls.HostsOf("orders").front();
  const std::vector<OrderOutcome> orders =
      SendOrdersDuring(calls, HostsExcept(victim), [&] {
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
        calls.fleet.KillNode(victim);
        std::this_thread::sleep_for(std::chrono::seconds(2));
      });
  CheckOrders(calls, orders);
  CHECK(CountOutcomes(orders, "cut") == 0);
  CHECK(CountOutcomes(orders, "answered") > kCallers);
}

TEST_CASE("a paused destination causes no false outcome of an order") {
  CallFleet calls("calls-pause");
  const std::size_t victim = calls.HostsOf("orders").front();
  const std::vector<OrderOutcome> orders =
      SendOrdersDuring(calls, HostsExcept(victim), [&] {
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
        calls.fleet.node(victim)->Signal(SIGSTOP);
        std::this_thread::sleep_for(std::chrono::seconds(3));
        calls.fleet.node(victim)->Signal(SIGCONT);
        std::this_thread::sleep_for(std::chrono::seconds(1));
      });
  // Allows delayed attempts to arrive; they must not start any more.
  std::this_thread::sleep_for(std::chrono::seconds(1));
  CheckOrders(calls, orders);
  CHECK(CountOutcomes(orders, "cut") == 0);
  CHECK(CountOutcomes(orders, "answered") > kCallers);
}

TEST_CASE("a silent upstream causes no false outcome of an order") {
  CallFleet calls("calls-silent");
  const std::size_t victim = calls.HostsOf("orders").front();
  const std::vector<OrderOutcome> orders =
      SendOrdersDuring(calls, HostsExcept(victim), [&] {
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
        calls.fleet.ControlUpstream(victim, R"({"silent": true})");
        std::this_thread::sleep_for(std::chrono::seconds(2));
        calls.fleet.ControlUpstream(victim, R"({"silent": false})");
      });
  CheckOrders(calls, orders);
  CHECK(CountOutcomes(orders, "cut") == 0);
  CHECK(CountOutcomes(orders, "answered") > kCallers);
}

}  // namespace
}  // namespace cassiabend
