#include "tools/bench_load.h"

#include <memory>
#include <thread>
#include <utility>

namespace cassiabend::bench {
namespace {

using std::chrono::steady_clock;

constexpr std::chrono::milliseconds kCallTimeout{10'000};

CallOutcome OutcomeOf(const harness::Response& response) {
  const std::string header = response.Header("x-cassiabend-outcome");
  if (header == "not-run") {
    return CallOutcome::kNotRun;
  }
  if (header != "answered") {
    return CallOutcome::kUnknown;
  }
  return response.complete ? CallOutcome::kAnswered : CallOutcome::kCut;
}

/// \brief Sends the calls of one thread. The threads' start times are spread
/// evenly over the period between two calls of a thread.
void RunThread(const harness::Fleet& fleet,
               const LoadPlan& plan,
               std::size_t thread,
               std::vector<CallRecord>* out) {
  const auto& entry =
      fleet.hosts().at(plan.entries.at(thread % plan.entries.size()));
  const std::chrono::duration<double> period(static_cast<double>(plan.threads) /
                                             plan.calls_per_s);
  const auto start = steady_clock::now();
  std::unique_ptr<harness::HttpConnection> connection;
  for (std::uint64_t n = 0;; ++n) {
    const auto at =
        start + std::chrono::duration_cast<steady_clock::duration>(
                    period * (static_cast<double>(n) +
                              static_cast<double>(thread) /
                                  static_cast<double>(plan.threads)));
    if (at >= start + plan.duration ||
        steady_clock::now() >= start + plan.duration) {
      return;
    }
    std::this_thread::sleep_until(at);
    const std::string key = plan.key_prefix + "-" + std::to_string(thread) +
                            "-" + std::to_string(n);
    out->push_back(SendCall(entry, plan, key, &connection));
  }
}

}  // namespace

std::vector<CallRecord> RunLoad(const harness::Fleet& fleet,
                                const LoadPlan& plan) {
  std::vector<std::vector<CallRecord>> results(plan.threads);
  std::vector<std::thread> threads;
  threads.reserve(plan.threads);
  for (std::size_t i = 0; i < plan.threads; ++i) {
    threads.emplace_back([&fleet, &plan, i, &results] {
      RunThread(fleet, plan, i, &results.at(i));
    });
  }
  for (std::thread& it : threads) {
    it.join();
  }
  std::vector<CallRecord> out;
  for (const auto& it : results) {
    out.insert(out.end(), it.begin(), it.end());
  }
  return out;
}

CallRecord SendCall(const harness::HostSpec& entry,
                    const LoadPlan& plan,
                    const std::string& key,
                    std::unique_ptr<harness::HttpConnection>* connection) {
  CallRecord record{.key = key,
                    .outcome = CallOutcome::kUnknown,
                    .at_most_once = plan.at_most_once};
  const harness::Request request{.method = plan.method,
                                 .target = plan.target,
                                 .headers = {{"Idempotency-Key", key}},
                                 .body = {}};
  try {
    if (!*connection) {
      *connection = std::make_unique<harness::HttpConnection>(
          entry.ip, entry.call_port, kCallTimeout);
    }
    const auto start = steady_clock::now();
    const harness::Response response = (*connection)->Send(request);
    record.latency_us =
        std::chrono::duration<double, std::micro>(steady_clock::now() - start)
            .count();
    record.outcome = OutcomeOf(response);
    if (!response.complete || response.Header("connection") == "close") {
      connection->reset();
    }
  } catch (const std::exception&) {
    connection->reset();
  }
  return record;
}

void CheckExecutions(const harness::Fleet& fleet,
                     const std::vector<CallRecord>& records,
                     Report* report) {
  std::unordered_map<std::string, std::uint64_t> executions;
  for (std::size_t i = 0; i < fleet.hosts().size(); ++i) {
    const boost::json::value page = fleet.Executions(i);
    for (const auto& it : page.at("by_key").as_object()) {
      executions[it.key()] += it.value().to_number<std::uint64_t>();
    }
  }
  for (const CallRecord& it : records) {
    const auto found = executions.find(it.key);
    const std::uint64_t n = found == executions.end() ? 0 : found->second;
    if (it.outcome == CallOutcome::kNotRun && n != 0) {
      report->AddViolation("reported as not run, but ran: " + it.key);
    }
    if (it.outcome == CallOutcome::kAnswered && n == 0) {
      report->AddViolation("answered, but did not run: " + it.key);
    }
    if (it.at_most_once && n > 1) {
      report->AddViolation("ran " + std::to_string(n) + " times: " + it.key);
    }
  }
}

std::uint64_t TotalExecutions(const harness::Fleet& fleet) {
  std::uint64_t total = 0;
  for (std::size_t i = 0; i < fleet.hosts().size(); ++i) {
    total += fleet.Executions(i).at("total").to_number<std::uint64_t>();
  }
  return total;
}

}  // namespace cassiabend::bench
