#include <doctest/doctest.h>

#include "tests/support/fleet_driver.h"

namespace cassiabend::testing {
namespace {

std::string JoinLines(const std::vector<std::string>& lines) {
  std::string all;
  for (const std::string& it : lines) {
    all += it + "\n";
  }
  return all;
}

bool AllReady(FleetDriver& driver) {
  for (std::size_t i = 0; i < driver.size(); ++i) {
    if (driver.node(i).up && !driver.node(i).ready) {
      return false;
    }
  }
  return true;
}

TEST_CASE("nodes find each other and apply the version in the store") {
  FleetDriver driver(6, ThreeZones(), {}, 1);
  driver.Commit();
  driver.StartAll();
  const Nanoseconds took =
      driver.RunUntil([&] { return AllReady(driver); }, Seconds(20));
  MESSAGE("ready after ms: ", took.count() / 1'000'000);
  CHECK(took < Seconds(20));
  CHECK(driver.IsConverged());
  CHECK_MESSAGE(driver.violations.empty(), JoinLines(driver.violations));
  for (std::size_t i = 0; i < driver.size(); ++i) {
    INFO("node ", i, ": ", driver.node(i).reason);
    CHECK(driver.node(i).ready);
    CHECK(driver.node(i)
              .reducer->Members({driver.now() + driver.node(i).clock_offset})
              .size() == 6);
  }
}

TEST_CASE("a committed change is in force everywhere within four seconds") {
  FleetDriver driver(12, ThreeZones(), {}, 2);
  driver.Commit();
  driver.StartAll();
  driver.RunFor(Seconds(30));
  REQUIRE(driver.IsConverged());
  for (const int committer : {-1, 4}) {
    driver.Commit(committer);
    const Nanoseconds took =
        driver.RunUntil([&] { return driver.IsConverged(); }, Seconds(20));
    MESSAGE("committer ", committer, " ms: ", took.count() / 1'000'000);
    CHECK(took < Seconds(4));
    driver.RunFor(Seconds(5));
  }
  CHECK_MESSAGE(driver.violations.empty(), JoinLines(driver.violations));
}

}  // namespace
}  // namespace cassiabend::testing
