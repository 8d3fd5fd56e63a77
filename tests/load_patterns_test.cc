#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <vector>

#include "tests/call_load.h"

namespace cassiabend::testing {
namespace {

constexpr std::size_t kUpstreams = 12;
constexpr std::uint32_t kSlots = 4;
constexpr Milliseconds kService{80};
/// Calls per second that the slots of all upstreams can serve.
constexpr double kCapacity = kUpstreams * kSlots * 1000.0 / 80.0;
constexpr Milliseconds kObjective{250};
constexpr Milliseconds kDeadline{600};
constexpr Milliseconds kArrivalPeriod{10'000};
constexpr Milliseconds kRunTime{12'000};
constexpr std::uint64_t kSeeds[] = {11, 12, 13};
/// Worth of an answer after the objective; one within it is worth 1.
constexpr double kLateWorth = 0.3;

/// \returns A configuration with the routes "status" (repeatable, priority 1)
/// and "orders" (not repeatable, priority 0), both with an objective.
Config MakeLoadConfig() {
  Config config = MakeConfig();
  for (Route& it : config.routes) {
    it.latency_objective = kObjective;
    it.timeout = kDeadline;
    it.priority = it.name == "orders" ? 0 : 1;
  }
  return config;
}

/// \brief Settings of a node that decide how it handles load.
struct Strategy {
  const char* name;
  std::uint32_t order_by_objective;
  std::uint32_t place_by_time;
};
constexpr Strategy kPlain{"round-robin, nearest not saturated", 0, 0};
constexpr Strategy kByObjective{"order by objective", 1, 0};
constexpr Strategy kByExpectedTime{"upstream by expected time", 0, 1};
constexpr Strategy kBoth{"both", 1, 1};
constexpr Strategy kStrategies[] = {kPlain, kByObjective, kByExpectedTime,
                                    kBoth};

LoadOptions OptionsOf(const Strategy& strategy) {
  LoadOptions options;
  options.calls.order_by_objective = strategy.order_by_objective;
  options.calls.place_by_time = strategy.place_by_time;
  options.calls.slots = kSlots;
  options.config = MakeLoadConfig();
  options.deadline = kDeadline;
  return options;
}

/// \returns The expected worth of a call that starts without waiting at an
/// upstream with exponentially distributed service times of this mean.
double BestWorth(Milliseconds mean) {
  const auto beyond = [mean](Milliseconds time) {
    return std::exp(-static_cast<double>(time.count()) /
                    static_cast<double>(mean.count()));
  };
  return 1.0 - beyond(kObjective) +
         kLateWorth * (beyond(kObjective) - beyond(kDeadline));
}

/// \returns The share of calls that still run at their deadline, if each starts
/// at the latest time at which it is expected to meet its objective.
double ShareRunningAtDeadline(Milliseconds mean) {
  const Milliseconds left = kDeadline - (kObjective - kService);
  return std::exp(-static_cast<double>(left.count()) /
                  static_cast<double>(mean.count()));
}

/// \brief One pattern of load, which is run with each strategy.
struct Pattern {
  const char* name;
  void (*change)(std::vector<UpstreamBehaviour>* upstreams,
                 LoadOptions* options);
  void (*add_streams)(LoadWorld* world);
  /// Upper bound of the mean worth of a call: every slot always does useful
  /// work and no call waits.
  double best_worth;
  /// Largest allowed share of calls with an unknown outcome.
  double max_unknown_share;
};

void NoChange(std::vector<UpstreamBehaviour>* /*upstreams*/,
              LoadOptions* /*options*/) {}

void AddEvenLoad(LoadWorld* world,
                 double share,
                 Milliseconds from,
                 Milliseconds to) {
  world->AddStreamAt("orders", kCapacity * share * 0.3, from, to, 0,
                     kUpstreams);
  world->AddStreamAt("status", kCapacity * share * 0.7, from, to, 0,
                     kUpstreams);
}

const std::vector<Pattern>& Patterns() {
  static const std::vector<Pattern> patterns = {
      // 7 s at 0.8 and 3 s at 1.36 of the capacity.
      {"a burst of 1.7 on all classes", NoChange,
       [](LoadWorld* world) {
         AddEvenLoad(world, 0.8, Milliseconds(0), kArrivalPeriod);
         AddEvenLoad(world, 0.8 * 0.7, Milliseconds(3'000),
                     Milliseconds(6'000));
       },
       (7 * 0.8 + 3 * 1.0) / (7 * 0.8 + 3 * 1.36) * BestWorth(kService),
       ShareRunningAtDeadline(kService)},
      // "status" arrives at 1.8 of the capacity, "orders" at 0.2.
      {"one class floods the upstreams", NoChange,
       [](LoadWorld* world) {
         world->AddStream("orders", kCapacity * 0.2, kArrivalPeriod);
         world->AddStream("status", kCapacity * 1.8, kArrivalPeriod);
       },
       1.0 / 2.0 * BestWorth(kService), ShareRunningAtDeadline(kService)},
      {"refused callers retry at once",
       [](std::vector<UpstreamBehaviour>* /*upstreams*/, LoadOptions* options) {
         options->refused = RefusedCaller::kRetriesAtOnce;
       },
       [](LoadWorld* world) {
         AddEvenLoad(world, 1.3, Milliseconds(0), kArrivalPeriod);
       },
       1.0 / 1.3 * BestWorth(kService), ShareRunningAtDeadline(kService)},
      {"refused callers retry after the stated time",
       [](std::vector<UpstreamBehaviour>* /*upstreams*/, LoadOptions* options) {
         options->refused = RefusedCaller::kRetriesLater;
       },
       [](LoadWorld* world) {
         AddEvenLoad(world, 1.3, Milliseconds(0), kArrivalPeriod);
       },
       1.0 / 1.3 * BestWorth(kService), ShareRunningAtDeadline(kService)},
      // Calls arrive at 0.6 of the capacity, and the two thirds of the slots
      // with
      // normal speed can serve 0.667 of it.
      // The slow slots can serve (4 / 5) / (8 + 4 / 5) of the calls.
      {"a third of the upstreams five times slower",
       [](std::vector<UpstreamBehaviour>* upstreams, LoadOptions* /*options*/) {
         for (std::size_t n = 0; n < kUpstreams / 3; ++n) {
           (*upstreams)[n].slowdowns = {
               {Milliseconds(2'000), Milliseconds(8'000), 5.0}};
         }
       },
       [](LoadWorld* world) {
         AddEvenLoad(world, 0.6, Milliseconds(0), kArrivalPeriod);
       },
       BestWorth(kService), 0.8 / 8.8 * ShareRunningAtDeadline(5 * kService)},
      // Nothing is known of any upstream, and for 3 s calls take three times as
      // long, so that a third of the capacity is left; calls arrive at 0.8 of
      // it
      // all.
      {"a cold start of all upstreams",
       [](std::vector<UpstreamBehaviour>* upstreams, LoadOptions* /*options*/) {
         for (UpstreamBehaviour& it : *upstreams) {
           it.slowdowns = {{Milliseconds(0), Milliseconds(3'000), 3.0}};
         }
       },
       [](LoadWorld* world) {
         AddEvenLoad(world, 0.8, Milliseconds(0), kArrivalPeriod);
       },
       (3 / 3.0 * BestWorth(3 * kService) + 7 * 0.8 * BestWorth(kService)) /
           (10 * 0.8),
       3 / 3.0 / (10 * 0.8) * ShareRunningAtDeadline(3 * kService)},
      // One third of the nodes receives half of the calls, which arrive at 0.9
      // of
      // the capacity in total.
      {"doubled traffic of one zone", NoChange,
       [](LoadWorld* world) {
         const std::size_t third = kUpstreams / 3;
         world->AddStreamAt("status", kCapacity * 0.45, Milliseconds(0),
                            kArrivalPeriod, 0, third);
         world->AddStreamAt("status", kCapacity * 0.45, Milliseconds(0),
                            kArrivalPeriod, third, kUpstreams);
       },
       BestWorth(kService), ShareRunningAtDeadline(kService)},
  };
  return patterns;
}

/// \brief Sums over all seeds.
struct Total {
  std::uint64_t calls = 0;
  double worth = 0;
  std::uint64_t unknown = 0;
  std::uint64_t attempts = 0;
  std::uint64_t refusals = 0;
  Nanoseconds held{0};

  void Add(const LoadResult& it) {
    calls += it.calls;
    worth += static_cast<double>(it.timely) +
             kLateWorth * static_cast<double>(it.answered - it.timely);
    unknown += it.unknown;
    attempts += it.attempts;
    refusals += it.refusals;
    held += it.held;
  }
  /// \returns The mean time from the arrival of a call that was not run to its
  /// refusal.
  [[nodiscard]] Milliseconds mean_held() const {
    return std::chrono::floor<Milliseconds>(
        held / std::max<std::int64_t>(static_cast<std::int64_t>(refusals), 1));
  }
  [[nodiscard]] double share() const { return ToShare(worth); }
  [[nodiscard]] double unknown_share() const {
    return ToShare(static_cast<double>(unknown));
  }
  [[nodiscard]] double attempts_per_call() const {
    return ToShare(static_cast<double>(attempts));
  }

 private:
  [[nodiscard]] double ToShare(double n) const {
    return calls == 0 ? 0.0 : n / static_cast<double>(calls);
  }
};

std::map<std::string, Total> RunPattern(const Pattern& pattern,
                                        const Strategy& strategy) {
  std::map<std::string, Total> totals;
  for (const std::uint64_t seed : kSeeds) {
    std::vector<UpstreamBehaviour> upstreams(kUpstreams);
    for (UpstreamBehaviour& it : upstreams) {
      it.service_time = kService;
    }
    LoadOptions options = OptionsOf(strategy);
    pattern.change(&upstreams, &options);
    LoadWorld world(upstreams, kSlots, seed, options);
    pattern.add_streams(&world);
    world.Run(kRunTime);
    for (const auto& [route, result] : world.results()) {
      totals[route].Add(result);
      totals["all"].Add(result);
    }
  }
  return totals;
}

TEST_CASE("each load pattern is served near the best that the slots allow") {
  /// Share of the best worth that must be reached.
  constexpr double kMinShareOfBest = 0.9;
  for (const Pattern& pattern : Patterns()) {
    const std::string pattern_name = pattern.name;
    CAPTURE(pattern_name);
    double plain = 0;
    for (const Strategy& strategy : kStrategies) {
      auto totals = RunPattern(pattern, strategy);
      const Total& all = totals["all"];
      MESSAGE(pattern_name << ", " << std::string(strategy.name) << ": worth "
                           << all.share() << " of " << pattern.best_worth
                           << ", orders " << totals["orders"].share()
                           << ", unknown " << all.unknown_share()
                           << ", attempts per call " << all.attempts_per_call()
                           << ", refused after " << all.mean_held().count()
                           << " ms");
      if (strategy.name == kPlain.name) {
        plain = all.share();
      }
      if (strategy.name != kBoth.name) {
        continue;
      }
      CHECK(all.share() >= kMinShareOfBest * pattern.best_worth);
      CHECK(all.share() >= plain);
      CHECK(all.unknown_share() <= pattern.max_unknown_share);
      // A call must be refused while its caller can still retry elsewhere.
      CHECK(all.mean_held() <= kObjective / 2);
    }
  }
}

TEST_CASE("a flood of a less urgent class hardly affects the more urgent one") {
  auto totals = RunPattern(Patterns().at(1), kBoth);
  CHECK(totals["orders"].share() >= 0.9 * BestWorth(kService));
}

}  // namespace
}  // namespace cassiabend::testing
