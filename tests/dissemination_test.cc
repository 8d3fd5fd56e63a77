#include <doctest/doctest.h>

#include <string>

#include "cassiabend/base/compression.h"
#include "cassiabend/base/error.h"
#include "cassiabend/core/applied_versions.h"
#include "cassiabend/core/freshness.h"
#include "cassiabend/core/version_puller.h"
#include "cassiabend/model/change.h"

namespace cassiabend {
namespace {

using FullVersion = RefPtr<const Snapshot>;

/// \returns The successor of `base` (null for none), which adds a site;
/// `*delta` leads to it.
FullVersion Successor(const FullVersion& base,
                      const std::string& site,
                      ConfigDelta* delta) {
  const Config before = base ? base->config() : Config{};
  delta->base = base ? base->mark() : VersionMark{};
  delta->change_id = {before.number + 1, 7};
  delta->author = "ann";
  delta->edits = {{Site{site, "cascadia", "GMT+00", 0}, std::nullopt}};
  FullVersion next(new Snapshot(
      ApplyEdits(before, delta->edits, delta->change_id, delta->author)));
  delta->mark = next->mark();
  return next;
}

struct Fixture {
  Fixture() {
    first = Successor({}, "a", &to_first);
    second = Successor(first, "b", &to_second);
    third = Successor(second, "c", &to_third);
    other_second = Successor(first, "x", &to_other_second);
  }

  FleetOptions options;
  Instant now{MonoTime(Seconds(100)), {}};
  Random random{1};
  std::uint64_t sequence = 0;
  std::vector<FleetEffect> effects;
  FleetContext context{options, now, &random, &sequence, &effects};
  AppliedVersions versions;
  Freshness freshness;
  FullVersion first, second, third, other_second;
  ConfigDelta to_first, to_second, to_third, to_other_second;

  OfferResult Offer(const FullVersion& it) {
    return versions.OfferFull(context, it->mark(), it);
  }
};

TEST_CASE(
    "a full version from the store without a delta is passed on as a delta") {
  Fixture t;
  Config config;
  config.number = 9;
  for (int i = 0; i < 40; ++i) {
    config.sites.push_back(
        {"site-" + std::to_string(100 + i), "cascadia", "GMT+00", 0});
  }
  const FullVersion base(new Snapshot(config));
  config.number = 23;
  config.sites.back().time_zone = "GMT+01";
  const FullVersion next(new Snapshot(config));
  AppliedVersions peer;
  CHECK(peer.OfferFull(t.context, base->mark(), base) == OfferResult::kApplied);
  t.versions.OfferFullAndDeriveDelta(t.context, base);
  // There is no delta to the first version; peers without one get it in full.
  CHECK(t.versions.LatestDelta() == nullptr);
  t.versions.OfferFullAndDeriveDelta(t.context, next);
  const DeltaPtr delta = t.versions.DeltaFrom(base->mark());
  REQUIRE(delta != nullptr);
  CHECK(delta->delta().edits.size() == 1);
  CHECK(peer.OfferDelta(t.context, next->mark(), delta) ==
        OfferResult::kApplied);
  CHECK(peer.newest()->config() == config);
  // The peer can pass on the delta as well.
  CHECK(peer.DeltaFrom(base->mark()) != nullptr);
}

/// Guards against a fallback to the full version, which is sent at a bounded
/// rate and crosses narrow links once per node.
TEST_CASE("a version that more than doubles the routes is sent as a delta") {
  constexpr int kBefore = 100;
  constexpr int kAfter = 1'400;
  Fixture t;
  Config config;
  config.number = 9;
  config.services = {{"orders", "cascadia", 3}};
  const auto add = [&config](int n) {
    Route route;
    route.name = "route-" + std::to_string(10'000 + n);
    route.team = "cascadia";
    route.path_prefix = "/" + route.name + "/";
    route.service = "orders";
    route.timeout = Milliseconds(1'000);
    config.routes.push_back(route);
  };
  for (int i = 0; i < kBefore; ++i) {
    add(i);
  }
  const FullVersion base(new Snapshot(config));
  for (int i = kBefore; i < kAfter; ++i) {
    add(i);
  }
  config.number = 10;
  const FullVersion next(new Snapshot(config));
  t.versions.OfferFullAndDeriveDelta(t.context, base);
  t.versions.OfferFullAndDeriveDelta(t.context, next);
  const DeltaPtr delta = t.versions.DeltaFrom(base->mark());
  REQUIRE(delta != nullptr);
  CHECK(delta->delta().edits.size() == kAfter - kBefore);
  const DeltaPtr arrived = SharedDelta::Unpack(delta->packed());
  CHECK(arrived->delta() == delta->delta());
  CHECK(arrived->packed() == delta->packed());
  AppliedVersions peer;
  (void)peer.OfferFull(t.context, base->mark(), base);
  CHECK(peer.OfferDelta(t.context, next->mark(), arrived) ==
        OfferResult::kApplied);
  CHECK(peer.newest()->config() == config);
}

TEST_CASE("unpacking a damaged version fails") {
  Fixture t;
  const std::string packed = t.first->packed();
  CHECK(Snapshot::Unpack(packed)->config() == t.first->config());
  CHECK_THROWS_AS((void)Snapshot::Unpack(packed.substr(0, packed.size() / 2)),
                  ModelError);
  CHECK_THROWS_AS((void)Snapshot::Unpack("no frame"), ModelError);
  CHECK_THROWS_AS((void)SharedDelta::Unpack(""), ModelError);
  CHECK_THROWS_AS((void)Decompress(Compress(std::string(1'000, 'a')), 999),
                  Error);
}

TEST_CASE("only undamaged versions with a higher number are applied") {
  Fixture fixture;
  AppliedVersions& versions = fixture.versions;
  CHECK(fixture.Offer(fixture.second) == OfferResult::kApplied);
  CHECK(fixture.Offer(fixture.second) == OfferResult::kSame);
  CHECK(fixture.Offer(fixture.first) == OfferResult::kOlder);
  CHECK(fixture.Offer(fixture.other_second) == OfferResult::kFork);
  CHECK(versions.newest() == fixture.second);
  // The content of one version under the mark of another.
  CHECK(versions.OfferFull(fixture.context, fixture.third->mark(),
                           fixture.second) == OfferResult::kDamaged);
  CHECK(versions.OfferFull(fixture.context, fixture.third->mark(), nullptr) ==
        OfferResult::kDamaged);
  CHECK(fixture.Offer(fixture.third) == OfferResult::kApplied);
  CHECK(versions.refusals().forks == 1);
  CHECK(versions.refusals().damaged == 2);
  CHECK(fixture.effects.size() == 2);
}

TEST_CASE("a delta is applied completely and only to its own base") {
  Fixture fixture;
  AppliedVersions& versions = fixture.versions;
  const auto offer = [&](const ConfigDelta& it) {
    return versions.OfferDelta(fixture.context, it.mark, ShareDelta(it));
  };
  CHECK(offer(fixture.to_second) == OfferResult::kNoBase);
  CHECK(fixture.Offer(fixture.first) == OfferResult::kApplied);
  CHECK(offer(fixture.to_third) == OfferResult::kNoBase);
  ConfigDelta damaged = fixture.to_second;
  std::get<Site>(damaged.edits[0].action).team = "other";
  CHECK(offer(damaged) == OfferResult::kDamaged);
  CHECK(versions.mark() == fixture.first->mark());
  CHECK(offer(fixture.to_second) == OfferResult::kApplied);
  CHECK(versions.newest()->config() == fixture.second->config());
  // A successor of the fork's other version has no base here.
  ConfigDelta on_other = fixture.to_third;
  on_other.base = fixture.other_second->mark();
  CHECK(offer(on_other) == OfferResult::kNoBase);
  CHECK(offer(fixture.to_third) == OfferResult::kApplied);
}

TEST_CASE("a pull gets a held delta, else a full version at a limited rate") {
  Fixture fixture;
  VersionPullServer server;
  REQUIRE(fixture.Offer(fixture.first) == OfferResult::kApplied);
  REQUIRE(fixture.versions.OfferDelta(fixture.context, fixture.to_second.mark,
                                      ShareDelta(fixture.to_second)) ==
          OfferResult::kApplied);
  const auto pull = [&](const VersionMark& have) {
    return server
        .Answer(fixture.context, fixture.versions, fixture.freshness, have)
        .body;
  };
  CHECK(std::holds_alternative<NoUpdate>(pull(fixture.second->mark())));
  CHECK(std::holds_alternative<NoUpdate>(pull(fixture.other_second->mark())));
  CHECK(std::holds_alternative<DeltaPtr>(pull(fixture.first->mark())));
  for (std::uint32_t i = 0; i < fixture.options.full_value_limit; ++i) {
    CHECK(std::holds_alternative<FullVersion>(pull({})));
  }
  const auto busy = pull({});
  REQUIRE(std::holds_alternative<BusyUpdate>(busy));
  CHECK(std::get<BusyUpdate>(busy).retry_after > Milliseconds(0));
  CHECK(std::holds_alternative<DeltaPtr>(pull(fixture.first->mark())));
  fixture.now.mono += fixture.options.full_value_pause;
  CHECK(std::holds_alternative<FullVersion>(pull({})));
}

TEST_CASE("one pull runs at a time; after a failure another peer is asked") {
  Fixture fixture;
  VersionPuller puller;
  const NodeId a{"10.0.0.1", 7000};
  const NodeId b{"10.0.0.2", 7000};
  const auto run = [&](Nanoseconds time) {
    std::vector<NodeId> asked;
    for (Nanoseconds n{0}; n < time; n += kFleetTickPeriod) {
      fixture.now.mono += kFleetTickPeriod;
      fixture.effects.clear();
      puller.Tick(fixture.context, fixture.versions);
      for (const FleetEffect& it : fixture.effects) {
        asked.push_back(std::get<SendPull>(it).to);
      }
    }
    return asked;
  };
  for (const NodeId& peer : {a, b, a}) {
    puller.OnPeerMark(fixture.context, fixture.versions, peer,
                      fixture.second->mark());
  }
  CHECK(run(Milliseconds(600)) == std::vector{a});
  puller.OnAnswer(fixture.context, {a, std::nullopt}, &fixture.versions,
                  &fixture.freshness);
  CHECK(run(Milliseconds(1'000)) == std::vector{b});
  ConfigUpdate update{fixture.second->mark(), fixture.second, Milliseconds(10)};
  puller.OnAnswer(fixture.context, {b, update}, &fixture.versions,
                  &fixture.freshness);
  CHECK(fixture.versions.newest() == fixture.second);
  CHECK(fixture.freshness.confirmed_at().has_value());
  CHECK(run(Seconds(5)).empty());
}

}  // namespace
}  // namespace cassiabend
