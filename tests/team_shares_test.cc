#include "cassiabend/core/queueing/team_shares.h"

#include <doctest/doctest.h>

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cassiabend/core/admission.h"

namespace cassiabend {
namespace {

constexpr Milliseconds kWork{50};

/// \brief One upstream of one slot, whose callers wait in an admission queue.
class TeamWorld {
 public:
  explicit TeamWorld(bool by_team) : queue_(OptionsOf(by_team)) {}
  TeamWorld(const TeamWorld&) = delete;
  TeamWorld& operator=(const TeamWorld&) = delete;
  ~TeamWorld() {
    while (queue_.AdmitNext(1'000'000, now_) != nullptr) {
    }
  }

  void Send(const std::string& team,
            std::uint64_t weight,
            std::uint32_t priority = 0) {
    attempts_.push_back(std::make_unique<Attempt>());
    Attempt* it = attempts_.back().get();
    it->request.team = team;
    it->request.team_weight = weight;
    it->request.team_priority = priority;
    it->request.objective = Milliseconds(600);
    it->request.deadline = Milliseconds(2'000);
    it->objective_at = now_ + it->request.objective;
    it->deadline = now_ + it->request.deadline;
    const Nanoseconds wait = queue_.ExpectedWait(it->request, 1, now_);
    if (wait != kNeverServed && wait + kWork < it->request.deadline) {
      (void)queue_.Enqueue(it);
    } else {
      ++refused_at_once[team];
    }
  }
  /// \brief Runs the next attempt to its end.
  void RunNext() {
    now_ += kWork;
    RemoveHopeless();
    Attempt* next = queue_.AdmitNext(1, now_);
    while (next != nullptr && queue_.IsTooLateToStart(*next, now_)) {
      queue_.Release(*next, Nanoseconds(0));
      next = queue_.AdmitNext(1, now_);
    }
    if (next != nullptr) {
      queue_.Release(*next, kWork);
      ++served[next->request.team];
    }
  }

  std::map<std::string, int> served;
  std::map<std::string, int> refused_at_once;

 private:
  /// \brief Refuses what waits in vain, as the destination's timers do.
  void RemoveHopeless() {
    for (const auto& it : attempts_) {
      if (it->is_waiting() && (queue_.IsTooLateToStart(*it, now_) ||
                               queue_.WillMissDeadline(*it, 1, now_))) {
        queue_.Remove(it.get());
      }
    }
  }
  static CallOptions OptionsOf(bool by_team) {
    CallOptions options;
    options.order_by_objective = 1;
    options.team_shares = by_team ? 1 : 0;
    return options;
  }

  MonoTime now_{Seconds(100)};
  std::vector<std::unique_ptr<Attempt>> attempts_;
  AdmissionQueue queue_;
};

/// \brief Team "a" sends seven times what "b" and "c" send each, which together
/// are less than the slot serves.
void ReplayHotTeam(TeamWorld* world) {
  for (int n = 0; n < 1'200; ++n) {
    for (int i = 0; i < 2; ++i) {
      world->Send("a", 10);
    }
    if (n % 10 < 3) {
      world->Send("b", 10);
      world->Send("c", 10);
    }
    world->RunNext();
  }
}

TEST_CASE("a hot team takes its own share and what the others leave") {
  TeamWorld former(false);
  TeamWorld shared(true);
  ReplayHotTeam(&former);
  ReplayHotTeam(&shared);
  MESSAGE("of 360 calls of a calm team: " << former.served["b"] << " in order, "
                                          << shared.served["b"]
                                          << " with shares");
  CHECK(former.served["b"] < 330);
  CHECK(shared.served["b"] > 340);
  CHECK(shared.served["c"] > 340);
  // Idle room goes to whoever asks.
  CHECK(shared.served["a"] > 440);
  CHECK(shared.refused_at_once["b"] <= 5);
}

TEST_CASE("teams that all wait are served by weight") {
  TeamWorld world(true);
  for (int n = 0; n < 600; ++n) {
    world.Send("large", 30);
    world.Send("small", 10);
    world.RunNext();
  }
  CHECK(world.served["large"] > 420);
  CHECK(world.served["small"] > 130);
}

TEST_CASE("a team's priority decides within what is fair") {
  TeamShares shares;
  constexpr Nanoseconds kCost{100};
  shares.Enter("a");
  shares.Charge("a", 1, kCost, shares.UsedBy("a"));
  // A team that has waited for nothing has saved up nothing.
  shares.Charge("a", 1, kCost, shares.UsedBy("a"));
  shares.Enter("b");
  CHECK(shares.UsedBy("b") == 100);
  CHECK(shares.UsedBy("a") == 200);
  CHECK_FALSE(
      TeamShares::IsDue(shares.UsedBy("a"), shares.UsedBy("b"), 1, kCost));
  CHECK(TeamShares::IsDue(shares.UsedBy("b"), shares.UsedBy("b"), 1, kCost));

  TeamWorld world(true);
  world.Send("late", 1, 1);
  world.Send("first", 1, 0);
  world.RunNext();
  CHECK(world.served["first"] == 1);
}

}  // namespace
}  // namespace cassiabend
