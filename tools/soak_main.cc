#include <algorithm>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include <unistd.h>

#include "cassiabend/base/clock.h"
#include "cassiabend/base/command_line.h"
#include "cassiabend/base/error.h"
#include "tools/soak_run.h"

namespace cassiabend {
namespace {

namespace json = boost::json;

constexpr int kExitOk = 0;
constexpr int kExitViolation = 1;
constexpr std::int64_t kMaxSeeds = 100'000;
constexpr std::int64_t kMaxMinutes = 1'440;
constexpr std::int64_t kMaxPhases = 1'000;
constexpr std::int64_t kMaxCallers = 16;
constexpr std::int64_t kMaxPercent = 100;
constexpr std::int64_t kMaxLinkKilobits = 1'000'000'000;
constexpr Milliseconds kPlantedAt{1'500};
constexpr Milliseconds kPlantedLength{2'500};

constexpr char kEpilogue[] =
    "\nRuns nodes, upstreams and a store as processes on loopback, injects the"
    "\nfaults of one schedule for each seed, and checks from outside what is\n"
    "promised. Prints a summary for each seed; --report has every step.\n"
    "Exit codes: 0 nothing violated, 1 a promise violated or bad command "
    "line,\n"
    "2 the fleet failed.\n";

volatile std::sig_atomic_t g_stop = 0;

struct Arguments {
  std::int64_t seed = 1;
  std::int64_t seeds = 1;
  std::int64_t minutes = 0;
  std::int64_t hosts = 9;
  std::int64_t callers = 2;
  std::int64_t phases = 5;
  std::int64_t downloads = 20;
  std::int64_t link_kilobits = 13'300;
  std::string bin;
  std::string node;
  std::string work;
  std::string report;
  std::string plant;
  bool keep = false;
};

void CheckRange(const char* name,
                std::int64_t n,
                std::int64_t lowest,
                std::int64_t highest) {
  if (n < lowest || n > highest) {
    throw SettingsError(
        "read the command line", name,
        "must be " + std::to_string(lowest) + " to " + std::to_string(highest));
  }
}

void CheckArguments(const Arguments& args) {
  const auto max_hosts_by_memory = static_cast<std::int64_t>(
      soak::PhysicalMemoryBytes() / 2 / soak::kBytesPerHost);
  const std::int64_t max_hosts =
      std::min(static_cast<std::int64_t>(soak::kMaxHosts), max_hosts_by_memory);
  CheckRange("--seed", args.seed, 0, INT64_MAX / 2);
  CheckRange("--seeds", args.seeds, 1, kMaxSeeds);
  CheckRange("--minutes", args.minutes, 0, kMaxMinutes);
  CheckRange("--hosts", args.hosts, 3, max_hosts);
  CheckRange("--callers", args.callers, 1, kMaxCallers);
  CheckRange("--phases", args.phases, 1, kMaxPhases);
  CheckRange("--downloads", args.downloads, 0, kMaxPercent);
  CheckRange("--link-kilobits", args.link_kilobits, 0, kMaxLinkKilobits);
  for (const char* it : {"cassiabend-node", "cassiabend-fake-store",
                         "cassiabend-fake-upstream"}) {
    if (!std::filesystem::exists(args.bin + "/" + it)) {
      throw SettingsError("read the command line", "--bin",
                          "has no program " + std::string(it));
    }
  }
  if (!args.node.empty() && !std::filesystem::exists(args.node)) {
    throw SettingsError("read the command line", "--node", "does not exist");
  }
  if (!args.plant.empty() && args.plant != "break" && args.plant != "restart") {
    throw SettingsError("read the command line", "--plant",
                        "must be break or restart");
  }
}

/// \brief Adds faults of all upstreams to the first phase, which counts as
/// planned work, so that the checks must report violations.
void InjectPlantedFaults(const Arguments& args,
                         std::vector<soak::Phase>* schedule) {
  if (args.plant.empty()) {
    return;
  }
  const bool breaks = args.plant == "break";
  for (std::size_t host = 0; host < static_cast<std::size_t>(args.hosts);
       ++host) {
    schedule->front().actions.push_back(
        {.at = kPlantedAt,
         .kind = breaks ? soak::ActionKind::kUpstreamBreaksAnswers
                        : soak::ActionKind::kRestartUpstream,
         .host = host,
         .length = kPlantedLength});
  }
  std::ranges::sort(schedule->front().actions);
}

std::string ReplayCommand(const Arguments& args, std::int64_t seed) {
  return "cassiabend-soak --seed " + std::to_string(seed) + " --hosts " +
         std::to_string(args.hosts) + " --callers " +
         std::to_string(args.callers) + " --phases " +
         std::to_string(args.phases) + " --downloads " +
         std::to_string(args.downloads) + " --link-kilobits " +
         std::to_string(args.link_kilobits) +
         (args.plant.empty() ? "" : " --plant " + args.plant);
}

/// \brief Runs the schedule of one seed and prints its summary.
/// \returns Whether there were no violations.
bool RunSeed(const Arguments& args, std::int64_t seed, std::ostream* report) {
  soak::RunOptions options;
  options.should_stop = [] { return g_stop != 0; };
  options.seed = static_cast<std::uint64_t>(seed);
  options.callers_per_host = static_cast<std::size_t>(args.callers);
  options.download_percent = static_cast<std::uint32_t>(args.downloads);
  options.fleet.hosts = static_cast<std::size_t>(args.hosts);
  options.fleet.bin = args.bin;
  options.fleet.node_program = args.node;
  options.fleet.link_kilobits = static_cast<std::uint32_t>(args.link_kilobits);
  options.fleet.work = args.work + "/seed-" + std::to_string(seed);
  options.schedule =
      soak::GenerateSchedule({.seed = options.seed,
                              .hosts = options.fleet.hosts,
                              .phases = static_cast<std::size_t>(args.phases)});
  InjectPlantedFaults(args, &options.schedule);
  std::filesystem::create_directories(options.fleet.work);
  const soak::ReportSink sink = [report](const json::object& it) {
    *report << json::serialize(it) << std::endl;
  };
  sink({{"event", "start"},
        {"seed", seed},
        {"replay", ReplayCommand(args, seed)}});
  const SystemClock clock;
  const soak::RunResult result = soak::Run(options, clock, sink);
  const json::object summary{{"event", "summary"},
                             {"seed", seed},
                             {"calls", result.calls},
                             {"answered", result.answered},
                             {"actions", result.actions},
                             {"stalled_ms", result.stalled.count()},
                             {"violations", result.violations.size()}};
  sink(summary);
  std::cout << json::serialize(summary) << std::endl;
  for (const soak::Violation& it : result.violations) {
    std::cout << "  " << it.at.count() << " ms, host " << it.host << ", "
              << it.promise << ": " << it.request << " " << it.detail << "\n";
  }
  const bool is_clean = result.violations.empty();
  if (is_clean && !args.keep) {
    std::filesystem::remove_all(options.fleet.work);
  } else {
    std::cout << "  replay: " << ReplayCommand(args, seed)
              << "\n  logs: " << options.fleet.work << std::endl;
  }
  return is_clean;
}

int Main(int argc, const char** argv) {
  CommandLine line("cassiabend-soak", "", kEpilogue);
  Arguments args;
  args.bin = std::filesystem::path(argv[0]).parent_path().string();
  args.work = (std::filesystem::temp_directory_path() /
               ("cassiabend-soak-" + std::to_string(getpid())))
                  .string();
  line.AddNumber("seed", &args.seed, "Seed of the first schedule");
  line.AddNumber("seeds", &args.seeds, "Seeds to run, from the first one on");
  line.AddNumber("minutes", &args.minutes,
                 "No further seed begins after this time; 0 for no limit");
  line.AddNumber("hosts", &args.hosts, "Hosts, each a node and an upstream");
  line.AddNumber("callers", &args.callers, "Callers of each host");
  line.AddNumber("phases", &args.phases, "Phases of a schedule");
  line.AddNumber("downloads", &args.downloads,
                 "Share of the calls that are downloads, in per cent");
  line.AddNumber("link-kilobits", &args.link_kilobits,
                 "Width of each host's link; 0 leaves the setting out");
  line.AddText("bin", &args.bin, "Folder of the programs");
  line.AddText("node", &args.node, "Program of the nodes, when another");
  line.AddText("work", &args.work, "Folder for settings and logs");
  line.AddText("report", &args.report, "File for the report, as JSON lines");
  line.AddText("plant", &args.plant,
               "break or restart: a fault that the check must report");
  line.AddFlag("keep", &args.keep, "Keep the logs of clean seeds too");
  bool finished = false;
  const std::vector<std::string> rest = line.Parse(argc, argv, &finished);
  if (finished) {
    return kExitOk;
  }
  if (!rest.empty()) {
    throw SettingsError("read the command line", rest.front(),
                        "is not expected; see --help");
  }
  CheckArguments(args);
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGTERM, [](int) { g_stop = 1; });
  std::signal(SIGINT, [](int) { g_stop = 1; });
  std::filesystem::create_directories(args.work);
  std::ofstream report(args.report.empty() ? args.work + "/report.jsonl"
                                           : args.report);
  if (!report) {
    throw SettingsError("read the command line", "--report",
                        "cannot be written");
  }
  const auto begin = std::chrono::steady_clock::now();
  bool is_clean = true;
  for (std::int64_t n = 0; n < args.seeds; ++n) {
    const auto elapsed = std::chrono::steady_clock::now() - begin;
    if (args.minutes > 0 && elapsed >= std::chrono::minutes(args.minutes)) {
      break;
    }
    is_clean = RunSeed(args, args.seed + n, &report) && is_clean;
  }
  return is_clean ? kExitOk : kExitViolation;
}

}  // namespace
}  // namespace cassiabend

int main(int argc, char** argv) {
  return cassiabend::RunProgram("cassiabend-soak", &cassiabend::Main, argc,
                                argv);
}
