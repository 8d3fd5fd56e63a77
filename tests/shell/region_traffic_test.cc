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

TEST_CASE("bytes beyond the zone are split by purpose and distance") {
  const NodeId same_zone{"10.0.0.1", 1};
  const NodeId other_zone{"10.0.0.2", 1};
  const NodeId other_region{"10.0.0.3", 1};
  TrafficSplit split("puget", "a");
  RegionTraffic traffic("puget", &split);
  traffic.Record(FleetEffect(
      MembersChanged{{{.id = same_zone, .region = "puget", .zone = "a"},
                      {.id = other_zone, .region = "puget", .zone = "b"},
                      {.id = other_region, .region = "inland", .zone = "a"}}}));
  const auto at = [&split](TrafficPurpose purpose, TrafficDistance to) {
    return split.counts()
        .at(static_cast<std::size_t>(purpose))
        .at(static_cast<std::size_t>(to));
  };

  for (const NodeId& it : {same_zone, other_zone, other_region}) {
    split.RecordSent(TrafficPurpose::kAttempts, it.ip, 100);
    split.RecordReceived(TrafficPurpose::kAnswers, it.ip, 3'000);
  }
  split.RecordSent(TrafficPurpose::kLoads, "10.0.0.9", 50);
  const TrafficSplit::Bytes attempt{.sent = 100};
  const TrafficSplit::Bytes answer{.received = 3'000};
  for (const auto to : {TrafficDistance::kZone, TrafficDistance::kRegion}) {
    CHECK(at(TrafficPurpose::kAttempts, to) == attempt);
    CHECK(at(TrafficPurpose::kAnswers, to) == answer);
    CHECK(at(TrafficPurpose::kLoads, to) == TrafficSplit::Bytes{});
  }

  const RefPtr<const Snapshot> full(new Snapshot(Config{.number = 1}));
  traffic.Record(FleetEffect(SendPush{other_zone, {.body = full}}));
  traffic.Record(
      FleetEvent(PullReplied{other_region, ConfigUpdate{.body = full}}));
  const std::uint64_t size = full->packed().size();
  CHECK(at(TrafficPurpose::kVersions, TrafficDistance::kZone) ==
        TrafficSplit::Bytes{.sent = size});
  CHECK(at(TrafficPurpose::kVersions, TrafficDistance::kRegion) ==
        TrafficSplit::Bytes{.received = size});
  CHECK(traffic.bytes() == size);

  // A host that moves into the zone is counted no more.
  traffic.Record(FleetEffect(
      MembersChanged{{{.id = other_zone, .region = "puget", .zone = "a"}}}));
  split.RecordSent(TrafficPurpose::kAttempts, other_zone.ip, 100);
  CHECK(at(TrafficPurpose::kAttempts, TrafficDistance::kZone) == attempt);
}

}  // namespace
}  // namespace cassiabend
