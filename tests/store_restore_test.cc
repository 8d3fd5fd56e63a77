// A store that comes back from a copy some seconds old: what was written since
// is gone, and revisions and leases are given out again.

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "tests/support/fleet_driver.h"

namespace cassiabend::testing {
namespace {

FleetOptions MemberKeyOptions() {
  FleetOptions options;
  options.member_lease = Seconds(150);
  options.readers_per_zone = 1;
  options.follow_limit = Milliseconds(1'500);
  options.watch_wait = Milliseconds(30'000);
  options.watch_pause = Milliseconds(400);
  options.beat_period = Milliseconds(300);
  options.join_confirmation_age = Seconds(600);
  return options;
}

/// \brief A fleet in service whose store states eras.
struct Fleet {
  explicit Fleet(std::uint64_t seed)
      : driver(12, ThreeZones(), MemberKeyOptions(), seed) {
    driver.seeds_from_settings = false;
    driver.store().StateEras();
    driver.Commit();
    driver.StartAll();
    driver.RunFor(Seconds(10));
    REQUIRE(driver.IsConverged());
  }

  [[nodiscard]] std::size_t member_keys() {
    std::size_t n = 0;
    for (std::size_t i = 0; i < driver.size(); ++i) {
      const std::string key = kMemberPrefix + ToString(driver.node(i).self.id);
      n += driver.store().Find(key) != nullptr ? 1 : 0;
    }
    return n;
  }

  FleetDriver driver;
};

TEST_CASE("what the operator writes again at the same revision is in force") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    Fleet fleet(seed);
    FleetDriver& driver = fleet.driver;
    const FleetFakeStore copy = driver.store();
    driver.Commit();
    driver.RunFor(Seconds(3));
    REQUIRE(driver.IsConverged());
    const VersionNumber newest = driver.head_number();
    const StoreRevision revision = driver.store().revision();
    const std::string lost = driver.store().Find(kHeadKey)->value;
    std::vector<std::pair<std::string, std::string>> values;
    for (const std::string& key : DecodeHead(lost).value_keys) {
      values.emplace_back(key, driver.store().Find(key)->value);
    }
    driver.store().Restore(copy);
    driver.RunFor(Milliseconds(500));
    for (std::size_t i = 0; i < driver.size(); ++i) {
      CHECK(driver.node(i).applied == newest);
      CHECK(driver.node(i).ready);
    }
    // The operator writes the lost version again, and then the next one, until
    // the revision is as before.
    for (const auto& [key, value] : values) {
      driver.store().Put(key, value);
    }
    driver.store().Put(kHeadKey, lost);
    while (driver.store().revision() < revision) {
      driver.store().Put("other", "");
    }
    driver.Commit();
    CHECK(driver.RunUntil([&] { return driver.IsConverged(); }, Seconds(60)) <=
          Seconds(4));
    CHECK(driver.violations.empty());
  }
}

TEST_CASE("a change hidden behind a revision given out again is seen") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    Fleet fleet(seed);
    FleetDriver& driver = fleet.driver;
    const FleetFakeStore copy = driver.store();
    // Revisions that the copy lacks, with nothing of interest.
    for (int i = 0; i < 20; ++i) {
      driver.store().Put("other", "");
    }
    driver.RunFor(Seconds(4));
    const StoreRevision known = driver.store().revision();
    driver.store().Restore(copy);
    // The change has a revision that every reader takes for known.
    driver.Commit();
    REQUIRE(driver.store().revision() < known);
    CHECK(driver.RunUntil([&] { return driver.IsConverged(); }, Seconds(60)) <=
          Seconds(4));
    CHECK(driver.violations.empty());
  }
}

TEST_CASE(
    "lost keys of members are written again within seconds, not at once") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    Fleet fleet(seed);
    FleetDriver& driver = fleet.driver;
    REQUIRE(fleet.member_keys() == driver.size());
    FleetFakeStore copy;
    copy.Put(kHeadKey, driver.store().Find(kHeadKey)->value);
    std::size_t writes = 0;
    std::size_t most = 0;
    MonoTime window{};
    driver.on_effect = [&](std::size_t, const FleetEffect& effect) {
      const auto* call = std::get_if<StoreCall>(&effect);
      if (call == nullptr || !std::holds_alternative<StorePut>(call->request)) {
        return;
      }
      if (driver.now() - window > Milliseconds(100)) {
        window = driver.now();
        writes = 0;
      }
      most = std::max(most, ++writes);
    };
    driver.store().Restore(copy);
    CHECK(driver.RunUntil([&] { return fleet.member_keys() == driver.size(); },
                          Seconds(60)) <= Seconds(6));
    CHECK(most <= driver.size() / 2);
    CHECK(driver.violations.empty());
  }
}

TEST_CASE("a lease that the store gave out again is not renewed") {
  Fleet fleet(3);
  FleetDriver& driver = fleet.driver;
  FleetFakeStore copy;
  copy.Put(kHeadKey, driver.store().Find(kHeadKey)->value);
  driver.store().Restore(copy);
  // Another writer gets the ids that the nodes held.
  const MonoTime restored_at = driver.now();
  for (std::size_t i = 0; i < driver.size(); ++i) {
    (void)driver.store().Execute(StoreLeaseGrant{Seconds(600)}, driver.now());
  }
  std::size_t stale = 0;
  driver.on_effect = [&](std::size_t, const FleetEffect& effect) {
    const auto* call = std::get_if<StoreCall>(&effect);
    const auto* keep = call == nullptr
                           ? nullptr
                           : std::get_if<StoreLeaseKeepAlive>(&call->request);
    const bool is_known = driver.now() > restored_at + Seconds(5);
    stale += keep != nullptr && is_known &&
                     keep->lease <= static_cast<LeaseId>(driver.size())
                 ? 1
                 : 0;
  };
  driver.RunFor(Seconds(120));
  CHECK(stale == 0);
  CHECK(fleet.member_keys() == driver.size());
  CHECK(driver.violations.empty());
}

}  // namespace
}  // namespace cassiabend::testing
