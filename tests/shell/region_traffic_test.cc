#include <doctest/doctest.h>

#include "cassiabend/node/region_traffic.h"

namespace cassiabend {
namespace {

TEST_CASE("only versions exchanged with other regions are counted") {
  const NodeId same_region{"10.0.0.1", 1};
  const NodeId other_region{"10.0.0.2", 1};
  RegionTraffic traffic("puget");
  traffic.Record(
      FleetEffect(MembersChanged{{{.id = same_region, .region = "puget"},
                                  {.id = other_region, .region = "inland"}}}));
  ConfigDelta delta;
  delta.edits.push_back({Service{.name = "orders"}, {}});
  const ConfigUpdate update{.body = ShareDelta(delta)};
  const std::uint64_t size = ShareDelta(delta)->packed().size();

  traffic.Record(FleetEffect(SendPush{same_region, update}));
  traffic.Record(FleetEvent(PullReplied{same_region, update}));
  CHECK(traffic.bytes() == 0);
  traffic.Record(FleetEffect(SendPush{other_region, update}));
  CHECK(traffic.bytes() == size);
  traffic.Record(FleetEvent(PullReplied{other_region, update}));
  traffic.Record(FleetEvent(PullReplied{other_region, std::nullopt}));
  CHECK(traffic.bytes() == 2 * size);
  const RefPtr<const Snapshot> full(new Snapshot(Config{.number = 1}));
  traffic.Record(FleetEffect(SendPush{other_region, {.body = full}}));
  CHECK(traffic.bytes() == 2 * size + full->packed().size());
}

}  // namespace
}  // namespace cassiabend
