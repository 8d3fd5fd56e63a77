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

/// Most processes of a run.
inline constexpr std::size_t kMaxProcesses = 300;
/// Each host has a node and an upstream; the store is one more.
inline constexpr std::size_t kProcessesPerHost = 2;
inline constexpr std::size_t kMaxHosts =
    (kMaxProcesses - 1) / kProcessesPerHost;
/// Most memory that the processes of one host are taken to need.
inline constexpr std::uint64_t kBytesPerHost = 96ULL * 1024 * 1024;

/// \brief Asked often whether the run should end early.
using ShouldStop = bool (*)();

struct RunOptions {
  SoakFleetOptions fleet;
  std::uint64_t seed = 1;
  std::vector<Phase> schedule;
  ShouldStop should_stop = nullptr;
  std::size_t callers_per_host = 2;
  std::uint32_t download_percent = 20;
};

struct RunResult {
  std::size_t calls = 0;
  std::size_t answered = 0;
  std::size_t actions = 0;
  /// Time in which the soak itself stood still, which is not judged.
  Milliseconds stalled{0};
  std::vector<Violation> violations;
};

/// \brief Told what happens, as an object of the report.
using Tell = std::function<void(const boost::json::object&)>;

/// \brief Runs one schedule against a fleet of its own. Ends after the first
/// phase whose history breaks a promise.
/// \throws std::runtime_error when the fleet cannot be started, a node ended by
/// itself, or the run was stopped early; its processes have ended then.
[[nodiscard]] RunResult Run(const RunOptions& options,
                            const Clock& clock,
                            const Tell& tell);

/// \returns Bytes of the host's memory.
[[nodiscard]] std::uint64_t HostMemory();

}  // namespace cassiabend::soak
