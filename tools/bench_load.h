#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "tools/bench_report.h"
#include "tools/harness/fleet.h"

namespace cassiabend::bench {

/// \brief Outcome of a call as its caller saw it.
enum class CallOutcome : std::uint8_t {
  kAnswered,
  kNotRun,
  kUnknown,
  /// The answer's body was incomplete.
  kCut
};

/// \brief A finished call, to be compared with the executions that the
/// upstreams counted.
struct CallRecord {
  std::string key;
  CallOutcome outcome = CallOutcome::kUnknown;
  /// Whether the call may run at most once.
  bool at_most_once = false;
  double latency_us = 0;
};

/// \brief A load of calls at a fixed rate, from several threads with a
/// connection each.
struct LoadPlan {
  /// Entry hosts, assigned to the threads round-robin.
  std::vector<std::size_t> entries;
  std::size_t threads = 1;
  /// Of all threads together.
  double calls_per_s = 100;
  std::chrono::milliseconds duration{1'000};
  std::string target;
  std::string method = "GET";
  /// Whether each call may run at most once.
  bool at_most_once = false;
  /// Prefix of the calls' idempotency keys; must be unique among the loads of
  /// a fleet.
  std::string key_prefix;
};

/// \brief Runs a load to its end.
/// \returns One record per call.
[[nodiscard]] std::vector<CallRecord> RunLoad(const harness::Fleet& fleet,
                                              const LoadPlan& plan);

/// \brief Sends one call with an idempotency key.
/// \param connection Opened when null; reset to null when it cannot be used
/// again.
[[nodiscard]] CallRecord SendCall(
    const harness::HostSpec& entry,
    const LoadPlan& plan,
    const std::string& key,
    std::unique_ptr<harness::HttpConnection>* connection);

/// \brief Reports a violation for every call that ran though reported as not
/// run, was answered without running, or may run at most once and ran again.
void CheckExecutions(const harness::Fleet& fleet,
                     const std::vector<CallRecord>& records,
                     Report* report);

/// \returns The executions that all upstreams together have counted.
[[nodiscard]] std::uint64_t TotalExecutions(const harness::Fleet& fleet);

}  // namespace cassiabend::bench
