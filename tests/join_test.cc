#include <doctest/doctest.h>

#include "cassiabend/core/seed_directory.h"
#include "tests/support/fleet_driver.h"

namespace cassiabend::testing {
namespace {

std::size_t ReadyCount(FleetDriver& driver) {
  std::size_t n = 0;
  for (std::size_t i = 0; i < driver.size(); ++i) {
    n += driver.node(i).up && driver.node(i).ready ? 1 : 0;
  }
  return n;
}

TEST_CASE("seed addresses survive formatting and parsing") {
  const std::vector<NodeId> seeds{{"10.0.0.1", 7000}, {"10.0.0.2", 7001}};
  CHECK(ParseSeeds(FormatSeeds(seeds)) == seeds);
  CHECK(ParseSeeds("no address\n10.0.0.1:7000\n:1\n10.0.0.2:7001") == seeds);
  CHECK(ParseSeeds("").empty());
}

TEST_CASE("a node without peers reports why it is not ready") {
  struct Row {
    bool store_down;
    bool committed;
    std::string reason;
  };
  const Row rows[] = {
      {false, false, "the store holds no configuration"},
      {true, false, "the store is unreachable and no peer answers"},
      {true, true, "the store is unreachable and no peer answers"},
      {false, true, ""},
  };
  for (const Row& it : rows) {
    FleetDriver driver(1, {"puget-a"}, {}, 21);
    driver.store_faults.down = it.store_down;
    if (it.committed) {
      driver.Commit();
    }
    driver.Start(0);
    driver.RunFor(Seconds(20));
    CHECK(driver.node(0).reason == it.reason);
    CHECK(driver.node(0).ready == it.reason.empty());
  }
}

TEST_CASE("nodes without seeds in their settings find peers by the store") {
  FleetDriver driver(9, ThreeZones(), {}, 22);
  driver.seeds_from_settings = false;
  driver.Commit();
  driver.StartAll();
  const auto all_know_each_other = [&] {
    for (std::size_t i = 0; i < driver.size(); ++i) {
      const FleetDriver::Node& node = driver.node(i);
      if (!node.ready ||
          node.reducer->Members({driver.now() + node.clock_offset, {}})
                  .size() != driver.size()) {
        return false;
      }
    }
    return true;
  };
  CHECK(driver.RunUntil(all_know_each_other, Seconds(200)) < Seconds(90));
  CHECK(driver.violations.empty());
}

TEST_CASE("with the store down, peers of its zone make a started node ready") {
  FleetDriver driver(9, ThreeZones(), {}, 23);
  driver.Commit();
  driver.StartAll();
  driver.RunFor(Seconds(15));
  driver.store_faults.down = true;
  driver.RunFor(Seconds(60));
  driver.Kill(4);
  driver.Start(4);
  const Nanoseconds took =
      driver.RunUntil([&] { return driver.node(4).ready; }, Seconds(60));
  // The old confirmations of its peers do not count, only their versions do.
  // These count from two seconds after the start.
  CHECK(took >= Seconds(2));
  CHECK(took < Seconds(6));
  CHECK(driver.node(4).applied == driver.head_number());
}

TEST_CASE("a fleet started with the store down is ready once it is back") {
  FleetDriver driver(12, ThreeZones(), {}, 24);
  driver.Commit();
  driver.store_faults.down = true;
  driver.StartAll();
  driver.RunFor(Seconds(60));
  CHECK(ReadyCount(driver) == 0);
  CHECK(driver.node(0).reason ==
        "the store is unreachable and no peer has a configuration");
  driver.store_faults.down = false;
  CHECK(driver.RunUntil([&] { return ReadyCount(driver) == driver.size(); },
                        Seconds(60)) < Seconds(8));
  CHECK(driver.violations.empty());
}

TEST_CASE("a fleet that restarts as a whole is ready within seconds") {
  FleetDriver driver(60, ThreeZones(), {}, 25);
  driver.Commit();
  driver.StartAll();
  driver.RunFor(Seconds(30));
  for (std::size_t i = 0; i < driver.size(); ++i) {
    driver.Kill(i);
  }
  driver.RunFor(Seconds(3));
  driver.Commit();
  const std::uint64_t before = driver.traffic().store_calls;
  driver.StartAll();
  CHECK(driver.RunUntil([&] { return ReadyCount(driver) == driver.size(); },
                        Seconds(60)) < Seconds(15));
  CHECK(driver.IsConverged());
  // Bounds: one read per join, and the calls of the readers of three zones.
  CHECK(driver.traffic().store_calls - before < driver.size() + 150);
  CHECK(driver.violations.empty());
}

TEST_CASE("a member that has left gets no new version and stays not ready") {
  FleetDriver driver(9, ThreeZones(), {}, 26);
  driver.Commit();
  driver.StartAll();
  driver.RunFor(Seconds(15));
  driver.Leave(3);
  driver.Commit(0);
  driver.RunFor(Seconds(20));
  CHECK(driver.IsConverged());
  CHECK(driver.node(3).applied == driver.head_number() - 1);
  CHECK(driver.node(3).reason == "the node is leaving");
}

}  // namespace
}  // namespace cassiabend::testing
