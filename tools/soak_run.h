#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "cassiabend/base/clock.h"
#include "tools/soak_checker.h"
#include "tools/soak_fleet.h"
#include "tools/soak_schedule.h"

namespace cassiabend::soak {

/// Limit of the processes that a run starts.
inline constexpr std::size_t kMaxProcesses = 300;
/// A node and an upstream; the store is one more process of the run.
inline constexpr std::size_t kProcessesPerHost = 2;
inline constexpr std::size_t kMaxHosts =
    (kMaxProcesses - 1) / kProcessesPerHost;
/// Memory to reserve for the processes of one host.
inline constexpr std::uint64_t kBytesPerHost = 96ULL * 1024 * 1024;

/// \brief Polled during a run; returns whether it should end early.
using ShouldStop = bool (*)();

struct RunOptions {
  SoakFleetOptions fleet;
  std::uint64_t seed = 1;
  std::vector<Phase> schedule;
  ShouldStop should_stop = nullptr;
  std::size_t callers_per_host = 2;
  /// Share of the calls that are downloads, in percent.
  std::uint32_t download_percent = 20;
};

struct RunResult {
  std::size_t calls = 0;
  std::size_t answered = 0;
  std::size_t actions = 0;
  /// Time in which the soak process itself was not scheduled. Checks that
  /// hold only without faults skip what overlaps with it.
  Milliseconds stalled{0};
  std::vector<Violation> violations;
};

/// \brief Receives each event of a run as a JSON object.
using ReportSink = std::function<void(const boost::json::object&)>;

/// \brief Starts a fleet, runs a schedule against it and checks the history
/// after each phase. Ends after the first phase with a violation.
/// \throws std::runtime_error when the fleet cannot be started, a node exits
/// unexpectedly, or the run is stopped early. The fleet's processes have been
/// ended by then.
[[nodiscard]] RunResult Run(const RunOptions& options,
                            const Clock& clock,
                            const ReportSink& sink);

/// \returns The physical memory of this machine, in bytes.
[[nodiscard]] std::uint64_t PhysicalMemoryBytes();

}  // namespace cassiabend::soak
