#include "tools/soak_run.h"

#include <unistd.h>

#include <algorithm>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <tuple>

namespace cassiabend::soak {
namespace {

constexpr Milliseconds kTickPeriod{10};
/// Longest time for stopping nodes to exit and start again: the shutdown
/// timeout and the time of a start on a busy machine.
constexpr Milliseconds kSettleTimeout{15'000};
constexpr Milliseconds kWarmUpTime{2'000};

/// \brief Runs the phases of a schedule and collects their results.
class Runner {
 public:
  Runner(const RunOptions& options, const Clock& clock, const ReportSink& sink)
      : options_(options),
        clock_(clock),
        fleet_(options.fleet, clock_),
        sink_(sink) {}

  RunResult RunSchedule(const Clock& clock) {
    sink_({{"event", "clock"},
           {"at_ms", clock_.Now().count()},
           {"wall_ms", clock.Now().wall.time_since_epoch().count()}});
    fleet_.Start();
    callers_.emplace(
        CallersOptions{.entries = fleet_.EntryAddresses(),
                       .callers_per_host = options_.callers_per_host,
                       .download_percent = options_.download_percent,
                       .seed = options_.seed},
        clock_);
    callers_->Start();
    TickUntil(clock_.Now() + kWarmUpTime);
    for (const Phase& it : options_.schedule) {
      RunPhase(it);
      Check();
      if (!result_.violations.empty()) {
        break;
      }
    }
    callers_->Stop();
    Check();
    SummarizeCalls();
    return result_;
  }

 private:
  void RunPhase(const Phase& phase) {
    const RunTime begin = clock_.Now();
    sink_({{"event", "phase"},
           {"at_ms", begin.count()},
           {"kind", NameOf(phase.kind)},
           {"slow_opens",
            std::ranges::count(phase.actions, ActionKind::kPeerSlowOpen,
                               &Action::kind)}});
    for (const Action& it : phase.actions) {
      TickUntil(begin + it.at);
      const RunTime at = clock_.Now();
      const bool was_done = fleet_.Apply(it);
      ++result_.actions;
      if (it.kind != ActionKind::kPeerSlowOpen) {
        sink_({{"event", "action"},
               {"at_ms", at.count()},
               {"what", Describe(it)},
               {"done", was_done}});
      }
    }
    TickUntil(begin + phase.length);
    EndPhase(phase.kind, begin);
  }

  void EndPhase(PhaseKind kind, RunTime begin) {
    if (kind == PhaseKind::kMixed) {
      fleet_.EndActions();
    }
    const RunTime limit = clock_.Now() + kSettleTimeout;
    while (!fleet_.IsSettled()) {
      if (clock_.Now() >= limit) {
        throw std::runtime_error("a stopping node did not exit in time");
      }
      TickUntil(clock_.Now() + kTickPeriod);
    }
    const RunTime end = clock_.Now();
    if (kind == PhaseKind::kRecovery) {
      recovered_.push_back({end - kRecoveryCheckTime, end});
    }
    if (!IsPlanned(kind)) {
      return;
    }
    // Adjacent planned phases are merged, as a call may span both.
    if (!planned_.empty() && planned_.back().end + kTickPeriod >= begin) {
      planned_.back().end = end;
    } else {
      planned_.push_back({begin, end});
    }
  }

  void TickUntil(RunTime time) {
    if (options_.should_stop != nullptr && options_.should_stop()) {
      throw std::runtime_error("stopped by a signal");
    }
    fleet_.Tick();
    while (clock_.Now() < time) {
      std::this_thread::sleep_for(
          std::min<Milliseconds>(kTickPeriod, time - clock_.Now()));
      fleet_.Tick();
    }
  }

  void Check() {
    History history;
    history.calls = callers_->Records();
    history.planned = planned_;
    history.recovered = recovered_;
    fleet_.AddObservations(&history);
    result_.stalled = Milliseconds(0);
    for (const TimeSpan& it : history.stalls) {
      result_.stalled += it.end - it.begin;
    }
    for (Violation& it : soak::Check(history)) {
      if (!reported_.insert({it.promise, it.request, it.at}).second) {
        continue;
      }
      sink_({{"event", "violation"},
             {"seed", options_.seed},
             {"at_ms", it.at.count()},
             {"promise", it.promise},
             {"host", it.host},
             {"request", it.request},
             {"detail", it.detail}});
      result_.violations.push_back(std::move(it));
    }
  }

  /// \brief Counts all calls and reports those that were not answered.
  void SummarizeCalls() {
    for (const CallRecord& it : callers_->Records()) {
      ++result_.calls;
      if (it.outcome == CallOutcome::kAnswered) {
        ++result_.answered;
        continue;
      }
      sink_({{"event", "call"},
             {"at_ms", it.sent.count()},
             {"ended_ms", it.ended.count()},
             {"request", it.id},
             {"order_key", it.order_key},
             {"kind", NameOf(it.kind)},
             {"entry", it.entry},
             {"ending", NameOf(it.outcome)},
             {"status", it.status},
             {"detail", it.detail}});
    }
  }

  const RunOptions& options_;
  RunClock clock_;
  SoakFleet fleet_;
  std::optional<Callers> callers_;
  const ReportSink& sink_;
  std::vector<TimeSpan> planned_;
  std::vector<TimeSpan> recovered_;
  std::set<std::tuple<std::string, std::string, RunTime>> reported_;
  RunResult result_;
};

}  // namespace

RunResult Run(const RunOptions& options,
              const Clock& clock,
              const ReportSink& sink) {
  return Runner(options, clock, sink).RunSchedule(clock);
}

std::uint64_t PhysicalMemoryBytes() {
  return static_cast<std::uint64_t>(sysconf(_SC_PHYS_PAGES)) *
         static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

}  // namespace cassiabend::soak
