#include <doctest/doctest.h>

#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "tests/support/fleet_driver.h"

/// Measures simulated fleets in virtual time and prints one JSON object per
/// line. By default small fleets are checked against the targets. With
/// CASSIABEND_MEASURE=1 more and larger fleets are measured as well, and with
/// CASSIABEND_MEASURE=target 2,000 nodes in 8 zones, which takes some minutes.
namespace cassiabend::testing {
namespace {

constexpr double kMillisecond = 1e6;
/// Longest time, in seconds, for gossip about many starts to reach all nodes.
constexpr std::int64_t kMaxSettlingSeconds = 200;

std::string MeasureMode() {
  const char* value = std::getenv("CASSIABEND_MEASURE");
  return value == nullptr ? "" : value;
}
bool ShouldMeasureAllSizes() {
  return MeasureMode() == "1";
}

std::vector<std::string> ZoneNames(std::size_t count) {
  std::vector<std::string> zones;
  for (std::size_t i = 0; i < count; ++i) {
    zones.push_back("zone-" + std::to_string(i));
  }
  return zones;
}

/// \brief How versions are disseminated.
struct Shape {
  const char* name = "";
  /// Children of one node; more than the zone has members for direct pushes.
  std::uint32_t fan_out = 16;
  /// Whether only membership datagrams announce versions, which are then
  /// pulled.
  bool gossip_alone = false;
};

void StartAndConverge(FleetDriver& driver) {
  driver.Commit();
  driver.StartAll();
  driver.RunFor(Seconds(30));
  driver.Commit();
  driver.RunFor(Seconds(10));
  REQUIRE(driver.IsConverged());
}

/// \returns The age of the oldest confirmation of the head on any node that is
/// up.
Nanoseconds OldestConfirmation(FleetDriver& driver) {
  Nanoseconds oldest{0};
  for (std::size_t i = 0; i < driver.size(); ++i) {
    FleetDriver::Node& node = driver.node(i);
    const auto at = node.reducer->confirmed_at();
    const Nanoseconds age =
        at ? driver.now() + node.clock_offset - *at : Nanoseconds::max();
    oldest = node.up ? std::max(oldest, age) : oldest;
  }
  return oldest;
}

struct SteadyState {
  double mean_bytes_per_second = 0;
  double max_bytes_per_second = 0;
  double zone_crossing_bytes_per_second = 0;
  double store_calls_per_second = 0;
  double oldest_confirmation_age_ms = 0;
};

SteadyState MeasureSteadyState(FleetDriver& driver, Seconds time) {
  const FleetTraffic before = driver.traffic();
  std::vector<std::uint64_t> sent;
  for (std::size_t i = 0; i < driver.size(); ++i) {
    sent.push_back(driver.node(i).bytes_sent);
  }
  SteadyState out;
  for (std::int64_t i = 0; i < time.count() * 5; ++i) {
    driver.RunFor(Milliseconds(200));
    out.oldest_confirmation_age_ms = std::max(
        out.oldest_confirmation_age_ms,
        static_cast<double>(OldestConfirmation(driver).count()) / kMillisecond);
  }
  const auto seconds = static_cast<double>(time.count());
  for (std::size_t i = 0; i < driver.size(); ++i) {
    const double rate =
        static_cast<double>(driver.node(i).bytes_sent - sent[i]) / seconds;
    out.mean_bytes_per_second += rate / static_cast<double>(driver.size());
    out.max_bytes_per_second = std::max(out.max_bytes_per_second, rate);
  }
  out.zone_crossing_bytes_per_second =
      static_cast<double>(driver.traffic().zone_crossing_bytes -
                          before.zone_crossing_bytes) /
      seconds;
  out.store_calls_per_second =
      static_cast<double>(driver.traffic().store_calls - before.store_calls) /
      seconds;
  return out;
}

void MeasureShape(const Shape& shape, std::size_t count, std::size_t zones) {
  FleetOptions options;
  options.fan_out = shape.fan_out;
  FleetDriver driver(count, ZoneNames(zones), options, 5);
  driver.drop_pushes = shape.gossip_alone;
  driver.drop_heartbeats = shape.gossip_alone;
  StartAndConverge(driver);
  // Waits until gossip about so many starts has reached all nodes.
  driver.RunFor(Seconds(std::min<std::int64_t>(
      static_cast<std::int64_t>(count) / 2, kMaxSettlingSeconds)));
  const SteadyState steady = MeasureSteadyState(driver, Seconds(30));
  const FleetTraffic before = driver.traffic();
  double worst_ms = 0;
  double sum_ms = 0;
  constexpr int kRounds = 5;
  for (int n = 0; n < kRounds; ++n) {
    driver.Commit(n % 2 == 0 ? n : -1);
    const Nanoseconds took =
        driver.RunUntil([&] { return driver.IsConverged(); }, Seconds(60));
    const double ms = static_cast<double>(took.count()) / kMillisecond;
    worst_ms = std::max(worst_ms, ms);
    sum_ms += ms;
    driver.RunFor(Seconds(3));
  }
  const FleetTraffic& after = driver.traffic();
  std::printf(
      "{\"shape\":\"%s\",\"nodes\":%zu,\"zones\":%zu,\"mean_ms\":%.0f,"
      "\"worst_ms\":%.0f,\"config_messages_per_change\":%.1f,"
      "\"config_bytes_per_change\":%.0f,\"steady_bytes_per_node_s\":%.0f,"
      "\"steady_bytes_max_node_s\":%.0f,\"zone_crossing_bytes_s\":%.0f,"
      "\"store_calls_s\":%.1f,\"oldest_confirmation_ms\":%.0f}\n",
      shape.name, count, zones, sum_ms / kRounds, worst_ms,
      static_cast<double>(after.config_messages - before.config_messages) /
          kRounds,
      static_cast<double>(after.config_bytes - before.config_bytes) / kRounds,
      steady.mean_bytes_per_second, steady.max_bytes_per_second,
      steady.zone_crossing_bytes_per_second, steady.store_calls_per_second,
      steady.oldest_confirmation_age_ms);
  CHECK(driver.violations.empty());
  if (!shape.gossip_alone) {
    CHECK(worst_ms < 4'000);
    // Default of `CallOptions::freshness_limit`, beyond which noisy work stops.
    CHECK(steady.oldest_confirmation_age_ms < 10'000);
  }
  // Only the shape in use has a target; the others are for comparison.
  if (!shape.gossip_alone && shape.fan_out == FleetOptions{}.fan_out) {
    CHECK(steady.max_bytes_per_second < 5'000);
  }
}

TEST_CASE(
    "tree and direct push deliver versions in time, gossip for comparison") {
  if (MeasureMode() == "target") {
    MeasureShape({"tree"}, 2'000, 8);
    return;
  }
  const std::vector<Shape> shapes{
      {"tree", 16}, {"direct", 1'000}, {"gossip", 16, true}};
  std::vector<std::size_t> counts{12};
  if (ShouldMeasureAllSizes()) {
    counts = {6, 12, 24, 48, 96};
  }
  for (const std::size_t count : counts) {
    for (const Shape& it : shapes) {
      MeasureShape(it, count, 3);
    }
  }
  if (ShouldMeasureAllSizes()) {
    // Two zones of the target size.
    for (const std::uint32_t fan_out : {4U, 16U, 300U}) {
      MeasureShape({"tree", fan_out}, 500, 2);
    }
  }
}

void MeasureReaderLoss(std::uint32_t readers) {
  FleetOptions options;
  options.readers_per_zone = readers;
  FleetDriver driver(12, ZoneNames(2), options, 9);
  StartAndConverge(driver);
  for (std::size_t i = 0; i < driver.size(); ++i) {
    if (driver.node(i).reducer->is_reader() &&
        driver.node(i).self.zone == "zone-0") {
      driver.Kill(i);
      break;
    }
  }
  driver.Commit();
  const Nanoseconds took =
      driver.RunUntil([&] { return driver.IsConverged(); }, Seconds(60));
  const SteadyState after = MeasureSteadyState(driver, Seconds(20));
  std::printf(
      "{\"readers_per_zone\":%u,\"after_death_ms\":%.0f,"
      "\"oldest_confirmation_ms\":%.0f,\"store_calls_s\":%.1f}\n",
      readers, static_cast<double>(took.count()) / kMillisecond,
      after.oldest_confirmation_age_ms, after.store_calls_per_second);
  if (readers == 2) {
    CHECK(took < Seconds(4));
    CHECK(after.oldest_confirmation_age_ms < 10'000);
  }
}

TEST_CASE(
    "versions arrive in time when one of the two readers of a zone dies") {
  MeasureReaderLoss(1);
  MeasureReaderLoss(2);
}

void MeasureRestart(std::size_t count, std::size_t zones, bool store_down) {
  FleetDriver driver(count, ZoneNames(zones), {}, 3);
  StartAndConverge(driver);
  driver.store_faults.down = store_down;
  const std::uint64_t calls = driver.traffic().store_calls;
  // All nodes of one zone restart.
  std::size_t restarted = 0;
  for (std::size_t i = 0; i < count; i += zones) {
    driver.Kill(i);
  }
  driver.RunFor(Seconds(2));
  for (std::size_t i = 0; i < count; i += zones) {
    driver.Start(i);
    ++restarted;
  }
  const auto all_ready = [&] {
    for (std::size_t i = 0; i < count; ++i) {
      if (!driver.node(i).ready) {
        return false;
      }
    }
    return true;
  };
  const Nanoseconds took = driver.RunUntil(all_ready, Seconds(60));
  const std::uint64_t joined = driver.traffic().store_calls - calls;
  driver.RunFor(Seconds(60) - took);
  const auto total = static_cast<double>(driver.traffic().store_calls - calls);
  std::printf(
      "{\"restarted\":%zu,\"of\":%zu,\"store_down\":%s,\"ready_ms\":%.0f,"
      "\"store_calls_until_ready\":%llu,\"store_calls_s\":%.1f}\n",
      restarted, count, store_down ? "true" : "false",
      static_cast<double>(took.count()) / kMillisecond,
      static_cast<unsigned long long>(joined), total / 62);
  CHECK(all_ready());
  CHECK(driver.violations.empty());
  // Bounds: the readers and candidates of each zone, and one read per join.
  CHECK(total / 62 <
        4.0 * static_cast<double>(zones) + static_cast<double>(restarted) / 62);
}

TEST_CASE("a zone that restarts becomes ready with few store calls") {
  for (const bool store_down : {false, true}) {
    MeasureRestart(24, 3, store_down);
    if (ShouldMeasureAllSizes()) {
      MeasureRestart(96, 3, store_down);
      MeasureRestart(500, 2, store_down);
    }
  }
}

}  // namespace
}  // namespace cassiabend::testing
