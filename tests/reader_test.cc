#include <doctest/doctest.h>

#include "tests/support/fleet_driver.h"

namespace cassiabend::testing {
namespace {

/// Target: an accepted change is in force on every node within this time.
constexpr Seconds kConvergenceTarget{4};

void WarmUp(FleetDriver& driver) {
  driver.Commit();
  driver.StartAll();
  driver.RunFor(Seconds(20));
  driver.Commit();
  driver.RunFor(Seconds(5));
  REQUIRE(driver.IsConverged());
}

std::vector<std::size_t> ReadersOf(FleetDriver& driver,
                                   const std::string& zone) {
  std::vector<std::size_t> readers;
  for (std::size_t i = 0; i < driver.size(); ++i) {
    const FleetDriver::Node& node = driver.node(i);
    if (node.up && node.self.zone == zone && node.reducer->is_reader()) {
      readers.push_back(i);
    }
  }
  return readers;
}

bool HasTwoReadersPerZone(FleetDriver& driver) {
  for (const std::string& it : ThreeZones()) {
    if (ReadersOf(driver, it).size() != 2) {
      return false;
    }
  }
  return true;
}

TEST_CASE("two members of each zone hold a reader lease, and are replaced") {
  FleetDriver driver(18, ThreeZones(), {}, 12);
  WarmUp(driver);
  REQUIRE(HasTwoReadersPerZone(driver));
  SUBCASE("after a crash") {
    driver.Kill(ReadersOf(driver, ThreeZones().front()).front());
    CHECK(driver.RunUntil([&] { return HasTwoReadersPerZone(driver); },
                          Seconds(60)) < Seconds(25));
  }
  SUBCASE("after both crashed") {
    for (const std::size_t it : ReadersOf(driver, ThreeZones().front())) {
      driver.Kill(it);
    }
    CHECK(driver.RunUntil([&] { return HasTwoReadersPerZone(driver); },
                          Seconds(60)) < Seconds(50));
  }
  SUBCASE("after one left") {
    driver.Leave(ReadersOf(driver, ThreeZones().front()).front());
    CHECK(driver.RunUntil([&] { return HasTwoReadersPerZone(driver); },
                          Seconds(60)) < Seconds(10));
  }
  SUBCASE("after all leases expired without their holders knowing") {
    driver.store().EraseAllLeases();
    driver.RunFor(Seconds(4));
    CHECK(driver.RunUntil([&] { return HasTwoReadersPerZone(driver); },
                          Seconds(60)) < Seconds(20));
  }
  CHECK(driver.violations.empty());
}

TEST_CASE("a watch that silently stopped is detected by the reads") {
  FleetDriver driver(9, ThreeZones(), {}, 13);
  WarmUp(driver);
  driver.store_faults.watches_hang = true;
  driver.RunFor(Seconds(1));
  driver.Commit();
  CHECK(driver.RunUntil([&] { return driver.IsConverged(); }, Seconds(60)) <=
        kConvergenceTarget);
}

/// Options under which the members' own keys replace the reader leases.
FleetOptions MemberKeyOptions() {
  FleetOptions options;
  options.member_lease = Seconds(60);
  options.readers_per_zone = 1;
  options.confirm_period = Seconds(60);
  options.watch_pause = Milliseconds(250);
  options.beat_period = Milliseconds(300);
  return options;
}

TEST_CASE("a zone that lost its reader still receives changes in time") {
  // The platform's limit for a change to be in force on every node.
  constexpr Seconds kApplyBound{2};
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    FleetDriver driver(18, ThreeZones(), MemberKeyOptions(), seed);
    WarmUp(driver);
    // The first zone loses each of its members in turn, its reader included.
    for (std::size_t i = 15; i > 0; i -= 3) {
      driver.Kill(i);
      driver.Commit();
      CHECK(driver.RunUntil([&] { return driver.IsConverged(); },
                            Seconds(60)) <= kApplyBound);
      driver.RunFor(Seconds(1));
    }
    CHECK(driver.violations.empty());
  }
}

TEST_CASE("changes that a watch missed before it was cut are still applied") {
  FleetDriver driver(9, ThreeZones(), MemberKeyOptions(), 18);
  WarmUp(driver);
  driver.store_faults.watches_miss_changes = true;
  driver.Commit();
  driver.RunFor(Seconds(1));
  driver.store_faults.watches_fail = true;
  driver.RunFor(Milliseconds(100));
  driver.store_faults.watches_miss_changes = false;
  driver.store_faults.watches_fail = false;
  CHECK(driver.RunUntil([&] { return driver.IsConverged(); }, Seconds(60)) <=
        Seconds(1));
  CHECK(driver.violations.empty());
}

TEST_CASE("a zone cut off from the store receives changes through the others") {
  // Half of the platform's limit of 2 s: the time that a node may be without
  // a follower of the head before it reads the head itself.
  constexpr Seconds kApplyBound{1};
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    FleetOptions options = MemberKeyOptions();
    FleetDriver driver(18, ThreeZones(), options, seed);
    WarmUp(driver);
    // The watches of the zone go silent without being closed.
    driver.store_faults.zones_without_store.insert(ThreeZones().front());
    driver.RunFor(Milliseconds(100));
    driver.Commit();
    CHECK(driver.RunUntil([&] { return driver.IsConverged(); }, Seconds(60)) <=
          kApplyBound);
    CHECK(driver.violations.empty());
  }
}

// The platform's bounds: a change is in force on every node this long after it
// was made, and after the end of a fault this long nothing is expected.
constexpr Seconds kApplyLimit{2};
constexpr Seconds kSettleTime{3};

TEST_CASE("a change made as the store falls silent arrives once it answers") {
  const std::vector<std::vector<std::string>> deployments = {
      {"puget-a"}, {"puget-a", "inland-a"}, ThreeZones()};
  for (const std::vector<std::string>& zones : deployments) {
    for (const int silent_ms : {10, 300, 1'500, 2'500, 4'500, 8'000}) {
      for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        CAPTURE(zones.size());
        CAPTURE(silent_ms);
        CAPTURE(seed);
        FleetDriver driver(3 * zones.size(), zones, MemberKeyOptions(), seed);
        WarmUp(driver);
        driver.SilenceStore();
        driver.Commit();
        driver.RunFor(Milliseconds(silent_ms));
        driver.Heal();
        CHECK(driver.RunUntil([&] { return driver.IsConverged(); },
                              Seconds(60)) <= kSettleTime);
        CHECK(driver.violations.empty());
      }
    }
  }
}

TEST_CASE("a zone that the store does not answer receives changes in time") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    FleetDriver driver(18, ThreeZones(), MemberKeyOptions(), seed);
    WarmUp(driver);
    for (std::size_t i = 0; i < driver.size(); i += 3) {
      driver.store_faults.silent_for.insert(i);
    }
    for (int n = 0; n < 4; ++n) {
      driver.Commit();
      CHECK(driver.RunUntil([&] { return driver.IsConverged(); },
                            Seconds(60)) <= kApplyLimit);
      driver.RunFor(Seconds(2));
    }
    CHECK(driver.violations.empty());
  }
}

TEST_CASE("one reader verifies the head for all zones") {
  for (const std::size_t count : {6, 18, 60}) {
    CAPTURE(count);
    FleetDriver driver(count, ThreeZones(), MemberKeyOptions(), 31);
    WarmUp(driver);
    int reads = 0;
    driver.on_effect = [&reads](std::size_t, const FleetEffect& effect) {
      const auto* call = std::get_if<StoreCall>(&effect);
      reads +=
          call != nullptr && std::holds_alternative<StoreGet>(call->request)
              ? 1
              : 0;
    };
    driver.RunFor(Seconds(60));
    // One in 0.9 of the time within which a change is to be in force, counted
    // from the first.
    CHECK((reads - 1) * 9 * kApplyLimit / 10 <= Seconds(60));
  }
}

/// \returns The index of the node that reads the head for `zone`.
std::size_t ReaderOf(FleetDriver& driver, const std::string& zone) {
  const std::vector<std::size_t> readers = ReadersOf(driver, zone);
  REQUIRE_FALSE(readers.empty());
  return readers.front();
}

TEST_CASE("members do without a reader that is cut off from all but them") {
  const std::string zone = ThreeZones().front();
  for (const int change_ms : {10, 300, 1'000, 3'000}) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      CAPTURE(change_ms);
      CAPTURE(seed);
      FleetDriver driver(18, ThreeZones(), MemberKeyOptions(), seed);
      WarmUp(driver);
      const std::size_t reader = ReaderOf(driver, zone);
      driver.store_faults.silent_for.insert(reader);
      driver.nodes_without_other_zones.insert(reader);
      driver.RunFor(Milliseconds(change_ms));
      driver.Commit();
      CHECK(driver.RunUntil([&] { return driver.IsConverged(); },
                            Seconds(60)) <= kApplyLimit);
      CHECK(driver.violations.empty());
    }
  }
}

TEST_CASE("a reader with a silent connection gets changes from the others") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    FleetDriver driver(18, ThreeZones(), MemberKeyOptions(), seed);
    WarmUp(driver);
    driver.store_faults.silent_for.insert(
        ReaderOf(driver, ThreeZones().front()));
    driver.RunFor(Milliseconds(50));
    driver.Commit();
    CHECK(driver.RunUntil([&] { return driver.IsConverged(); }, Seconds(60)) <=
          kApplyLimit);
    CHECK(driver.violations.empty());
  }
}

TEST_CASE("a node restarted while the store is down is found by its peers") {
  for (const bool announced : {true, false}) {
    CAPTURE(announced);
    FleetOptions options = MemberKeyOptions();
    options.join_confirmation_age = Seconds(600);
    FleetDriver driver(9, ThreeZones(), options, 21);
    driver.seeds_from_settings = false;
    WarmUp(driver);
    driver.store_faults.down = true;
    if (announced) {
      driver.Leave(0);
      driver.RunFor(Seconds(1));
    }
    driver.Kill(0);
    // Long enough for the members to declare the node dead.
    driver.RunFor(Seconds(12));
    driver.Start(0);
    CHECK(driver.RunUntil([&] { return driver.node(0).ready; }, Seconds(60)) <=
          Seconds(2));
    CHECK(driver.violations.empty());
  }
}

TEST_CASE("a store restored to an older head neither reverts nor confirms") {
  FleetDriver driver(9, ThreeZones(), {}, 14);
  WarmUp(driver);
  const VersionNumber newest = driver.head_number();
  driver.RestoreOldestHead();
  const MonoTime restored_at = driver.now();
  driver.RunFor(Seconds(30));
  for (std::size_t i = 0; i < driver.size(); ++i) {
    const FleetDriver::Node& node = driver.node(i);
    CHECK(node.applied == newest);
    CHECK(node.ready);
    if (node.reducer->is_reader()) {
      CHECK(NameOf(node.reducer->counts().head_state) == "older");
    }
    // A watch or read in flight may still have seen the newer head.
    CHECK(*node.reducer->confirmed_at() - node.clock_offset <=
          restored_at + Milliseconds(10));
  }
  driver.Commit();
  CHECK(driver.RunUntil([&] { return driver.IsConverged(); }, Seconds(60)) <=
        kConvergenceTarget);
  driver.RunFor(Seconds(8));
  CHECK(*driver.node(0).reducer->confirmed_at() - driver.node(0).clock_offset >
        restored_at + Seconds(30));
  CHECK(driver.violations.empty());
}

TEST_CASE("a fork with the number in force is not applied, its successor is") {
  FleetDriver driver(6, ThreeZones(), {}, 15);
  WarmUp(driver);
  const VersionMark own = driver.node(0).reducer->newest()->mark();
  Head fork = DecodeHead(driver.store().Find(kHeadKey)->value);
  fork.mark.hash.low ^= 1;
  driver.store().Put(kHeadKey, EncodeHead(fork));
  driver.RunFor(Seconds(20));
  for (std::size_t i = 0; i < driver.size(); ++i) {
    const FleetReducer& reducer = *driver.node(i).reducer;
    CHECK(reducer.newest()->mark() == own);
    if (reducer.is_reader()) {
      CHECK(reducer.counts().head_state == HeadState::kFork);
    }
  }
  driver.Commit();
  CHECK(driver.RunUntil([&] { return driver.IsConverged(); }, Seconds(60)) <=
        kConvergenceTarget);
  CHECK(driver.violations.empty());
}

TEST_CASE("values that are missing or damaged are not applied") {
  FleetDriver driver(6, ThreeZones(), {}, 16);
  WarmUp(driver);
  const VersionNumber before = driver.head_number();
  driver.store_faults.down = true;
  driver.Commit();
  const std::string number = std::to_string(driver.head_number());
  const std::string keys[] = {kDeltaPrefix + number,
                              kValuePrefix + number + "/0"};
  std::string saved[2];
  for (int i = 0; i < 2; ++i) {
    saved[i] = driver.store().Find(keys[i])->value;
    driver.store().Put(keys[i], saved[i].substr(0, saved[i].size() / 2));
  }
  driver.store_faults.down = false;
  driver.RunFor(Seconds(10));
  for (std::size_t i = 0; i < driver.size(); ++i) {
    CHECK(driver.node(i).applied == before);
  }
  for (int i = 0; i < 2; ++i) {
    driver.store().Put(keys[i], saved[i]);
  }
  CHECK(driver.RunUntil([&] { return driver.IsConverged(); }, Seconds(60)) <
        Seconds(10));
  CHECK(driver.violations.empty());
}

double CallRate(FleetDriver& driver, Seconds time) {
  const std::uint64_t before = driver.traffic().store_calls;
  driver.RunFor(time);
  return static_cast<double>(driver.traffic().store_calls - before) /
         static_cast<double>(time.count());
}

TEST_CASE("the rate of store calls depends on the zones, not on the nodes") {
  // Per zone: two readers, or in an outage the candidates that retry.
  constexpr double kCallsPerZone = 2.5;
  constexpr double kOutageCallsPerZone = 4.0;
  for (const std::size_t count : {12, 60}) {
    CAPTURE(count);
    FleetDriver driver(count, ThreeZones(), {}, 17);
    WarmUp(driver);
    CHECK(CallRate(driver, Seconds(60)) < kCallsPerZone * 3);
    driver.store_faults.down = true;
    CHECK(CallRate(driver, Seconds(120)) < kOutageCallsPerZone * 3);
    driver.store_faults.down = false;
    driver.store_faults.replies_lost = true;
    CHECK(CallRate(driver, Seconds(120)) < kOutageCallsPerZone * 3);
    driver.Heal();
    driver.Commit();
    CHECK(driver.RunUntil([&] { return driver.IsConverged(); }, Seconds(60)) <=
          kConvergenceTarget);
  }
}

TEST_CASE("every node's confirmation stays within the freshness limit") {
  FleetDriver driver(24, ThreeZones(), {}, 18);
  WarmUp(driver);
  Nanoseconds oldest{0};
  for (int n = 0; n < 300; ++n) {
    driver.RunFor(Milliseconds(200));
    for (std::size_t i = 0; i < driver.size(); ++i) {
      const FleetDriver::Node& node = driver.node(i);
      oldest = std::max(oldest, driver.now() + node.clock_offset -
                                    *node.reducer->confirmed_at());
    }
  }
  CHECK(oldest < CallOptions{}.freshness_limit);
}

}  // namespace
}  // namespace cassiabend::testing
