#include <algorithm>
#include <charconv>
#include <exception>
#include <filesystem>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

#include "cassiabend/base/command_line.h"
#include "cassiabend/base/error.h"
#include "tools/bench_calls.h"
#include "tools/bench_core.h"
#include "tools/bench_fleet.h"
#include "tools/bench_report.h"
#include "tools/harness/fleet.h"

namespace cassiabend::bench {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitUsage = 1;
constexpr int kExitFailed = 2;
constexpr int kExitViolations = 3;
/// Bounds the processes on this machine: each host runs two.
constexpr std::size_t kMaxHosts = 100;

constexpr char kEpilogue[] =
    "\nPrints one JSON object a line. PART is core, latency, overload, retries,"
    "\ndrain or fleet; without one, all run.\n"
    "Exit codes: 0 measured, 1 bad command line, 2 a part failed, 3 a promise "
    "was\nbroken (see \"violations\" and standard error).\n";

/// \brief A measurement that can be selected by name.
struct Part {
  const char* name;
  void (*run)(const Options& options, Report* report);
};

void MeasureFleets(const Options& options, Report* report) {
  for (const std::size_t it : options.sizes) {
    MeasureFleet(options, it, report);
  }
}

constexpr Part kParts[] = {
    {"core", &MeasureCore},         {"latency", &MeasureLatency},
    {"overload", &MeasureOverload}, {"retries", &MeasureRetries},
    {"drain", &MeasureDrain},       {"fleet", &MeasureFleets},
};

std::vector<std::size_t> ParseSizes(const std::string& text) {
  std::vector<std::size_t> sizes;
  std::istringstream in(text);
  std::string word;
  while (std::getline(in, word, ',')) {
    std::size_t n = 0;
    const char* end = word.data() + word.size();
    const auto [it, ec] = std::from_chars(word.data(), end, n);
    if (ec != std::errc() || it != end || n < 2 || n > kMaxHosts) {
      throw SettingsError("read the command line", "--sizes",
                          "\"" + word + "\" is not a size from 2 to " +
                              std::to_string(kMaxHosts));
    }
    sizes.push_back(n);
  }
  return sizes;
}

/// \brief Runs one part and prints the error when it fails.
/// \returns Whether it completed.
bool RunPart(const Part& part, const Options& options, Report* report) {
  try {
    part.run(options, report);
    return true;
  } catch (const std::exception& e) {
    std::cerr << "cassiabend-bench: " << part.name << ": " << e.what() << "\n";
    return false;
  }
}

int RunParts(const Options& options, const std::vector<std::string>& names) {
  Report report({{"deployment", options.deployment}});
  bool failed = false;
  for (const Part& it : kParts) {
    if (names.empty() || std::ranges::count(names, it.name) != 0) {
      failed = !RunPart(it, options, &report) || failed;
    }
  }
  const auto violations = static_cast<double>(report.violations());
  report.Emit("violations", violations, "count");
  if (violations != 0) {
    return kExitViolations;
  }
  return failed ? kExitFailed : kExitOk;
}

void CheckNames(const std::vector<std::string>& names) {
  for (const std::string& it : names) {
    const bool known = std::ranges::any_of(
        kParts, [&it](const Part& part) { return part.name == it; });
    if (!known) {
      throw SettingsError("read the command line", it,
                          "is not a part; see --help");
    }
  }
}

int Main(int argc, const char** argv) {
  CommandLine line("cassiabend-bench", "[PART...]", kEpilogue);
  Options options;
  std::string sizes;
  std::int64_t seed = 1;
  options.bin = std::filesystem::path(argv[0]).parent_path().string();
  options.work =
      (std::filesystem::temp_directory_path() / "cassiabend-bench").string();
  line.AddText("bin", &options.bin, "Folder of the programs");
  line.AddText("work", &options.work, "Folder for settings and logs");
  line.AddText("deployment", &options.deployment, "cascadia or silfurhud");
  line.AddText("sizes", &sizes, "Sizes of the fleets, such as 6,12,24,48");
  line.AddNumber("seed", &seed, "Seed of change ids");
  line.AddFlag("quick", &options.quick, "Run in under a minute");
  bool finished = false;
  const std::vector<std::string> names = line.Parse(argc, argv, &finished);
  if (finished) {
    return kExitOk;
  }
  CheckNames(names);
  (void)harness::DeploymentByName(options.deployment);
  options.seed = static_cast<std::uint64_t>(seed);
  options.sizes = ParseSizes(!sizes.empty() ? sizes : "6,12,24,48");
  return RunParts(options, names);
}

}  // namespace
}  // namespace cassiabend::bench

int main(int argc, char** argv) {
  try {
    return cassiabend::bench::Main(argc, const_cast<const char**>(argv));
  } catch (const std::exception& e) {
    std::cerr << "cassiabend-bench: " << e.what() << "\n";
    return cassiabend::bench::kExitUsage;
  }
}
