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
/// Calls a second that the upstreams take.
constexpr double kCapacity = kUpstreams * kSlots * 1000.0 / 80.0;
constexpr Milliseconds kObjective{250};
constexpr Milliseconds kDeadline{600};
constexpr Milliseconds kLength{10'000};
constexpr Milliseconds kEnd{12'000};
constexpr std::uint64_t kSeeds[] = {11, 12, 13};
/// What a late answer is worth, where one within the objective is worth 1.
constexpr double kLateWorth = 0.3;

/// \returns "status" (repeatable, rank 1) and "orders" (once, rank 0), both
/// with an objective.
Config Routes() {
  Config config = MakeConfig();
  for (Route& it : config.routes) {
    it.latency_objective = kObjective;
    it.timeout = kDeadline;
    it.priority = it.name == "orders" ? 0 : 1;
  }
  return config;
}

/// \brief The strategies of a node under load.
struct Strategy {
  const char* name;
  std::uint32_t order_by_objective;
  std::uint32_t place_by_time;
};
constexpr Strategy kPlain{"turns, nearest with room", 0, 0};
constexpr Strategy kOrdered{"order by objective", 1, 0};
constexpr Strategy kPlaced{"expected time", 0, 1};
constexpr Strategy kBoth{"both", 1, 1};
constexpr Strategy kStrategies[] = {kPlain, kOrdered, kPlaced, kBoth};

LoadOptions OptionsOf(const Strategy& strategy) {
  LoadOptions options;
  options.calls.order_by_objective = strategy.order_by_objective;
  options.calls.place_by_time = strategy.place_by_time;
  options.calls.slots = kSlots;
  options.config = Routes();
  options.deadline = kDeadline;
  return options;
}

/// \returns What a call is worth at best, on the mean, that starts at once at
/// an upstream whose times are exponential with this mean.
double BestWorth(Milliseconds mean) {
  const auto beyond = [mean](Milliseconds time) {
    return std::exp(-static_cast<double>(time.count()) /
                    static_cast<double>(mean.count()));
  };
  return 1.0 - beyond(kObjective) +
         kLateWorth * (beyond(kObjective) - beyond(kDeadline));
}

/// \returns The part of calls that is still at work at its deadline, where
/// calls start by the latest moment at which they can meet their objective.
double CutShare(Milliseconds mean) {
  const Milliseconds left = kDeadline - (kObjective - kService);
  return std::exp(-static_cast<double>(left.count()) /
                  static_cast<double>(mean.count()));
}

/// \brief One load, to be played with any strategy.
struct Pattern {
  const char* name;
  void (*change)(std::vector<UpstreamBehaviour>* upstreams,
                 LoadOptions* options);
  void (*add_streams)(LoadWorld* world);
  /// Worth of a call on the mean, were every slot busy with useful work in
  /// every second and no call waited.
  double best;
  /// Most calls whose outcome is unknown, as a share.
  double cut;
};

void NoChange(std::vector<UpstreamBehaviour>* /*upstreams*/,
              LoadOptions* /*options*/) {}

void Even(LoadWorld* world, double share, Milliseconds from, Milliseconds to) {
  world->AddStreamAt("orders", kCapacity * share * 0.3, from, to, 0,
                     kUpstreams);
  world->AddStreamAt("status", kCapacity * share * 0.7, from, to, 0,
                     kUpstreams);
}

const std::vector<Pattern>& Patterns() {
  static const std::vector<Pattern> patterns = {
      // 7 s at 0.8 and 3 s at 1.36 of what the slots carry.
      {"a burst of 1.7 on all", NoChange,
       [](LoadWorld* world) {
         Even(world, 0.8, Milliseconds(0), kLength);
         Even(world, 0.8 * 0.7, Milliseconds(3'000), Milliseconds(6'000));
       },
       (7 * 0.8 + 3 * 1.0) / (7 * 0.8 + 3 * 1.36) * BestWorth(kService),
       CutShare(kService)},
      // "status" at 1.8 of what the slots carry, "orders" at 0.2.
      {"one class floods", NoChange,
       [](LoadWorld* world) {
         world->AddStream("orders", kCapacity * 0.2, kLength);
         world->AddStream("status", kCapacity * 1.8, kLength);
       },
       1.0 / 2.0 * BestWorth(kService), CutShare(kService)},
      {"refused callers repeat at once",
       [](std::vector<UpstreamBehaviour>* /*upstreams*/, LoadOptions* options) {
         options->refused = RefusedCaller::kRetriesAtOnce;
       },
       [](LoadWorld* world) { Even(world, 1.3, Milliseconds(0), kLength); },
       1.0 / 1.3 * BestWorth(kService), CutShare(kService)},
      {"refused callers come back when told",
       [](std::vector<UpstreamBehaviour>* /*upstreams*/, LoadOptions* options) {
         options->refused = RefusedCaller::kRetriesLater;
       },
       [](LoadWorld* world) { Even(world, 1.3, Milliseconds(0), kLength); },
       1.0 / 1.3 * BestWorth(kService), CutShare(kService)},
      // Calls come at 0.6; the two thirds of the slots that are left carry
      // 0.667.
      // Of the calls, the slow slots can take (4 / 5) / (8 + 4 / 5).
      {"a third of the upstreams five times slower",
       [](std::vector<UpstreamBehaviour>* upstreams, LoadOptions* /*options*/) {
         for (std::size_t n = 0; n < kUpstreams / 3; ++n) {
           (*upstreams)[n].slowdowns = {
               {Milliseconds(2'000), Milliseconds(8'000), 5.0}};
         }
       },
       [](LoadWorld* world) { Even(world, 0.6, Milliseconds(0), kLength); },
       BestWorth(kService), 0.8 / 8.8 * CutShare(5 * kService)},
      // Nothing is known of any upstream, and for 3 s all take three times as
      // long, so that they carry a third; calls come at 0.8.
      {"a cold start of everything",
       [](std::vector<UpstreamBehaviour>* upstreams, LoadOptions* /*options*/) {
         for (UpstreamBehaviour& it : *upstreams) {
           it.slowdowns = {{Milliseconds(0), Milliseconds(3'000), 3.0}};
         }
       },
       [](LoadWorld* world) { Even(world, 0.8, Milliseconds(0), kLength); },
       (3 / 3.0 * BestWorth(3 * kService) + 7 * 0.8 * BestWorth(kService)) /
           (10 * 0.8),
       3 / 3.0 / (10 * 0.8) * CutShare(3 * kService)},
      // One third of the nodes takes half of the calls; in all they come at
      // 0.9.
      {"a zone's traffic at double", NoChange,
       [](LoadWorld* world) {
         const std::size_t third = kUpstreams / 3;
         world->AddStreamAt("status", kCapacity * 0.45, Milliseconds(0),
                            kLength, 0, third);
         world->AddStreamAt("status", kCapacity * 0.45, Milliseconds(0),
                            kLength, third, kUpstreams);
       },
       BestWorth(kService), CutShare(kService)},
  };
  return patterns;
}

/// \brief Sums over the seeds.
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
  /// \returns The mean time that a call which was not run was kept.
  [[nodiscard]] Milliseconds mean_held() const {
    return std::chrono::floor<Milliseconds>(
        held / std::max<std::int64_t>(static_cast<std::int64_t>(refusals), 1));
  }
  [[nodiscard]] double share() const { return ToShare(worth); }
  [[nodiscard]] double unknown_share() const {
    return ToShare(static_cast<double>(unknown));
  }
  [[nodiscard]] double attempts_a_call() const {
    return ToShare(static_cast<double>(attempts));
  }

 private:
  [[nodiscard]] double ToShare(double n) const {
    return calls == 0 ? 0.0 : n / static_cast<double>(calls);
  }
};

std::map<std::string, Total> Play(const Pattern& pattern,
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
    world.Run(kEnd);
    for (const auto& [route, result] : world.results()) {
      totals[route].Add(result);
      totals["all"].Add(result);
    }
  }
  return totals;
}

TEST_CASE("each load at its worst is served near what the slots carry") {
  /// Part of the best that has to be reached.
  constexpr double kPart = 0.9;
  for (const Pattern& pattern : Patterns()) {
    const std::string pattern_name = pattern.name;
    CAPTURE(pattern_name);
    double plain = 0;
    for (const Strategy& strategy : kStrategies) {
      auto totals = Play(pattern, strategy);
      const Total& all = totals["all"];
      MESSAGE(pattern_name << ", " << std::string(strategy.name) << ": worth "
                           << all.share() << " of " << pattern.best
                           << ", orders " << totals["orders"].share()
                           << ", unknown " << all.unknown_share()
                           << ", attempts a call " << all.attempts_a_call()
                           << ", refused after " << all.mean_held().count()
                           << " ms");
      if (strategy.name == kPlain.name) {
        plain = all.share();
      }
      if (strategy.name != kBoth.name) {
        continue;
      }
      CHECK(all.share() >= kPart * pattern.best);
      CHECK(all.share() >= plain);
      CHECK(all.unknown_share() <= pattern.cut);
      // What is refused is refused while its caller can still try elsewhere.
      CHECK(all.mean_held() <= kObjective / 2);
    }
  }
}

TEST_CASE("a flood of a lower rank leaves the higher one nearly whole") {
  auto totals = Play(Patterns().at(1), kBoth);
  CHECK(totals["orders"].share() >= 0.9 * BestWorth(kService));
}

}  // namespace
}  // namespace cassiabend::testing
