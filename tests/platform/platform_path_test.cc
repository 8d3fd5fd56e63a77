#include <doctest/doctest.h>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "tests/support/work_folder.h"
#include "tools/harness/fleet.h"

namespace cassiabend::platform {
namespace {

using harness::HostSpec;
using harness::Request;
using harness::Response;

constexpr std::chrono::seconds kWait{60};
constexpr std::chrono::seconds kCallTimeout{10};
constexpr std::size_t kHosts = 6;
constexpr char kCallerHost[] = "shop.example";

/// \returns The settings template that is deployed on the platform.
std::string Template() {
  const char* root = std::getenv("CASSIABEND_ROOT");
  std::ifstream in(std::string(root == nullptr ? "." : root) +
                   "/deploy/node.json");
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

void ReplaceAll(const std::string& from,
                const std::string& to,
                std::string* text) {
  for (std::size_t at = text->find(from); at != std::string::npos;
       at = text->find(from, at + to.size())) {
    text->replace(at, from.size(), to);
  }
}

/// \returns The address at which a host reaches the store. Each host has its
/// own, so that the fake store can refuse some hosts.
std::string StoreIpOf(const HostSpec& host) {
  const std::size_t last = host.ip.rfind('.');
  const std::size_t third = host.ip.rfind('.', last - 1);
  return "127.0.0." + host.ip.substr(third + 1, last - third - 1) +
         host.ip.substr(last + 1);
}

/// \returns The settings of one host: the template with the values that the
/// platform fills in.
std::string SettingsOf(const HostSpec& host, std::uint16_t store_port) {
  const auto address = [&host](std::uint16_t port) {
    return host.ip + ":" + std::to_string(port);
  };
  const std::map<std::string, std::string> values = {
      {"{{ip}}", host.ip},
      {"{{region}}", host.region},
      {"{{zone}}", host.zone},
      {"{{service}}", host.service},
      {"{{bootstrap}}", "true"},
      {"{{heartbeat}}", "60s"},
      {"{{limits.link_mbps}}", "1000.0"},
      {"{{internal_port_range.0}}", std::to_string(host.peer_port)},
      {R"("metrics_port": 9464)",
       R"("metrics_port": )" + std::to_string(host.metrics_port)},
      {"{{app}}", address(host.upstream_port)},
      {"{{listen.inbound}}", address(host.call_port)},
      {"{{listen.outbound}}", address(host.caller_port)},
      {"{{listen.readiness}}", address(host.readiness_port)},
      {"{{listen.control}}", address(host.control_port)},
      {"{{#bounds}}{{@}}={{.}},{{/bounds}}",
       "grace=5s,config_apply=3s,retry_budget_ratio=0.1,budget_slack=20"},
      {"{{platform.address}}",
       StoreIpOf(host) + ":" + std::to_string(store_port)},
  };
  std::string text = Template();
  for (const auto& [from, to] : values) {
    ReplaceAll(from, to, &text);
  }
  CAPTURE(text);
  REQUIRE(text.find("{{") == std::string::npos);
  return text;
}

/// \returns The operator's configuration with this number, which routes the
/// path
/// "/read" to `service`.
std::string ConfigOf(std::uint64_t number, const std::string& service) {
  const auto route = [](const char* prefix, const std::string& to) {
    return boost::json::object{{"authority", kCallerHost},   {"prefix", prefix},
                               {"route_type", "idempotent"}, {"timeout", "2s"},
                               {"target_latency", "250ms"},  {"priority", 0},
                               {"max_attempts", 3},          {"service", to}};
  };
  boost::json::object services;
  for (const char* it : {"catalog", "orders", "artwork"}) {
    services[it] = boost::json::object{{"health_check_path", "/healthz"}};
  }
  std::ostringstream version;
  version << std::hex << number;
  return boost::json::serialize(boost::json::object{
      {"version", version.str()},
      {"services", std::move(services)},
      {"routes",
       {{"read", route("/read", service)}, {"rest", route("/", "orders")}}},
      {"limits",
       {{"max_header_bytes", 16'384},
        {"max_body_bytes", 1'000'000},
        {"header_timeout", "10s"},
        {"idle_timeout", "60s"}}}});
}

/// \brief A fleet that uses the platform's store. The test acts as the
/// platform's operator and sends the upstreams' heartbeats.
class PlatformFleet {
 public:
  explicit PlatformFleet(const std::string& name)
      : folder_(name),
        fleet_({.deployment = harness::DeploymentByName("cascadia"),
                .hosts = kHosts,
                .bin = ProgramFolder(),
                .work = folder_.path(),
                .store_arguments = {"--ip", "0.0.0.0"},
                .write_settings = SettingsOf}) {
    fleet_.StartStore();
    Configure("catalog");
    for (std::size_t i = 0; i < kHosts; ++i) {
      fleet_.StartUpstream(i);
      fleet_.StartNode(i);
    }
    REQUIRE(fleet_.WaitReady(kWait));
    SendHeartbeats();
  }

  [[nodiscard]] harness::Fleet& fleet() { return fleet_; }
  [[nodiscard]] std::uint64_t number() const { return number_; }

  /// \brief Writes the next version to the store, as the operator does.
  void Configure(const std::string& service) {
    number_ += 7;
    fleet_.ControlStore(boost::json::serialize(boost::json::object{
        {"write", {{"op/config", ConfigOf(number_, service)}}}}));
  }

  /// \brief Sends a request of a host's upstream to the control port.
  /// \param verb "heartbeat", or "deregister" when the upstream leaves.
  /// \returns The HTTP status of the response.
  /// \param service Service to state instead of that of the host's upstream.
  unsigned SendToControlPort(std::size_t host,
                             const char* verb,
                             const std::string& service = {}) {
    const HostSpec& plan = fleet_.hosts().at(host);
    const boost::json::object body{
        {"service", service.empty() ? plan.service : service},
        {"address", plan.ip + ":" + std::to_string(plan.upstream_port)},
        {"zone", plan.zone},
        {"version", "v1"},
        {"state", "ready"},
        {"slots", 8},
        {"cold_remaining", "0ms"},
        {"seq", ++sequence_},
        {"born", 1'700'000'000'000}};
    const Request request{
        .method = "POST",
        .target = "/instances/up-" + std::to_string(host) + "/" + verb,
        .body = boost::json::serialize(body)};
    return harness::Fetch(plan.ip, plan.control_port, request, kCallTimeout)
        .status;
  }

  /// \brief Sends a heartbeat of each upstream and waits until all serve.
  void SendHeartbeats() {
    for (std::size_t i = 0; i < kHosts; ++i) {
      REQUIRE(SendToControlPort(i, "heartbeat") == 200);
    }
    REQUIRE(fleet_.WaitServing(kHosts, kWait));
  }

  [[nodiscard]] Response Call(std::size_t host, const std::string& path) {
    const HostSpec& plan = fleet_.hosts().at(host);
    const Request request{
        .target = path,
        .headers = {{"Host", kCallerHost},
                    {"Request-Id", "r-" + std::to_string(++sequence_)},
                    {"Deadline-Ms", "2000"}}};
    return harness::Fetch(plan.ip, plan.caller_port, request, kCallTimeout);
  }

  /// \returns The number of requests that the upstreams of a service have run.
  [[nodiscard]] std::int64_t Executions(const std::string& service) {
    std::int64_t total = 0;
    for (std::size_t i = 0; i < kHosts; ++i) {
      if (fleet_.hosts().at(i).service == service) {
        total += fleet_.Executions(i).at("total").to_number<std::int64_t>();
      }
    }
    return total;
  }

  /// \returns The number of the version in force on each host.
  [[nodiscard]] std::vector<std::uint64_t> Versions() {
    std::vector<std::uint64_t> out;
    for (std::size_t i = 0; i < kHosts; ++i) {
      out.push_back(fleet_.Version(i).at("version").to_number<std::uint64_t>());
    }
    return out;
  }

 private:
  WorkFolder folder_;
  harness::Fleet fleet_;
  std::uint64_t number_ = 16;
  std::uint64_t sequence_ = 0;
};

TEST_CASE(
    "calls and changes of the configuration work end to end on the platform") {
  PlatformFleet it("platform-path");
  REQUIRE(it.fleet().WaitVersion(it.number(), kWait));
  for (std::size_t i = 0; i < kHosts; ++i) {
    const Response answer = it.Call(i, "/read/1");
    CHECK(answer.status == 200);
    CHECK(answer.complete);
  }
  CHECK(it.Executions("catalog") == kHosts);
  CHECK(it.Executions("artwork") == 0);

  it.Configure("artwork");
  REQUIRE(it.fleet().WaitVersion(it.number(), kWait));
  for (std::size_t i = 0; i < kHosts; ++i) {
    CHECK(it.Call(i, "/read/1").status == 200);
  }
  CHECK(it.Executions("catalog") == kHosts);
  CHECK(it.Executions("artwork") == kHosts);
}

TEST_CASE("an invalid configuration leaves the version in force") {
  PlatformFleet it("platform-mistake");
  REQUIRE(it.fleet().WaitVersion(it.number(), kWait));
  it.fleet().ControlStore(R"({"write":{"op/config":"{\"version\":\"zz\"}"}})");
  CHECK(it.Call(0, "/read/1").status == 200);
  it.Configure("orders");
  REQUIRE(it.fleet().WaitVersion(it.number(), kWait));
  CHECK(it.Call(0, "/read/1").status == 200);
}

TEST_CASE(
    "calls succeed during each fault of the store, and changes arrive after "
    "it") {
  PlatformFleet it("platform-store");
  const std::string faults[] = {
      R"({"down":true})",
      R"({"down":true,"pause_leases":true})",
      R"({"dead_watches":true})",
      R"({"silence_open":true})",
      R"({"reject_next":60})",
      R"({"slow_ms":700})",
      R"({"lose_next_answers":20})",
      R"({"mute_next_answers":20})",
      R"({"late_next":20,"late_ms":800})",
      R"({"drop_next":20})",
      R"({"compact":true})",
      R"({"restart":100})",
  };
  std::vector<std::uint64_t> before = it.Versions();
  for (const std::string& fault : faults) {
    CAPTURE(fault);
    it.fleet().ControlStore(fault);
    it.Configure("catalog");
    for (std::size_t i = 0; i < kHosts; ++i) {
      CHECK(it.Call(i, "/read/1").status == 200);
    }
    it.fleet().ControlStore(
        R"({"down":false,"pause_leases":false,"dead_watches":false,)"
        R"("silence_open":false,"reject_next":0,"slow_ms":0,)"
        R"("lose_next_answers":0,"mute_next_answers":0,"late_next":0,)"
        R"("drop_next":0})");
    REQUIRE(it.fleet().WaitVersion(it.number(), kWait));
    const std::vector<std::uint64_t> after = it.Versions();
    for (std::size_t i = 0; i < kHosts; ++i) {
      CHECK(after[i] >= before[i]);
      CHECK(after[i] <= it.number());
    }
    before = after;
  }
}

TEST_CASE("hosts that the store refuses get changes from the others") {
  PlatformFleet it("platform-refused");
  REQUIRE(it.fleet().WaitVersion(it.number(), kWait));
  for (const char* how : {"unavailable", "too-many", "reset", "silence"}) {
    CAPTURE(how);
    boost::json::object refused;
    for (std::size_t i = 0; i < kHosts; i += 2) {
      refused[StoreIpOf(it.fleet().hosts().at(i))] = how;
    }
    it.fleet().ControlStore(boost::json::serialize(
        boost::json::object{{"refuse_at", std::move(refused)}}));
    it.Configure("catalog");
    CHECK(it.fleet().WaitVersion(it.number(), kWait));
    for (std::size_t i = 0; i < kHosts; ++i) {
      CHECK(it.Call(i, "/read/1").status == 200);
    }
    it.fleet().ControlStore(R"({"refuse_at":{}})");
  }
}

TEST_CASE("a heartbeat of another writer is refused") {
  PlatformFleet it("platform-foreign");
  REQUIRE(it.fleet().WaitVersion(it.number(), kWait));
  for (std::size_t i = 0; i < kHosts; ++i) {
    CHECK(it.SendToControlPort(i, "heartbeat", "nosuch41") == 400);
    CHECK(it.SendToControlPort(i, "heartbeat", std::string(9'000, 'x')) == 400);
    CHECK(it.Call(i, "/read/1").status == 200);
    CHECK(it.SendToControlPort(i, "heartbeat") == 200);
  }
}

TEST_CASE("an upstream that has left gets no more calls") {
  PlatformFleet it("platform-leave");
  REQUIRE(it.fleet().WaitVersion(it.number(), kWait));
  std::vector<std::size_t> serving;
  for (std::size_t i = 0; i < kHosts; ++i) {
    if (it.fleet().hosts().at(i).service == "catalog") {
      serving.push_back(i);
    }
  }
  REQUIRE(serving.size() == 2);
  const std::size_t gone = serving.front();
  REQUIRE(it.SendToControlPort(gone, "deregister") == 200);
  const auto executions = [&](std::size_t host) {
    return it.fleet().Executions(host).at("total").to_number<std::int64_t>();
  };
  const std::int64_t before = executions(gone);
  for (int round = 0; round < 5; ++round) {
    for (std::size_t i = 0; i < kHosts; ++i) {
      CHECK(it.Call(i, "/read/1").status == 200);
    }
  }
  CHECK(executions(gone) == before);
  CHECK(executions(serving.back()) == 5 * kHosts);
}

TEST_CASE("a fleet whose nodes were all killed recovers from the store alone") {
  PlatformFleet it("platform-off");
  REQUIRE(it.fleet().WaitVersion(it.number(), kWait));
  for (std::size_t i = 0; i < kHosts; ++i) {
    it.fleet().KillNode(i);
  }
  it.fleet().ControlStore(R"({"restart":1000})");
  it.Configure("artwork");
  for (std::size_t i = 0; i < kHosts; ++i) {
    it.fleet().StartNode(i);
  }
  REQUIRE(it.fleet().WaitReady(kWait));
  it.SendHeartbeats();
  REQUIRE(it.fleet().WaitVersion(it.number(), kWait));
  for (std::size_t i = 0; i < kHosts; ++i) {
    CHECK(it.Call(i, "/read/1").status == 200);
  }
  CHECK(it.Executions("catalog") == 0);
}

}  // namespace
}  // namespace cassiabend::platform
