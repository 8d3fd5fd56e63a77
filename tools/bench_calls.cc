#include "tools/bench_calls.h"

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>

#include "tools/bench_load.h"
#include "tools/harness/fleet.h"

namespace cassiabend::bench {
namespace {

namespace json = boost::json;
using std::chrono::steady_clock;

constexpr std::chrono::seconds kSettleTimeout{60};
constexpr std::chrono::milliseconds kConnectTimeout{5'000};
constexpr std::size_t kHosts = 6;
constexpr char kSmallTarget[] = "/bytes/200";

/// \brief A started fleet whose nodes serve the example configuration.
class ServingFleet {
 public:
  ServingFleet(const Options& options,
               const std::string& name,
               std::size_t hosts,
               std::vector<std::string> upstream_arguments)
      : deployment_(harness::DeploymentByName(options.deployment)) {
    const std::string folder = options.work + "/" + name;
    std::filesystem::create_directories(folder);
    harness::FleetOptions fleet_options;
    fleet_options.deployment = deployment_;
    fleet_options.hosts = hosts;
    fleet_options.bin = options.bin;
    fleet_options.work = folder;
    fleet_options.upstream_arguments = std::move(upstream_arguments);
    fleet_ = std::make_unique<harness::Fleet>(std::move(fleet_options));
    fleet_->Start();
    Commit(options);
  }

  [[nodiscard]] harness::Fleet& fleet() { return *fleet_; }
  [[nodiscard]] const harness::Deployment& deployment() const {
    return deployment_;
  }

  /// \returns The hosts whose upstream serves `service`.
  [[nodiscard]] std::vector<std::size_t> HostsOf(
      const std::string& service) const {
    std::vector<std::size_t> out;
    for (std::size_t i = 0; i < fleet_->hosts().size(); ++i) {
      if (fleet_->hosts().at(i).service == service) {
        out.push_back(i);
      }
    }
    return out;
  }

 private:
  void Commit(const Options& options) {
    if (!fleet_->WaitMembers(fleet_->hosts().size(), kSettleTimeout)) {
      throw std::runtime_error("not all members were alive in time");
    }
    Change change =
        harness::ExampleChange(deployment_, {options.seed, 0xBE7C4});
    // A second request class on the service of "status", for the overload
    // measurement.
    Route confirm;
    confirm.name = "confirm";
    confirm.team = deployment_.team;
    confirm.path_prefix = "/confirm";
    confirm.service = deployment_.services.front();
    confirm.request_class = "confirm";
    // Repeatable, since order claims would limit the rate.
    confirm.repeat = RepeatPolicy::kRepeatable;
    confirm.timeout = Milliseconds(2'000);
    change.edits.push_back({confirm, {}});
    const CommitResult result = fleet_->Admin(0)->Commit(change, false);
    if (result.code != CommitCode::kOk ||
        !fleet_->WaitVersion(result.mark.number, kSettleTimeout) ||
        !fleet_->WaitReady(kSettleTimeout) ||
        !fleet_->WaitServing(fleet_->hosts().size(), kSettleTimeout)) {
      throw std::runtime_error(
          "the example configuration did not come into force in time: " +
          result.reason);
    }
  }

  harness::Deployment deployment_;
  std::unique_ptr<harness::Fleet> fleet_;
};

/// \brief An address that leads to the upstream, with the latencies measured
/// there.
struct TimedPath {
  std::string ip;
  std::uint16_t port = 0;
  Samples samples;
  std::unique_ptr<harness::HttpConnection> connection;

  void MeasureCall(const std::string& target) {
    if (!connection) {
      connection =
          std::make_unique<harness::HttpConnection>(ip, port, kConnectTimeout);
    }
    const auto start = steady_clock::now();
    const harness::Response response = connection->Send({.target = target});
    const std::chrono::duration<double, std::micro> elapsed =
        steady_clock::now() - start;
    if (response.status != 200 || !response.complete) {
      throw std::runtime_error("a call of the latency measurement failed: " +
                               std::to_string(response.status) + " " +
                               response.body);
    }
    samples.Add(elapsed.count());
  }
};

/// \brief Sends calls alternately over the paths, so that noise affects all of
/// them alike.
void MeasureInterleaved(const std::vector<TimedPath*>& paths,
                        const std::string& target,
                        int n) {
  constexpr int kWarmUps = 50;
  for (TimedPath* it : paths) {
    for (int i = 0; i < kWarmUps; ++i) {
      it->MeasureCall(target);
    }
    it->samples = {};
  }
  for (int i = 0; i < n; ++i) {
    for (TimedPath* it : paths) {
      it->MeasureCall(target);
    }
  }
}

void EmitAddedLatency(const TimedPath& path,
                      const TimedPath& direct,
                      int hops,
                      const std::string& target,
                      Report* report) {
  const json::object extra{{"hops", hops},
                           {"target", target},
                           {"samples", path.samples.size()},
                           {"direct_p50_us", direct.samples.Quantile(0.5)},
                           {"direct_p99_us", direct.samples.Quantile(0.99)},
                           {"nodes", kHosts}};
  for (const auto& [name, q] : {std::pair("added_latency_p50_us", 0.5),
                                std::pair("added_latency_p99_us", 0.99)}) {
    report->Emit(name, path.samples.Quantile(q) - direct.samples.Quantile(q),
                 "us", extra);
  }
}

/// \returns Processor time that all nodes have used, in seconds.
double CpuSeconds(const harness::Fleet& fleet) {
  double sum = 0;
  for (std::size_t i = 0; i < fleet.hosts().size(); ++i) {
    sum += fleet.Metrics(i).at("process_cpu_seconds_total");
  }
  return sum;
}

std::size_t CountOutcome(const std::vector<CallRecord>& records,
                         CallOutcome outcome) {
  return static_cast<std::size_t>(std::ranges::count(
      records, outcome, [](const CallRecord& it) { return it.outcome; }));
}

}  // namespace

void MeasureLatency(const Options& options, Report* report) {
  ServingFleet run(options, "latency", kHosts, {"--latency-us", "500"});
  harness::Fleet& fleet = run.fleet();
  const std::string& files = run.deployment().services.at(2);
  const std::size_t host = run.HostsOf(files).front();
  const harness::HostSpec& serving = fleet.hosts().at(host);
  // A node without an upstream of the service forwards the call to a second
  // node.
  const std::size_t other = (host + 1) % kHosts;
  const harness::HostSpec& entry = fleet.hosts().at(other);
  for (const char* target : {kSmallTarget, "/bytes/1048576"}) {
    TimedPath direct{.ip = serving.ip, .port = serving.upstream_port};
    TimedPath one{.ip = serving.ip, .port = serving.call_port};
    TimedPath two{.ip = entry.ip, .port = entry.call_port};
    const bool large = std::string_view(target) != kSmallTarget;
    const int n = (options.quick ? 300 : 4'000) / (large ? 10 : 1);
    MeasureInterleaved({&direct, &one, &two}, target, n);
    EmitAddedLatency(one, direct, 1, target, report);
    EmitAddedLatency(two, direct, 2, target, report);
  }
  const auto calls = std::chrono::milliseconds(options.quick ? 1'000 : 8'000);
  const LoadPlan load{.entries = {other},
                      .threads = 8,
                      .calls_per_s = 400,
                      .duration = calls,
                      .target = "/bytes/200",
                      .key_prefix = "latency"};
  const double cpu_before = CpuSeconds(fleet);
  const std::vector<CallRecord> records = RunLoad(fleet, load);
  const double cpu_seconds = CpuSeconds(fleet) - cpu_before;
  report->Emit("node_cpu_us_per_call",
               cpu_seconds * 1e6 / static_cast<double>(records.size()), "us",
               {{"hops", 2},
                {"nodes", kHosts},
                {"calls_per_s", load.calls_per_s},
                {"with_control", true}});
  Samples samples;
  for (const CallRecord& it : records) {
    samples.Add(it.latency_us);
  }
  report->Emit("loaded_latency_p99_us", samples.Quantile(0.99), "us",
               {{"calls_per_s", load.calls_per_s},
                {"nodes", kHosts},
                {"answered", CountOutcome(records, CallOutcome::kAnswered)},
                {"calls", records.size()}});
  CheckExecutions(fleet, records, report);
}

void MeasureOverload(const Options& options, Report* report) {
  constexpr std::chrono::milliseconds kLatency{20};
  ServingFleet run(options, "overload", kHosts,
                   {"--latency-us", std::to_string(kLatency.count() * 1'000)});
  harness::Fleet& fleet = run.fleet();
  const std::string& service = run.deployment().services.front();
  const auto upstreams = static_cast<double>(run.HostsOf(service).size());
  const double slots = run.deployment().slots;
  const double capacity =
      upstreams * slots / std::chrono::duration<double>(kLatency).count();
  const std::chrono::milliseconds duration(options.quick ? 1'000 : 8'000);
  std::vector<std::size_t> entries;
  for (std::size_t i = 0; i < kHosts; ++i) {
    entries.push_back(i);
  }
  for (const int overload : {1, 2, 5}) {
    const std::string name = "overload-" + std::to_string(overload);
    const double confirm_rate = capacity * 0.2;
    LoadPlan flood{.entries = entries,
                   .threads = static_cast<std::size_t>(60 * overload),
                   .calls_per_s = capacity * overload - confirm_rate,
                   .duration = duration,
                   .target = "/status",
                   .key_prefix = name + "-flood"};
    LoadPlan confirm{.entries = entries,
                     .threads = 24,
                     .calls_per_s = confirm_rate,
                     .duration = duration,
                     .target = "/confirm",
                     .key_prefix = name + "-confirm"};
    std::vector<CallRecord> confirms;
    std::thread confirm_thread([&] { confirms = RunLoad(fleet, confirm); });
    std::vector<CallRecord> records = RunLoad(fleet, flood);
    confirm_thread.join();
    const double seconds = std::chrono::duration<double>(duration).count();
    const auto good =
        static_cast<double>(CountOutcome(records, CallOutcome::kAnswered) +
                            CountOutcome(confirms, CallOutcome::kAnswered));
    const json::object extra{
        {"overload", overload},
        {"nodes", kHosts},
        {"capacity_calls_per_s", capacity},
        {"calls", records.size() + confirms.size()},
        {"unknown", CountOutcome(records, CallOutcome::kUnknown) +
                        CountOutcome(confirms, CallOutcome::kUnknown)}};
    report->Emit("goodput_ratio", good / seconds / capacity, "ratio", extra);
    report->Emit(
        "quiet_class_goodput_ratio",
        static_cast<double>(CountOutcome(confirms, CallOutcome::kAnswered)) /
            static_cast<double>(confirms.size()),
        "ratio", extra);
    records.insert(records.end(), confirms.begin(), confirms.end());
    CheckExecutions(fleet, records, report);
  }
}

void MeasureRetries(const Options& options, Report* report) {
  constexpr std::size_t kRetryHosts = 9;
  ServingFleet run(options, "retries", kRetryHosts, {"--latency-us", "1000"});
  harness::Fleet& fleet = run.fleet();
  const std::vector<std::size_t> serving =
      run.HostsOf(run.deployment().services.front());
  // The upstream closes the connection in the middle of each answer.
  fleet.ControlUpstream(serving.front(), R"({"break": true})");
  LoadPlan load{
      .entries = {},
      .threads = 12,
      .calls_per_s = 300,
      .duration = std::chrono::milliseconds(options.quick ? 1'500 : 10'000),
      .target = "/status",
      .key_prefix = "retries"};
  for (std::size_t i = 0; i < kRetryHosts; ++i) {
    load.entries.push_back(i);
  }
  const std::uint64_t before = TotalExecutions(fleet);
  const std::vector<CallRecord> records = RunLoad(fleet, load);
  const auto executions = static_cast<double>(TotalExecutions(fleet) - before);
  report->Emit("retry_amplification",
               executions / static_cast<double>(records.size()), "ratio",
               {{"nodes", kRetryHosts},
                {"failing_upstreams", 1},
                {"upstreams", serving.size()},
                {"calls", records.size()},
                {"answered", CountOutcome(records, CallOutcome::kAnswered)}});
  CheckExecutions(fleet, records, report);
}

void MeasureDrain(const Options& options, Report* report) {
  constexpr std::size_t kDrainHosts = 12;
  ServingFleet run(options, "drain", kDrainHosts, {"--latency-us", "20000"});
  harness::Fleet& fleet = run.fleet();
  const std::vector<std::size_t> serving =
      run.HostsOf(run.deployment().services.at(1));
  LoadPlan load{
      .entries = {},
      .threads = 24,
      .calls_per_s = 100,
      .duration = std::chrono::milliseconds(options.quick ? 3'000 : 6'000),
      .target = "/orders",
      .method = "POST",
      .at_most_once = true,
      .key_prefix = "drain"};
  for (std::size_t i = 0; i < kDrainHosts; ++i) {
    if (i != serving.at(0) && i != serving.at(1)) {
      load.entries.push_back(i);
    }
  }
  std::vector<CallRecord> records;
  std::thread callers([&] { records = RunLoad(fleet, load); });
  std::this_thread::sleep_for(std::chrono::seconds(1));
  fleet.StopNode(serving.at(0));
  const auto code = fleet.node(serving.at(0))->Wait(kSettleTimeout);
  if (code != 0) {
    report->AddViolation("a draining node did not exit with code 0");
  }
  callers.join();
  report->Emit(
      "drain_lost_calls",
      static_cast<double>(records.size() -
                          CountOutcome(records, CallOutcome::kAnswered)),
      "calls",
      {{"nodes", kDrainHosts},
       {"calls", records.size()},
       {"not_run", CountOutcome(records, CallOutcome::kNotRun)},
       {"unknown", CountOutcome(records, CallOutcome::kUnknown)}});
  CheckExecutions(fleet, records, report);
}

}  // namespace cassiabend::bench
