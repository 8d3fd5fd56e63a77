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

/// \brief What a caller was told about one call.
enum class Told : std::uint8_t { kAnswered, kNotRun, kUnknown, kCut };

/// \brief One finished call, for the comparison with the executions that the
/// upstreams counted.
struct CallRecord {
  std::string key;
  Told told = Told::kUnknown;
  bool once = false;
  double latency_us = 0;
};

/// \brief A load of calls from several threads, each with connections of its
/// own, at a fixed rate.
struct LoadPlan {
  /// Entry hosts, used in turn.
  std::vector<std::size_t> entries;
  std::size_t threads = 1;
  double calls_per_s = 100;
  std::chrono::milliseconds duration{1'000};
  std::string target;
  std::string method = "GET";
  bool once = false;
  /// Prefix of the calls' idempotency keys; unique within the fleet's life.
  std::string key_prefix;
};

/// \brief Runs the load. \returns One record for each call.
[[nodiscard]] std::vector<CallRecord> RunLoad(const harness::Fleet& fleet,
                                              const LoadPlan& plan);

/// \brief Sends one keyed call over `connection`, which is opened anew when it
/// is null or broken.
[[nodiscard]] CallRecord SendCall(
    const harness::HostPlan& entry,
    const LoadPlan& plan,
    const std::string& key,
    std::unique_ptr<harness::HttpConnection>* connection);

/// \brief Compares what callers were told with the upstreams' counts: "not
/// run" must mean no execution, and a call that may run once at most one.
void CheckExecutions(const harness::Fleet& fleet,
                     const std::vector<CallRecord>& records,
                     Report* report);

/// \returns All executions that the upstreams have counted.
[[nodiscard]] std::uint64_t TotalExecutions(const harness::Fleet& fleet);

}  // namespace cassiabend::bench
