#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "cassiabend/core/placement/load_expectation.h"
#include "cassiabend/core/placement/load_record.h"
#include "cassiabend/core/placement/region_exit.h"
#include "cassiabend/core/placement/speed_expectation.h"
#include "tests/call_load.h"

namespace cassiabend {
namespace {

using testing::LoadOptions;
using testing::LoadResult;
using testing::LoadWorld;
using testing::UpstreamBehaviour;

constexpr MonoTime kStart{Seconds(100)};

TEST_CASE("a report is trusted within its horizon") {
  LoadRecord record;
  CHECK_FALSE(record.At(kStart));
  record.Record(kStart, {2, 1, 6, 130}, 6);
  CHECK(record.At(kStart) == UpstreamLoad{2, 1, 6, 130});
  CHECK(record.At(kStart + LoadRecord::kHorizon - Milliseconds(1)));
  CHECK_FALSE(record.At(kStart + LoadRecord::kHorizon));
  record.Reset();
  CHECK_FALSE(record.At(kStart));
}

TEST_CASE("figures of a report that cannot be are bounded") {
  LoadRecord record;
  record.Record(kStart, {4'000'000'000, 4'000'000'000, 4'000'000'000, 1}, 6);
  CHECK(record.At(kStart) ==
        UpstreamLoad{12, 96, 12, LoadRecord::kMinTimePercent});
  record.Reset();
  record.Record(kStart, {0, 0, 0, 4'000'000'000}, 6);
  CHECK(record.At(kStart) ==
        UpstreamLoad{0, 0, 6, LoadRecord::kMaxTimePercent});
  record.Reset();
  record.Record(kStart, {0, 0, 4'000'000'000, 0}, 0);
  CHECK(record.At(kStart) == UpstreamLoad{0, 0, LoadRecord::kMaxSlots, 0});
}

TEST_CASE("the speed is a mean over the last reports") {
  LoadRecord record;
  MonoTime now = kStart;
  for (int i = 0; i < 40; ++i) {
    now += Milliseconds(50);
    record.Record(now, {1, 0, 6, i % 2 == 0 ? 100U : 180U}, 6);
  }
  const std::uint32_t mean = record.At(now)->time_percent;
  CHECK(mean > 125);
  CHECK(mean < 155);
  // One figure that is far off moves it little; a lasting change is followed.
  record.Record(now + Milliseconds(5), {1, 0, 6, 400}, 6);
  CHECK(record.At(now + Milliseconds(5))->time_percent < mean + 20);
  for (int i = 0; i < 20; ++i) {
    now += Milliseconds(50);
    record.Record(now, {1, 0, 6, 300}, 6);
  }
  CHECK(record.At(now)->time_percent > 280);
}

TEST_CASE("a load that is not known is expected to be that of the others") {
  LoadExpectation loads;
  const auto at = [&loads](Locality locality) {
    return loads.At(kStart, locality, 0.0, std::nullopt);
  };
  CHECK(at(Locality::kOtherRegion) == 0.0);
  loads.Record(kStart, Locality::kSameZone, 1.8);
  CHECK(at(Locality::kSameZone) == doctest::Approx(1.8));
  CHECK(at(Locality::kOtherRegion) == doctest::Approx(1.8));
  loads.Record(kStart, Locality::kOtherRegion, 0.2);
  CHECK(at(Locality::kOtherRegion) == doctest::Approx(0.2));
  CHECK(loads.Knows(kStart, Locality::kOtherRegion));
  CHECK_FALSE(
      loads.Knows(kStart + LoadExpectation::kKnownFor, Locality::kOtherRegion));
  // What was heard long ago tends to the load of the nearer ones.
  const double later = loads.At(
      kStart + LoadExpectation::kKnownFor + LoadExpectation::kMeanHalfLife,
      Locality::kOtherRegion, 0.0, std::nullopt);
  CHECK(later == doctest::Approx(1.0));
}

TEST_CASE("an upstream's own report counts for as long as it says something") {
  LoadExpectation loads;
  loads.Record(kStart, Locality::kSameZone, 1.0);
  const auto at = [&loads](Nanoseconds age) {
    return loads.At(kStart, Locality::kSameZone, 0.4, age);
  };
  CHECK(at(Nanoseconds(0)) == doctest::Approx(0.4));
  CHECK(at(LoadExpectation::kReportHalfLife) == doctest::Approx(0.7));
  CHECK(at(Seconds(10)) == doctest::Approx(1.0));
}

TEST_CASE("a speed is measured, and told against the usual figure") {
  SpeedExpectation speed;
  MonoTime now = kStart;
  CHECK(speed.At(now) == 1.0);
  for (int i = 0; i < 60; ++i) {
    now += Milliseconds(100);
    speed.RecordMeasured(now, 1.6);
    // Always told, so it says nothing of the moment.
    speed.RecordTold(now, 160);
  }
  CHECK(speed.At(now) == doctest::Approx(1.6).epsilon(0.02));
  speed.RecordTold(now, 240);
  CHECK(speed.At(now) > 2.0);
  CHECK(speed.At(now + Seconds(3)) < 1.7);
  speed.RecordTold(now, 65'000);
  CHECK(speed.At(now) <= 1.6 * SpeedExpectation::kMaxToldRatio);
  speed.RecordTold(now, 0);
  CHECK(speed.At(now) > 1.6);
}

TEST_CASE("an attempt leaves the region once, and for a free slot") {
  const RegionExit::Near has_room{.has_upstream = true};
  const RegionExit::Near is_full{.has_upstream = true, .is_full = true};
  for (const RegionExit::Near& it : {has_room, is_full}) {
    CHECK(RegionExit(it, false, true).LoadToCompare(0.5) == 0.5);
    CHECK_FALSE(RegionExit(it, false, true).LoadToCompare(1.2));
    CHECK_FALSE(RegionExit(it, true, true).LoadToCompare(0.5));
    CHECK_FALSE(RegionExit(it, true, false).LoadToCompare(1.2));
  }
  // It goes and sees where nothing is known and there is no room at home.
  CHECK_FALSE(RegionExit(has_room, false, false).LoadToCompare(1.2));
  CHECK(RegionExit(is_full, false, false).LoadToCompare(1.2) ==
        RegionExit::kFullLoad);
  // The region has no upstream that takes calls.
  CHECK(RegionExit({}, true, true).LoadToCompare(1.2) == 1.2);
}

// Replays in virtual time: former placement by time against placement by
// expected completion.

constexpr std::uint64_t kSeeds[] = {21, 22, 23};
constexpr Milliseconds kArrivals{6'000};
constexpr Milliseconds kRunTime{9'000};
constexpr const char* kRegions[] = {"north", "south", "east"};

/// \brief Hosts in six zones of three regions.
struct Fleet {
  std::vector<UpstreamBehaviour> hosts;
  std::uint32_t slots = 0;
  Milliseconds service{0};
  Milliseconds objective{0};
  Milliseconds deadline{0};

  [[nodiscard]] double Capacity() const {
    double rate = 0;
    for (const UpstreamBehaviour& it : hosts) {
      rate += it.serves
                  ? slots * 1e6 / static_cast<double>(it.service_time.count())
                  : 0.0;
    }
    return rate;
  }
};

/// \returns `hosts` hosts, of which every `step`-th has an upstream. Hosts are
/// ordered by region, then by zone.
Fleet MakeFleet(std::size_t hosts,
                std::size_t step,
                std::uint32_t slots,
                Milliseconds service,
                Milliseconds objective,
                Milliseconds deadline) {
  Fleet fleet{{}, slots, service, objective, deadline};
  for (std::size_t i = 0; i < hosts; ++i) {
    UpstreamBehaviour host;
    host.service_time = service;
    host.serves = i % step == step / 2;
    const std::size_t zone = i * 6 / hosts;
    host.region = kRegions[zone / 2];
    host.zone = std::string(1, static_cast<char>('a' + zone));
    fleet.hosts.push_back(host);
  }
  return fleet;
}

/// \brief A stream of calls in share of the capacity of the whole fleet.
struct Demand {
  double share = 0;
  Milliseconds from{0};
  Milliseconds to = kArrivals;
  /// Part of the hosts at which it enters.
  double first = 0.0;
  double last = 1.0;
};

struct Outcome {
  double timely = 0;
  double answered = 0;
  double far = 0;
  Nanoseconds p99{0};
};

Outcome Replay(const Fleet& fleet,
               const std::vector<Demand>& demands,
               std::uint32_t by_completion) {
  LoadOptions options;
  options.calls.place_by_time = 1;
  options.calls.place_by_completion = by_completion;
  options.calls.order_by_objective = 1;
  options.calls.region_kilobyte_us = 5'000;
  options.calls.beyond_kilobyte_us = 18'000;
  options.calls.slow_start = Milliseconds(0);
  options.deadline = fleet.deadline;
  options.tells_loads = false;
  for (Route& it : options.config.routes) {
    it.latency_objective = fleet.objective;
    it.timeout = fleet.deadline;
  }
  LoadResult sum;
  for (const std::uint64_t seed : kSeeds) {
    LoadWorld world(fleet.hosts, fleet.slots, seed, options);
    const auto hosts = static_cast<double>(fleet.hosts.size());
    for (const Demand& it : demands) {
      world.AddStreamAt("status", it.share * fleet.Capacity(), it.from, it.to,
                        static_cast<std::size_t>(it.first * hosts),
                        static_cast<std::size_t>(it.last * hosts));
    }
    world.Run(kRunTime);
    const LoadResult& result = world.results().at("status");
    sum.calls += result.calls;
    sum.answered += result.answered;
    sum.timely += result.timely;
    sum.far_attempts += result.far_attempts;
    sum.latencies.insert(sum.latencies.end(), result.latencies.begin(),
                         result.latencies.end());
  }
  const auto calls = static_cast<double>(sum.calls);
  return {static_cast<double>(sum.timely) / calls,
          static_cast<double>(sum.answered) / calls,
          static_cast<double>(sum.far_attempts) / calls, sum.Percentile(990)};
}

/// \brief Replays a pattern with both strategies and prints the outcomes.
std::pair<Outcome, Outcome> Compare(const char* name,
                                    const Fleet& fleet,
                                    const std::vector<Demand>& demands) {
  const Outcome former = Replay(fleet, demands, 0);
  const Outcome now = Replay(fleet, demands, 1);
  for (const auto& [strategy, it] :
       {std::pair("by time", former), std::pair("by completion", now)}) {
    MESSAGE(std::string(name), ", ", std::string(strategy), ": timely ",
            it.timely, ", answered ", it.answered, ", left the region ", it.far,
            ", p99 ", std::chrono::floor<Milliseconds>(it.p99).count(), " ms");
  }
  return {former, now};
}

Fleet CatalogFleet() {
  return MakeFleet(60, 2, 6, Milliseconds(220), Milliseconds(500),
                   Milliseconds(4'000));
}

TEST_CASE("replay: all zones of all regions are full") {
  const auto [former, now] =
      Compare("all full", CatalogFleet(), {{.share = 1.3}});
  CHECK(now.far < former.far / 4);
  CHECK(now.timely > former.timely - 0.01);
  CHECK(now.answered > former.answered - 0.01);
}

TEST_CASE("replay: zones whose demand waves out of phase") {
  std::vector<Demand> demands{{.share = 0.5}};
  for (int zone = 0; zone < 6; ++zone) {
    const double first = zone / 6.0;
    const int phase = zone % 2;
    for (int wave = phase; wave < 6; wave += 2) {
      demands.push_back({0.15, Milliseconds(wave * 1'000),
                         Milliseconds(wave * 1'000 + 1'000), first,
                         first + 1 / 6.0});
    }
  }
  const auto [former, now] = Compare("waves", CatalogFleet(), demands);
  CHECK(now.far <= former.far);
  CHECK(now.timely > former.timely - 0.01);
}

TEST_CASE("replay: one region is flooded and the others have room") {
  const auto [former, now] =
      Compare("one region flooded", CatalogFleet(),
              {{.share = 0.3}, {.share = 0.5, .last = 1 / 3.0}});
  CHECK(now.timely > former.timely - 0.02);
  CHECK(now.answered > former.answered - 0.01);
}

TEST_CASE("replay: seven upstreams of 74 hosts") {
  const Fleet fleet = MakeFleet(74, 11, 13, Milliseconds(170),
                                Milliseconds(800), Milliseconds(4'000));
  CHECK(std::ranges::count_if(fleet.hosts, &UpstreamBehaviour::serves) == 7);
  const auto [former, now] = Compare("few upstreams", fleet, {{.share = 0.9}});
  CHECK(now.timely > former.timely - 0.01);
  const auto [full_former, full] =
      Compare("few upstreams, full", fleet, {{.share = 1.2}});
  CHECK(full.timely > full_former.timely - 0.01);
}

TEST_CASE("replay: hosts of lasting different speeds") {
  Fleet fleet = CatalogFleet();
  constexpr double kFactors[] = {0.5, 0.8, 1.0, 1.3, 1.7};
  for (std::size_t i = 0; i < fleet.hosts.size(); ++i) {
    fleet.hosts[i].service_time =
        Microseconds(static_cast<std::int64_t>(220'000 * kFactors[i / 2 % 5]));
  }
  const auto [former, now] = Compare("uneven speeds", fleet, {{.share = 0.9}});
  CHECK(now.timely > former.timely - 0.01);
}

}  // namespace
}  // namespace cassiabend
