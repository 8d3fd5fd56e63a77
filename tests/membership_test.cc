#include <doctest/doctest.h>

#include "cassiabend/core/dissemination_tree.h"
#include "cassiabend/core/membership.h"
#include "tests/support/fleet_driver.h"

namespace cassiabend::testing {
namespace {

Member MakeMember(int n, const std::string& zone = "puget-a") {
  Member member;
  member.id = {"10.0.0." + std::to_string(n), 7000};
  member.zone = zone;
  member.region = "puget";
  member.service = "orders";
  member.start_id = 5;
  return member;
}

struct Fixture {
  FleetOptions options;
  Instant now{MonoTime(Seconds(100)), {}};
  Random random{1};
  std::uint64_t sequence = 0;
  std::vector<FleetEffect> effects;
  FleetContext context{options, now, &random, &sequence, &effects};
  Membership membership{MakeMember(1)};

  void Merge(const Member& it) { membership.Merge(context, std::span(&it, 1)); }
  void RunFor(Nanoseconds time) {
    for (Nanoseconds n{0}; n < time; n += kFleetTickPeriod) {
      now.mono += kFleetTickPeriod;
      membership.Tick(context);
    }
  }
  [[nodiscard]] MemberStatus StatusOf(int n) const {
    return membership.Find(MakeMember(n).id)->member.status;
  }
  [[nodiscard]] int CountStatus(MemberStatus status) const {
    int n = 0;
    for (const auto& [id, entry] : membership.entries()) {
      n += entry.member.status == status ? 1 : 0;
    }
    return n;
  }
};

TEST_CASE("a node refutes records about itself and outranks a higher start") {
  Fixture fixture;
  Member reported = MakeMember(1);
  reported.status = MemberStatus::kDead;
  reported.revision = 4;
  fixture.Merge(reported);
  CHECK(fixture.membership.self().status == MemberStatus::kAlive);
  CHECK(fixture.membership.self().revision == 5);
  reported.start_id = 9;
  fixture.Merge(reported);
  CHECK(fixture.membership.self().start_id == 10);
  reported.start_id = 3;
  fixture.Merge(reported);
  CHECK(fixture.membership.self().start_id == 10);
}

TEST_CASE("an unrefuted suspicion ends in death; a new start revives") {
  Fixture fixture;
  fixture.Merge(MakeMember(2));
  fixture.membership.Suspect(fixture.context, MakeMember(2).id);
  CHECK(fixture.StatusOf(2) == MemberStatus::kSuspect);
  Member refuted = MakeMember(2);
  refuted.revision = 1;
  fixture.Merge(refuted);
  CHECK(fixture.StatusOf(2) == MemberStatus::kAlive);
  fixture.membership.Suspect(fixture.context, MakeMember(2).id);
  fixture.RunFor(fixture.options.suspicion_timeout + Seconds(1));
  CHECK(fixture.StatusOf(2) == MemberStatus::kDead);
  fixture.Merge(refuted);
  CHECK(fixture.StatusOf(2) == MemberStatus::kDead);
  refuted.start_id = 6;
  fixture.Merge(refuted);
  CHECK(fixture.StatusOf(2) == MemberStatus::kAlive);
  fixture.membership.Suspect(fixture.context, MakeMember(2).id);
  // The removal limit holds: the only member of its service was removed within
  // the interval.
  fixture.RunFor(fixture.options.suspicion_timeout + Seconds(1));
  CHECK(fixture.StatusOf(2) == MemberStatus::kSuspect);
  fixture.RunFor(fixture.options.removal_interval);
  CHECK(fixture.StatusOf(2) == MemberStatus::kDead);
  fixture.RunFor(fixture.options.forget_after);
  CHECK(fixture.membership.entries().empty());
}

TEST_CASE(
    "suspicion removes only a share of a service; members that leave are not "
    "limited") {
  for (const bool by_others : {false, true}) {
    CAPTURE(by_others);
    Fixture fixture;
    constexpr int kCount = 10;
    for (int n = 2; n < 2 + kCount; ++n) {
      fixture.Merge(MakeMember(n));
    }
    for (int n = 2; n < 2 + kCount; ++n) {
      Member gone = MakeMember(n);
      gone.status = by_others ? MemberStatus::kDead : MemberStatus::kSuspect;
      fixture.Merge(gone);
    }
    fixture.RunFor(Seconds(10));
    // `removal_permille` is 340: three of ten members.
    CHECK(fixture.CountStatus(MemberStatus::kDead) == 3);
    CHECK(fixture.CountStatus(MemberStatus::kSuspect) == 7);
    fixture.RunFor(fixture.options.removal_interval);
    CHECK(fixture.CountStatus(MemberStatus::kDead) <= 6);
    for (int n = 2; n < 2 + kCount; ++n) {
      Member left = MakeMember(n);
      left.revision = 1;
      left.status = MemberStatus::kLeft;
      fixture.Merge(left);
    }
    CHECK(fixture.CountStatus(MemberStatus::kLeft) == kCount);
  }
}

TEST_CASE(
    "updates fit into a datagram and are sent a bounded number of times") {
  Fixture fixture;
  for (int n = 2; n < 250; ++n) {
    fixture.Merge(MakeMember(n));
  }
  std::size_t sent = 0;
  std::size_t datagrams = 0;
  while (true) {
    const auto updates =
        fixture.membership.PiggybackUpdates(MakeMember(2).id, false);
    if (updates.empty()) {
      break;
    }
    std::size_t bytes = kDatagramBaseBytes;
    for (const Member& it : updates) {
      bytes += EncodedBytesBound(it);
    }
    REQUIRE(bytes <= kDatagramLimitBytes);
    sent += updates.size();
    REQUIRE(++datagrams < 1'000);
  }
  CHECK(sent <= 250 * 12);
  CHECK(sent >= 250 * 8);
}

TEST_CASE("nodes with the same view compute the same tree") {
  constexpr int kCount = 40;
  FleetOptions options;
  options.fan_out = 4;
  std::map<NodeId, int> children;
  std::set<NodeId> roots;
  for (int self = 1; self <= kCount; ++self) {
    Fixture fixture;
    Membership membership(MakeMember(self));
    for (int n = 1; n <= kCount; ++n) {
      const Member member = MakeMember(n);
      membership.Merge(fixture.context, std::span(&member, 1));
    }
    DisseminationTree tree;
    tree.Refresh(options, membership);
    REQUIRE(tree.is_root() != tree.parent().has_value());
    if (tree.is_root()) {
      roots.insert(membership.self().id);
    } else {
      ++children[*tree.parent()];
    }
  }
  CHECK(roots.size() == options.readers_per_zone);
  int attached = 0;
  for (const auto& [id, n] : children) {
    CHECK(n <= 4);
    attached += n;
  }
  CHECK(attached == kCount - 2);
}

TEST_CASE("nodes that know the same members have the same digest") {
  Fixture a;
  Fixture b;
  for (int n = 2; n < 6; ++n) {
    a.Merge(MakeMember(n));
    b.Merge(MakeMember(7 - n));
  }
  CHECK(a.membership.live_digest() == b.membership.live_digest());
  Member restarted = MakeMember(3);
  restarted.start_id = 6;
  a.Merge(restarted);
  CHECK(a.membership.live_digest() != b.membership.live_digest());
  // Only the record that b's list lacks is gossiped.
  (void)a.membership.PiggybackUpdates({}, false);
  a.membership.RelayMissing(a.context, b.membership.AllRecords());
  CHECK(a.membership.PiggybackUpdates({}, false).front() == restarted);
  b.Merge(restarted);
  CHECK(a.membership.live_digest() == b.membership.live_digest());
  Member left = MakeMember(4);
  left.status = MemberStatus::kLeft;
  a.Merge(left);
  CHECK(a.membership.live_digest() != b.membership.live_digest());
}

MemberStatus StatusAt(FleetDriver& driver, std::size_t at, std::size_t of) {
  const FleetDriver::Node& node = driver.node(at);
  for (const MemberView& it :
       node.reducer->Members({driver.now() + node.clock_offset, {}})) {
    if (it.member.id == driver.node(of).self.id) {
      return it.member.status;
    }
  }
  return MemberStatus::kDead;
}

TEST_CASE("death, departure and return of a member are soon known everywhere") {
  FleetDriver driver(12, ThreeZones(), {}, 4);
  driver.Commit();
  driver.StartAll();
  driver.RunFor(Seconds(15));
  const auto all_hold = [&](std::size_t of, MemberStatus status) {
    for (std::size_t i = 0; i < driver.size(); ++i) {
      if (i != of && StatusAt(driver, i, of) != status) {
        return false;
      }
    }
    return true;
  };
  driver.Kill(4);
  CHECK(driver.RunUntil([&] { return all_hold(4, MemberStatus::kDead); },
                        Seconds(60)) < Seconds(30));
  driver.Start(4);
  CHECK(driver.RunUntil([&] { return all_hold(4, MemberStatus::kAlive); },
                        Seconds(60)) < Seconds(10));
  driver.Leave(7);
  CHECK(driver.RunUntil([&] { return all_hold(7, MemberStatus::kLeft); },
                        Seconds(60)) < Seconds(5));
}

TEST_CASE("an unreachable zone appears as suspect and recovers after the cut") {
  FleetDriver driver(9, ThreeZones(), {}, 6);
  driver.Commit();
  driver.StartAll();
  driver.RunFor(Seconds(15));
  driver.Isolate("inland-a");
  driver.RunFor(Seconds(40));
  for (std::size_t i = 0; i < driver.size(); ++i) {
    for (std::size_t of = 0; of < driver.size(); ++of) {
      const bool across = (driver.node(i).self.zone == "inland-a") !=
                          (driver.node(of).self.zone == "inland-a");
      CAPTURE(i);
      CAPTURE(of);
      CHECK(StatusAt(driver, i, of) ==
            (across ? MemberStatus::kSuspect : MemberStatus::kAlive));
    }
  }
  driver.Heal();
  driver.RunFor(Seconds(12));
  for (std::size_t i = 0; i < driver.size(); ++i) {
    for (std::size_t of = 0; of < driver.size(); ++of) {
      CHECK(StatusAt(driver, i, of) == MemberStatus::kAlive);
    }
  }
  CHECK(driver.violations.empty());
}

}  // namespace
}  // namespace cassiabend::testing
