#include "cassiabend/core/balancer.h"

#include <doctest/doctest.h>

#include <map>

#include "tests/call_support.h"

namespace cassiabend::testing {
namespace {

constexpr MonoTime kStart{Seconds(100)};

/// \brief A balancer on host 1 in zone "a" of region "north", and a clock.
class BalancerDriver {
 public:
  BalancerDriver() : balancer_(CallOptions{}, MakeMember(1)), random_(1) {}

  Balancer& operator*() { return balancer_; }
  Balancer* operator->() { return &balancer_; }
  [[nodiscard]] MonoTime now() const { return now_; }
  void Advance(Milliseconds step) { now_ += step; }

  Member Add(int host, const std::string& region, const std::string& zone) {
    Member member = MakeMember(host, zone);
    member.region = region;
    balancer_.Update(now_, member);
    return member;
  }
  RefPtr<Upstream> Pick(std::span<const RefPtr<Upstream>> tried = {}) {
    return balancer_.Pick(now_, {"svc", tried}, &random_);
  }
  RefPtr<Upstream> PickHome(const std::string& key) {
    return balancer_.PickHome(now_, {"svc", {}}, key);
  }
  void End(const RefPtr<Upstream>& upstream,
           AttemptOutcome outcome,
           Milliseconds retry_after = Milliseconds(0)) {
    balancer_.RecordStart(upstream.get());
    balancer_.RecordEnd(now_, outcome, Milliseconds(10), retry_after,
                        upstream.get());
  }
  /// \returns The upstream of `host`. Fails the test if it is never picked.
  RefPtr<Upstream> Find(int host) {
    const NodeId id = MakeMember(host).id;
    for (int n = 0; n < 1'000; ++n) {
      RefPtr<Upstream> upstream = Pick();
      if (upstream && upstream->member().id == id) {
        return upstream;
      }
    }
    FAIL("host " << host << " was not picked in 1,000 tries");
    return nullptr;
  }
  /// \returns How often each host is picked in `n` picks, by address.
  std::map<std::string, int> Count(int n) {
    std::map<std::string, int> counts;
    for (int i = 0; i < n; ++i) {
      const RefPtr<Upstream> upstream = Pick();
      if (upstream) {
        ++counts[upstream->member().id.ip];
      }
    }
    return counts;
  }

 private:
  Balancer balancer_;
  Random random_;
  MonoTime now_ = kStart;
};

TEST_CASE("the nearest level with an upstream that has free slots is picked") {
  BalancerDriver driver;
  driver.Add(2, "north", "a");
  driver.Add(3, "north", "b");
  driver.Add(4, "south", "c");
  // Each has two slots: the third call goes to the next level, and the seventh,
  // which finds none free, to the nearest one.
  const char* expected[] = {"10.0.0.2", "10.0.0.2", "10.0.0.3", "10.0.0.3",
                            "10.0.0.4", "10.0.0.4", "10.0.0.2"};
  for (const char* it : expected) {
    const RefPtr<Upstream> upstream = driver.Pick();
    CHECK(upstream->member().id.ip == it);
    driver->RecordStart(upstream.get());
  }
}

TEST_CASE("members that do not serve are not picked, suspect ones come last") {
  BalancerDriver driver;
  Member member = driver.Add(2, "north", "a");
  member.upstream_state = UpstreamState::kDraining;
  driver->Update(driver.now(), member);
  CHECK(driver.Pick() == nullptr);
  member.upstream_state = UpstreamState::kServing;
  member.status = MemberStatus::kSuspect;
  driver->Update(driver.now(), member);
  REQUIRE(driver.Pick());
  driver.Add(4, "south", "c");
  CHECK(driver.Pick()->member().id.ip == "10.0.0.4");
  member.status = MemberStatus::kDead;
  driver->Update(driver.now(), member);
  CHECK(driver.Count(50).count("10.0.0.2") == 0);
}

TEST_CASE("upstreams with consecutive failures are ejected up to the limit") {
  BalancerDriver driver;
  for (int host = 2; host <= 7; ++host) {
    driver.Add(host, "north", "a");
  }
  // The limit of 340 thousandths allows two of six to be ejected.
  for (const int host : {2, 3, 4}) {
    const RefPtr<Upstream> upstream = driver.Find(host);
    for (int n = 0; n < 4; ++n) {
      driver.End(upstream, AttemptOutcome::kFailed);
    }
    driver.End(upstream, AttemptOutcome::kAnswered);
    for (int n = 0; n < 5; ++n) {
      driver.End(upstream, AttemptOutcome::kFailed);
    }
  }
  CHECK(driver->ejected() == 2);
  CHECK(driver.Count(200).size() == 4);
  driver.Advance(Milliseconds(5'000));
  CHECK(driver.Count(200).size() == 6);
  driver.End(driver.Find(2), AttemptOutcome::kFailed);
  CHECK(driver->ejected() == 1);
  // A second ejection in a row lasts longer.
  driver.Advance(Milliseconds(9'999));
  CHECK(driver.Count(200).size() == 5);
  driver.Advance(Milliseconds(1));
  CHECK(driver.Count(200).size() == 6);
}

TEST_CASE("an upstream is avoided after several silent connections") {
  BalancerDriver driver;
  driver.Add(2, "north", "a");
  driver.Add(3, "north", "a");
  const RefPtr<Upstream> upstream = driver.Find(2);
  driver.End(upstream, AttemptOutcome::kSilent);
  CHECK(driver.Count(100).size() == 2);
  driver.End(upstream, AttemptOutcome::kSilent);
  CHECK(driver.Count(100).size() == 1);
  const RefPtr<Upstream> tried[] = {driver.Find(3)};
  CHECK(driver.Pick(tried) == upstream);
  driver.Advance(Milliseconds(5'000));
  CHECK(driver.Count(100).size() == 2);
}

TEST_CASE("an upstream that starts to serve gets calls by slow start") {
  BalancerDriver driver;
  driver.Add(2, "north", "a");
  Member cold = MakeMember(3);
  cold.upstream_state = UpstreamState::kWarming;
  driver->Update(driver.now(), cold);
  CHECK(driver.Count(100).size() == 1);
  cold.upstream_state = UpstreamState::kServing;
  driver->Update(driver.now(), cold);
  const int first = driver.Count(1'000)["10.0.0.3"];
  driver.Advance(Milliseconds(5'000));
  const int later = driver.Count(1'000)["10.0.0.3"];
  driver.Advance(Milliseconds(5'000));
  const int warm = driver.Count(1'000)["10.0.0.3"];
  CHECK(first > 0);
  CHECK(first < later);
  CHECK(later < warm);
}

TEST_CASE("an upstream that sheds or accepts no work is avoided for a time") {
  struct Row {
    AttemptOutcome outcome;
    int pause_ms;
  };
  for (const Row& row : {Row{AttemptOutcome::kShed, 300},
                         Row{AttemptOutcome::kUnavailable, 1'000}}) {
    BalancerDriver driver;
    driver.Add(2, "north", "a");
    driver.Add(3, "south", "c");
    driver.End(driver.Pick(), row.outcome, Milliseconds(300));
    CHECK(driver.Pick()->member().id.ip == "10.0.0.3");
    driver.Advance(Milliseconds(row.pause_ms));
    CHECK(driver.Pick()->member().id.ip == "10.0.0.2");
  }
}

TEST_CASE("a reported load is ignored once it is too old") {
  BalancerDriver driver;
  const Member near = driver.Add(2, "north", "a");
  driver.Add(3, "south", "c");
  driver->UpdateLoad(driver.now(), near.id, 1'000);
  CHECK(driver.Pick()->member().id.ip == "10.0.0.3");
  driver.Advance(Milliseconds(5'000));
  CHECK(driver.Pick()->member().id.ip == "10.0.0.2");
}

TEST_CASE("when an upstream leaves, only its order keys get a new home") {
  BalancerDriver driver;
  for (int host = 2; host <= 9; ++host) {
    driver.Add(host, "north", host % 2 == 0 ? "a" : "b");
  }
  std::map<std::string, NodeId> homes;
  for (int n = 0; n < 200; ++n) {
    const std::string key = std::to_string(n);
    homes[key] = driver.PickHome(key)->member().id;
  }
  Member gone = MakeMember(2);
  gone.status = MemberStatus::kLeft;
  driver->Update(driver.now(), gone);
  int moved = 0;
  for (const auto& [key, home] : homes) {
    const bool same = driver.PickHome(key)->member().id == home;
    CHECK(same == (home != gone.id));
    moved += same ? 0 : 1;
  }
  CHECK(moved > 0);
}

}  // namespace
}  // namespace cassiabend::testing
