#include "tools/bench_fleet.h"

#include <chrono>
#include <filesystem>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>

#include "cassiabend/base/clock.h"
#include "tools/harness/fleet.h"

namespace cassiabend::bench {
namespace {

namespace json = boost::json;
using std::chrono::steady_clock;

constexpr std::chrono::seconds kSettleTimeout{60};
/// Time for joins and lease attempts to end before the idle traffic is
/// measured.
constexpr std::chrono::seconds kSettleTime{20};
/// Pause between changes.
constexpr std::chrono::milliseconds kChangePeriod{500};
/// Longest time from before a commit until every node has applied it.
constexpr double kConvergenceLimitMs = 4'000;

double SecondsOf(steady_clock::duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/// \brief Sums of all nodes' counters at one time.
struct Totals {
  steady_clock::time_point at;
  double sent_bytes = 0;
  double store_bytes = 0;
  double cross_region_bytes = 0;
  double cpu_seconds = 0;
  double resident_bytes = 0;
  double store_calls = 0;
};

double Sum(const std::map<std::string, double>& metrics,
           const std::string& prefix) {
  double sum = 0;
  for (const auto& [name, value] : metrics) {
    if (name.starts_with(prefix)) {
      sum += value;
    }
  }
  return sum;
}

/// \brief Starts a fleet and measures it.
class FleetRun {
 public:
  FleetRun(const Options& options, std::size_t hosts, Report* report)
      : options_(options), hosts_(hosts), report_(report) {
    folder_ = options.work + "/fleet-" + std::to_string(hosts);
    std::filesystem::create_directories(folder_);
    harness::FleetOptions fleet_options;
    fleet_options.deployment = harness::DeploymentByName(options.deployment);
    fleet_options.hosts = hosts;
    fleet_options.bin = options.bin;
    fleet_options.work = folder_;
    fleet_ = std::make_unique<harness::Fleet>(std::move(fleet_options));
  }

  void Run() {
    fleet_->Start();
    Require(fleet_->WaitMembers(hosts_, kSettleTimeout), "all members alive");
    Commit(harness::ExampleChange(
        harness::DeploymentByName(options_.deployment), NextId()));
    Require(fleet_->WaitReady(kSettleTimeout), "all nodes ready");
    MeasureIdle();
    MeasureChanges();
    MeasureMassRestart();
  }

 private:
  json::object Extra(json::object more = {}) const {
    more["nodes"] = hosts_;
    return more;
  }

  void Require(bool condition, const std::string& what) {
    if (condition) {
      return;
    }
    report_->AddViolation("not reached in time with " + std::to_string(hosts_) +
                          " nodes: " + what);
    throw std::runtime_error("the fleet did not reach this state in time: " +
                             what);
  }

  ChangeId NextId() { return {options_.seed, ++changes_}; }

  VersionNumber Commit(const Change& change) {
    const CommitResult result =
        fleet_->Admin(changes_ % hosts_)->Commit(change, false);
    if (result.code != CommitCode::kOk) {
      throw std::runtime_error("a change was refused: " + result.reason);
    }
    return result.mark.number;
  }

  Totals ReadTotals() const {
    Totals out;
    out.at = steady_clock::now();
    for (std::size_t i = 0; i < hosts_; ++i) {
      const auto metrics = fleet_->Metrics(i);
      out.sent_bytes += Sum(metrics, "cassiabend_control_sent_bytes_total");
      out.store_bytes += Sum(metrics, "cassiabend_store_sent_bytes_total") +
                         Sum(metrics, "cassiabend_store_received_bytes_total");
      out.cross_region_bytes +=
          Sum(metrics, "cassiabend_cross_region_config_bytes_total");
      out.cpu_seconds += Sum(metrics, "process_cpu_seconds_total");
      out.resident_bytes += Sum(metrics, "process_resident_memory_bytes");
      out.store_calls += Sum(metrics, "cassiabend_store_calls_total");
    }
    return out;
  }

  void EmitRates(const Totals& from, const Totals& to, const char* phase) {
    const double seconds = SecondsOf(to.at - from.at);
    const auto nodes = static_cast<double>(hosts_);
    const json::object extra = Extra({{"phase", phase}});
    const double peer_bytes = to.sent_bytes - from.sent_bytes;
    const double store_bytes = to.store_bytes - from.store_bytes;
    report_->Emit("control_bytes_per_node_s",
                  (peer_bytes + store_bytes) / seconds / nodes, "B/s", extra);
    report_->Emit("store_calls_per_s",
                  (to.store_calls - from.store_calls) / seconds, "1/s", extra);
    report_->Emit("control_core_share",
                  (to.cpu_seconds - from.cpu_seconds) / seconds / nodes,
                  "cores", extra);
  }

  void MeasureIdle() {
    const auto period = std::chrono::seconds(options_.quick ? 2 : 15);
    if (!options_.quick) {
      std::this_thread::sleep_for(kSettleTime);
    }
    const Totals from = ReadTotals();
    std::this_thread::sleep_for(period);
    const Totals to = ReadTotals();
    EmitRates(from, to, "idle");
    idle_cross_region_bytes_s_ =
        (to.cross_region_bytes - from.cross_region_bytes) /
        SecondsOf(to.at - from.at);
    report_->Emit("control_rss_mb",
                  to.resident_bytes / static_cast<double>(hosts_) / 1e6, "MB",
                  Extra());
  }

  /// \returns A change that gives a route a new timeout.
  Change NextChange() {
    const harness::Deployment deployment =
        harness::DeploymentByName(options_.deployment);
    const ChangeId id = NextId();
    Route route;
    route.name = "bench-" + std::to_string(changes_ % 10);
    route.team = deployment.team;
    route.path_prefix = "/" + route.name;
    route.service = deployment.services.front();
    route.request_class = "status";
    route.repeat = RepeatPolicy::kRepeatable;
    route.timeout = Milliseconds(1'000 + changes_);
    return {.id = id, .author = {}, .edits = {{route, {}}}};
  }

  void MeasureChanges() {
    const int changes = options_.quick ? 3 : 20;
    Samples samples;
    const Totals from = ReadTotals();
    for (int i = 0; i < changes; ++i) {
      AddConvergence(&samples);
      std::this_thread::sleep_for(kChangePeriod);
    }
    const Totals to = ReadTotals();
    EmitRates(from, to, "changes");
    report_->Emit("cross_region_bytes_per_change",
                  (to.cross_region_bytes - from.cross_region_bytes -
                   idle_cross_region_bytes_s_ * SecondsOf(to.at - from.at)) /
                      changes,
                  "B",
                  Extra({{"idle_bytes_per_s", idle_cross_region_bytes_s_}}));
    const json::object extra =
        Extra({{"samples", samples.size()}, {"limit_ms", kConvergenceLimitMs}});
    report_->Emit("convergence_ms_p50", samples.Quantile(0.5), "ms", extra);
    report_->Emit("convergence_ms_p99", samples.Quantile(0.99), "ms", extra);
    if (samples.Quantile(1) > kConvergenceLimitMs) {
      report_->AddViolation("a change took " +
                            std::to_string(samples.Quantile(1)) + " ms");
    }
  }

  /// \brief Commits a change and adds a sample per node: the time from before
  /// the commit request until the node applied the change.
  void AddConvergence(Samples* samples) {
    const WallTime start = SystemClock().Now().wall;
    const VersionNumber number = Commit(NextChange());
    Require(fleet_->WaitVersion(number, kSettleTimeout),
            "version " + std::to_string(number) + " in force");
    for (std::size_t i = 0; i < hosts_; ++i) {
      const json::value page = fleet_->Version(i);
      if (page.at("version").to_number<VersionNumber>() != number) {
        report_->AddViolation(
            "a node reports another version than the newest one");
      }
      const auto applied = page.at("applied_unix_ms").to_number<std::int64_t>();
      samples->Add(
          static_cast<double>(applied - start.time_since_epoch().count()));
    }
  }

  void MeasureMassRestart() {
    const double calls_before = ReadTotals().store_calls;
    for (std::size_t i = 0; i < hosts_; i += 2) {
      fleet_->KillNode(i);
    }
    const auto start = steady_clock::now();
    for (std::size_t i = 0; i < hosts_; i += 2) {
      fleet_->StartNode(i);
    }
    Require(fleet_->WaitReady(kSettleTimeout),
            "all nodes ready after the restart of half of them");
    const double ms = SecondsOf(steady_clock::now() - start) * 1e3;
    // The killed nodes' counters restart at zero, so half is subtracted.
    const double calls_after = ReadTotals().store_calls;
    report_->Emit("storm_recovery_ms", ms, "ms",
                  Extra({{"killed", (hosts_ + 1) / 2},
                         {"store_calls", calls_after - calls_before / 2}}));
  }

  const Options& options_;
  std::size_t hosts_;
  Report* report_;
  std::string folder_;
  std::unique_ptr<harness::Fleet> fleet_;
  std::uint64_t changes_ = 0;
  double idle_cross_region_bytes_s_ = 0;
};

}  // namespace

void MeasureFleet(const Options& options, std::size_t hosts, Report* report) {
  FleetRun(options, hosts, report).Run();
}

}  // namespace cassiabend::bench
