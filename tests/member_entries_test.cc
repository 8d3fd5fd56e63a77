// Entries that another writer has left among the members' own keys.

#include <doctest/doctest.h>

#include <set>
#include <string>

#include "tests/support/fleet_driver.h"

namespace cassiabend::testing {
namespace {

TEST_CASE("entries of other writers among the members are ignored") {
  FleetOptions options;
  options.member_lease = Seconds(60);
  options.readers_per_zone = 1;
  FleetDriver driver(9, ThreeZones(), options, 23);
  driver.seeds_from_settings = false;
  const std::string prefix = kMemberPrefix;
  const std::string odd[] = {"10.0.0.200:99999",
                             "10.0.0.201:0",
                             "10.0.0.202:18446744073709551617",
                             "somewhere:7000",
                             std::string(40'000, '['),
                             std::string(9'000, 'x') + ":7000",
                             "",
                             std::string("\0:7000", 6)};
  for (std::size_t i = 0; i < std::size(odd); ++i) {
    driver.store().Put(prefix + "odd-" + std::to_string(i), odd[i]);
  }
  std::set<NodeId> contacted;
  driver.on_effect = [&](std::size_t, const FleetEffect& effect) {
    if (const auto* sent = std::get_if<SendDatagram>(&effect)) {
      contacted.insert(sent->to);
    }
  };
  driver.Commit();
  driver.StartAll();
  driver.RunFor(Seconds(20));
  CHECK(driver.IsConverged());
  for (const NodeId& it : contacted) {
    CAPTURE(ToString(it));
    CHECK(driver.store().Find(prefix + ToString(it)) != nullptr);
  }
  CHECK(driver.violations.empty());
}

}  // namespace
}  // namespace cassiabend::testing
