#include "cassiabend/core/rollout/rollout.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <optional>
#include <queue>
#include <sstream>

#include "cassiabend/base/error.h"
#include "cassiabend/core/rollout/rollout_plan.h"
#include "cassiabend/core/rollout/version_gate.h"
#include "cassiabend/core/rollout/version_judge.h"
#include "tests/call_support.h"
#include "tests/support/fleet_driver.h"

namespace cassiabend::testing {
namespace {

constexpr char kOrderPrefix[] = "/cassiabend/rollouts/";
constexpr char kStatePrefix[] = "/cassiabend/rollout_states/";
constexpr char kService[] = "orders";

/// \brief Writes orders and states as words.
class WordsCodec final : public RolloutCodec {
 public:
  [[nodiscard]] const std::string& watch_prefix() const noexcept override {
    return watch_prefix_;
  }
  [[nodiscard]] const std::string& order_prefix() const noexcept override {
    return order_prefix_;
  }
  [[nodiscard]] RolloutOrder DecodeOrder(
      std::string_view value) const override {
    std::istringstream in{std::string(value)};
    RolloutOrder out;
    std::int64_t ms = 0;
    if (!(in >> out.service >> out.target_version >> ms)) {
      throw ModelError("read an order", "value", "too few words");
    }
    out.duration = Milliseconds(ms);
    return out;
  }
  [[nodiscard]] std::string StatusKey(
      const std::string& service) const override {
    return kStatePrefix + service;
  }
  [[nodiscard]] std::string EncodeStatus(
      const Rollout& rollout) const override {
    std::ostringstream out;
    out << NameOf(rollout.phase) << ' ' << static_cast<int>(rollout.phase)
        << ' ' << rollout.order_revision << ' ' << rollout.step << ' '
        << rollout.share_permille;
    return out.str();
  }
  [[nodiscard]] Rollout DecodeStatus(std::string_view value) const override {
    std::istringstream in{std::string(value)};
    Rollout out;
    std::string name;
    int phase = 0;
    if (!(in >> name >> phase >> out.order_revision >> out.step >>
          out.share_permille)) {
      throw ModelError("read a state", "value", "too few words");
    }
    out.phase = static_cast<RolloutPhase>(phase);
    return out;
  }

 private:
  std::string watch_prefix_ = "/cassiabend/";
  std::string order_prefix_ = kOrderPrefix;
};

FleetOptions RolloutOptions() {
  static const WordsCodec codec;
  FleetOptions options;
  options.rollout_codec = &codec;
  options.rollout_permille = 100;
  options.rollout_slack = 50;
  return options;
}

CallOptions GateOptions() {
  CallOptions options;
  options.gate_versions = 1;
  return options;
}

/// \brief How one version answers: given the class of the call, the time since
/// the order and the calls that run at the upstream.
struct Answer {
  bool fails = false;
  Milliseconds time{200};
};
using Behaviour = std::function<Answer(const std::string& request_class,
                                       Nanoseconds since_order,
                                       std::size_t running,
                                       Random* random)>;

Answer Good(const std::string& /*request_class*/,
            Nanoseconds /*since_order*/,
            std::size_t /*running*/,
            Random* random) {
  return {random->Below(200) == 0,
          Milliseconds(100 + static_cast<std::int64_t>(random->Below(300)))};
}

/// \brief A fleet of 12 nodes in three zones, half with upstreams of "v1", half
/// of "v2", and calls that arrive at all of them.
class RolloutWorld {
 public:
  RolloutWorld(double calls_per_s, Behaviour new_version)
      : calls_per_s_(calls_per_s),
        new_version_(std::move(new_version)),
        driver_(kNodes, ThreeZones(), RolloutOptions(), 3),
        random_(4) {
    for (std::size_t i = 0; i < kNodes; ++i) {
      gates_.emplace_back(GateOptions(), driver_.node(i).self.id);
    }
    driver_.on_effect = [this](std::size_t i, const FleetEffect& effect) {
      if (const auto* changed = std::get_if<RolloutsChanged>(&effect)) {
        gates_[i].Update(driver_.now(), changed->rollouts);
      } else if (const auto* decided = std::get_if<RolloutDecided>(&effect)) {
        last_decider = i;
        reasons.emplace_back(decided->reason);
      }
    };
    driver_.Commit();
    driver_.StartAll();
    driver_.RunFor(Seconds(20));
    AddUpstreams(0, kNodes / 2, "v1");
    driver_.RunFor(Seconds(5));
  }

  Behaviour old_version = Good;
  std::optional<std::size_t> last_decider;
  std::vector<std::string> reasons;
  int total = 0;
  int to_new = 0;
  int to_old = 0;
  std::optional<MonoTime> fiftieth_bad_at;
  std::optional<MonoTime> last_to_new_at;

  [[nodiscard]] FleetDriver& driver() noexcept { return driver_; }
  [[nodiscard]] std::string State() {
    const StoreEntry* entry =
        driver_.store().Find(std::string(kStatePrefix) + kService);
    return entry == nullptr ? ""
                            : entry->value.substr(0, entry->value.find(' '));
  }
  [[nodiscard]] Nanoseconds since_order() const {
    return driver_.now() - ordered_at_;
  }
  void Order(Milliseconds duration) {
    ordered_at_ = driver_.now();
    driver_.store().Put(
        std::string(kOrderPrefix) + kService,
        std::string(kService) + " v2 " + std::to_string(duration.count()));
    total = 0;
    Run(Seconds(1));
    AddUpstreams(kNodes / 2, kNodes, "v2");
  }
  /// \brief Runs calls until `done()` holds or `time` has passed.
  void Run(
      Nanoseconds time,
      const std::function<bool()>& done = [] { return false; }) {
    const MonoTime end = driver_.now() + time;
    while (driver_.now() < end && !done()) {
      Step();
    }
  }
  void RunUntilEnded(Milliseconds duration) {
    Run(duration - since_order(),
        [this] { return State() == "completed" || State() == "rolled_back"; });
  }

 private:
  static constexpr std::size_t kNodes = 12;
  static constexpr Milliseconds kStep{20};
  struct Running {
    MonoTime at{};
    MonoTime started_at{};
    std::size_t node = 0;
    std::size_t upstream = 0;
    std::string request_class;
    Answer answer;
    bool operator<(const Running& other) const { return other.at < at; }
  };

  Member MemberOf(std::size_t i) const { return members_.at(i); }

  void AddUpstreams(std::size_t from, std::size_t to, const char* version) {
    for (std::size_t i = from; i < to; ++i) {
      Member member = driver_.node(i).self;
      member.upstream_state = UpstreamState::kServing;
      member.upstream_version = version;
      members_[i] = member;
      driver_.Inject(i, LocalUpstreamChanged{UpstreamState::kServing, 12,
                                             member.service, version});
      for (VersionGate& gate : gates_) {
        Member copy = member;
        gate.Update(&copy);
      }
    }
  }

  void Step() {
    driver_.RunFor(kStep);
    credit_ += calls_per_s_ * std::chrono::duration<double>(kStep).count();
    for (; credit_ >= 1; credit_ -= 1) {
      Call();
    }
    while (!running_.empty() && running_.top().at <= driver_.now()) {
      End(running_.top());
      running_.pop();
    }
    if (++steps_ % 25 == 0) {
      for (std::size_t i = 0; i < kNodes; ++i) {
        driver_.Inject(i, VersionsUsed{gates_[i].Uses(driver_.now())});
      }
    }
  }

  std::optional<std::size_t> Pick(std::string_view version,
                                  std::span<const NodeId> canaries) {
    std::vector<std::size_t> usable;
    for (const auto& [i, member] : members_) {
      const bool is_listed =
          canaries.empty() ||
          std::ranges::find(canaries, member.id) != canaries.end();
      if (driver_.node(i).up && member.upstream_version == version &&
          is_listed) {
        usable.push_back(i);
      }
    }
    return usable.empty() ? std::nullopt
                          : std::optional(usable[random_.Below(usable.size())]);
  }

  void Call() {
    const std::size_t node = random_.Below(kNodes);
    if (!driver_.node(node).up) {
      return;
    }
    const VersionChoice choice =
        gates_[node].Choose(driver_.now(), kService, true);
    auto upstream = Pick(choice.version, choice.canaries);
    if (!upstream && choice.fallback) {
      upstream = Pick(*choice.fallback, {});
    }
    if (!upstream) {
      return;
    }
    const bool is_new = MemberOf(*upstream).upstream_version == "v2";
    const std::string request_class = random_.Below(4) == 0 ? "pay" : "browse";
    const Answer answer = (is_new ? new_version_ : old_version)(
        request_class, since_order(), load_[*upstream], &random_);
    ++total;
    ++(is_new ? to_new : to_old);
    if (is_new) {
      last_to_new_at = driver_.now();
    }
    ++load_[*upstream];
    gates_[node].RecordStart(driver_.now(), MemberOf(*upstream), request_class);
    running_.push({driver_.now() + answer.time, driver_.now(), node, *upstream,
                   request_class, answer});
  }

  void End(const Running& it) {
    --load_[it.upstream];
    const Member member = MemberOf(it.upstream);
    const bool is_bad = it.answer.fails || it.answer.time >= Seconds(1);
    if (member.upstream_version == "v2" && is_bad && ++bad_ == 50) {
      fiftieth_bad_at = driver_.now();
    }
    gates_[it.node].RecordEnd(
        driver_.now(), it.started_at, member, it.request_class,
        it.answer.fails ? VersionOutcome::kFailed : VersionOutcome::kAnswered,
        it.answer.time);
  }

  double calls_per_s_;
  Behaviour new_version_;
  FleetDriver driver_;
  Random random_;
  std::vector<VersionGate> gates_;
  std::map<std::size_t, Member> members_;
  std::map<std::size_t, std::size_t> load_;
  std::priority_queue<Running> running_;
  MonoTime ordered_at_{};
  double credit_ = 0;
  int steps_ = 0;
  int bad_ = 0;
};

constexpr Milliseconds kDuration{15'000};

void CheckRolledBack(RolloutWorld* world) {
  CHECK(world->State() == "rolled_back");
  world->Run(Seconds(6));
  CHECK(world->to_new <= world->total / 10 + 50);
  if (world->fiftieth_bad_at) {
    CHECK(*world->last_to_new_at - *world->fiftieth_bad_at <= Seconds(5));
  }
}

TEST_CASE("a good version is completed in time, and gets every call then") {
  for (const double rate : {20.0, 300.0}) {
    CAPTURE(rate);
    RolloutWorld world(rate, Good);
    world.Order(kDuration);
    world.RunUntilEnded(kDuration);
    CHECK(world.State() == "completed");
    const int before = world.to_old;
    world.Run(Seconds(3));
    CHECK(world.to_old == before);
  }
}

TEST_CASE("a bad version is rolled back within its bounds") {
  const std::map<std::string, Behaviour> kinds = {
      {"errors",
       [](const auto& request_class, auto since, auto running, auto* random) {
         Answer answer = Good(request_class, since, running, random);
         answer.fails = random->Below(2) == 0;
         return answer;
       }},
      {"slow",
       [](const auto& request_class, auto since, auto running, auto* random) {
         Answer answer = Good(request_class, since, running, random);
         answer.time *= 8;
         return answer;
       }},
      {"half slow",
       [](const auto& request_class, auto since, auto running, auto* random) {
         Answer answer = Good(request_class, since, running, random);
         answer.time *= random->Below(2) == 0 ? 8 : 1;
         return answer;
       }},
      {"one class",
       [](const auto& request_class, auto since, auto running, auto* random) {
         Answer answer = Good(request_class, since, running, random);
         answer.fails = request_class == "pay" && random->Below(2) == 0;
         return answer;
       }},
      {"late",
       [](const auto& request_class, auto since, auto running, auto* random) {
         Answer answer = Good(request_class, since, running, random);
         answer.fails = since > Seconds(5) && random->Below(2) == 0;
         return answer;
       }},
      {"under load",
       [](const auto& request_class, auto since, auto running, auto* random) {
         Answer answer = Good(request_class, since, running, random);
         answer.fails = running >= 5 && random->Below(2) == 0;
         return answer;
       }}};
  for (const auto& it : kinds) {
    CAPTURE(it.first);
    RolloutWorld world(300, it.second);
    world.Order(kDuration);
    world.RunUntilEnded(kDuration);
    CheckRolledBack(&world);
  }
}

TEST_CASE("an outage that hits both versions rolls back neither") {
  const Behaviour outage = [](const auto& request_class, auto since,
                              auto running, auto* random) {
    Answer answer = Good(request_class, since, running, random);
    const bool struck = since > Seconds(4) && since < Seconds(7);
    answer.fails = answer.fails || (struck && random->Below(2) == 0);
    return answer;
  };
  RolloutWorld world(300, outage);
  world.old_version = outage;
  world.Order(kDuration);
  world.RunUntilEnded(kDuration);
  CHECK(world.State() == "completed");
}

Answer HalfFails(const std::string& request_class,
                 Nanoseconds since,
                 std::size_t running,
                 Random* random) {
  Answer answer = Good(request_class, since, running, random);
  answer.fails = random->Below(2) == 0;
  return answer;
}

TEST_CASE("a bad version is stopped though the node that decides dies") {
  RolloutWorld world(300, HalfFails);
  world.Order(kDuration);
  world.Run(Seconds(4), [&] { return world.to_new > 0; });
  REQUIRE(world.last_decider);
  world.driver().Kill(*world.last_decider);
  world.RunUntilEnded(kDuration);
  CheckRolledBack(&world);
}

TEST_CASE("a bad version is stopped while the store is down") {
  RolloutWorld world(300, HalfFails);
  world.Order(kDuration);
  world.Run(Seconds(4), [&] { return world.to_new > 0; });
  world.driver().store_faults.down = true;
  world.Run(Seconds(6));
  const int stopped = world.to_new;
  CHECK(stopped <= 100);
  world.Run(Seconds(2));
  CHECK(world.to_new == stopped);
  world.driver().store_faults.down = false;
  world.RunUntilEnded(kDuration);
  CheckRolledBack(&world);
}

TEST_CASE("an order that is withdrawn is rolled back") {
  RolloutWorld world(300, Good);
  world.Order(kDuration);
  world.Run(Seconds(4), [&] { return world.to_new > 0; });
  world.driver().store().Put(std::string(kOrderPrefix) + kService, "");
  world.Run(Seconds(2));
  CHECK(world.State() == "rolled_back");
  const int stopped = world.to_new;
  world.Run(Seconds(2));
  CHECK(world.to_new == stopped);
}

TEST_CASE("a slow version shows though its roll-out begins late") {
  RolloutWorld world(300, [](const auto& request_class, auto since,
                             auto running, auto* random) {
    Answer answer = Good(request_class, since, running, random);
    answer.time *= random->Below(2) == 0 ? 10 : 1;
    return answer;
  });
  world.driver().store_faults.down = true;
  world.Run(Seconds(1));
  world.driver().store_faults.down = false;
  world.Order(kDuration);
  world.driver().store_faults.down = true;
  world.Run(Seconds(6));
  world.driver().store_faults.down = false;
  world.RunUntilEnded(kDuration);
  CheckRolledBack(&world);
}

TEST_CASE("without a node that decides a new version gets no calls") {
  VersionGate gate(GateOptions(), NodeId{"10.0.0.9", 7000});
  for (int i = 1; i <= 4; ++i) {
    Member member = MakeMember(i);
    member.upstream_version = i <= 2 ? "v1" : "v2";
    gate.Update(&member);
  }
  const MonoTime start{Seconds(100)};
  // A version that no order names gets none beside the one that was there.
  CHECK(gate.Choose(start, "svc", true).version == "v1");
  Rollout rollout;
  rollout.order = {"svc", "v2", Seconds(15)};
  rollout.order_revision = 7;
  rollout.step = 2;
  rollout.share_permille = 100;
  gate.Update(start, {{rollout, Milliseconds(0), Milliseconds(0)}});
  const auto count_new = [&](MonoTime at, bool is_first) {
    int n = 0;
    for (int i = 0; i < 1'000; ++i) {
      n += gate.Choose(at, "svc", is_first).version == "v2" ? 1 : 0;
    }
    return n;
  };
  CHECK(count_new(start, true) == 100);
  CHECK(count_new(start, false) == 0);
  CHECK(count_new(start + Seconds(3), true) == 0);
  SUBCASE("failures that the node saw itself stop it at once") {
    Member bad = MakeMember(3);
    bad.upstream_version = "v2";
    for (int i = 0; i < 4; ++i) {
      gate.RecordStart(start, bad, "c");
      gate.RecordEnd(start, start, bad, "c", VersionOutcome::kFailed, {});
    }
    CHECK(count_new(start, true) == 0);
  }
  SUBCASE("after the end the state holds without being vouched for") {
    rollout.phase = RolloutPhase::kCompleted;
    gate.Update(start, {{rollout, Milliseconds(0), std::nullopt}});
    CHECK(count_new(start + Seconds(60), true) == 1'000);
    rollout.phase = RolloutPhase::kRolledBack;
    rollout.order_revision = 8;
    gate.Update(start, {{rollout, Milliseconds(0), std::nullopt}});
    CHECK(count_new(start + Seconds(60), true) == 0);
  }
  SUBCASE("a member that restarts has the version that it had") {
    Member member = MakeMember(3);
    member.status = MemberStatus::kLeft;
    member.upstream_version = "v2";
    gate.Update(&member);
    member.status = MemberStatus::kAlive;
    member.upstream_version.clear();
    gate.Update(&member);
    CHECK(member.upstream_version == "v2");
  }
}

TEST_CASE("versions that answer alike are told apart by no draw") {
  CHECK(rc::check([] {
    Random random(*rc::gen::arbitrary<std::uint64_t>());
    const auto failures = *rc::gen::inRange(0, 60);
    const auto old_calls = *rc::gen::inRange(20, 2'000);
    const auto new_calls = *rc::gen::inRange(1, 300);
    const auto draw = [&](int n) {
      VersionCounts counts;
      for (int i = 0; i < n; ++i) {
        if (static_cast<int>(random.Below(100)) < failures) {
          ++counts.failures;
        } else {
          counts.AddSuccess(Milliseconds(20 + random.Below(400)));
        }
      }
      return counts;
    };
    const VersionCounts old = draw(old_calls);
    RC_ASSERT(FindFault(draw(new_calls), old) == VersionFault::kNone);
  }));
}

TEST_CASE("a version that fails half of its calls shows within 20 answers") {
  CHECK(rc::check([] {
    Random random(*rc::gen::arbitrary<std::uint64_t>());
    VersionCounts old;
    for (int i = 0; i < 200; ++i) {
      old.AddSuccess(Milliseconds(100 + random.Below(300)));
    }
    VersionCounts fresh;
    for (int i = 0; i < 20; ++i) {
      fresh.AddSuccess(Milliseconds(200));
    }
    fresh.failures = 20;
    RC_ASSERT(FindFault(fresh, old) == VersionFault::kFailures);
    VersionCounts slow;
    for (int i = 0; i < 20; ++i) {
      slow.AddSuccess(Milliseconds(800 + random.Below(2'400)));
    }
    RC_ASSERT(FindFault(slow, old) == VersionFault::kTimes);
  }));
}

TEST_CASE("the first share spends a third of what is allowed") {
  RolloutProgress progress;
  progress.elapsed = Seconds(2);
  progress.duration = Seconds(15);
  progress.has_upstreams = true;
  for (const double rate : {20.0, 300.0, 3'000.0}) {
    progress.calls_per_s = rate;
    const auto share = NextShare({100, 50}, progress);
    REQUIRE(share);
    const double half = rate * 7.5 * *share / 1'000;
    CHECK(half <= 0.4 * (0.1 * rate * 15 + 50));
  }
  progress.has_upstreams = false;
  CHECK_FALSE(NextShare({100, 50}, progress));
}

}  // namespace
}  // namespace cassiabend::testing
