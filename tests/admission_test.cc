#include "cassiabend/core/admission.h"

#include <doctest/doctest.h>

#include <map>
#include <memory>

#include "cassiabend/core/retry_budget.h"

namespace cassiabend {
namespace {

constexpr std::uint32_t kSlots = 10;

class AdmissionDriver {
 public:
  explicit AdmissionDriver(std::uint32_t queue_limit = 64)
      : queue_(MakeOptions(queue_limit)) {}
  AdmissionDriver(const AdmissionDriver&) = delete;
  AdmissionDriver& operator=(const AdmissionDriver&) = delete;
  ~AdmissionDriver() {
    while (queue_.AdmitNext(1'000'000) != nullptr) {
    }
  }

  AdmissionQueue& operator*() { return queue_; }
  AdmissionQueue* operator->() { return &queue_; }

  Attempt* Make(const std::string& team, const std::string& request_class) {
    attempts_.push_back(std::make_unique<Attempt>());
    Attempt* attempt = attempts_.back().get();
    attempt->request.team = team;
    attempt->request.request_class = request_class;
    return attempt;
  }
  Attempt* Enqueue(const std::string& team, const std::string& name) {
    return queue_.Enqueue(Make(team, name));
  }
  /// \returns The class of the next admitted attempt; empty for none.
  std::string Next() {
    const Attempt* attempt = queue_.AdmitNext(kSlots);
    return attempt == nullptr ? "" : attempt->request.request_class;
  }

 private:
  static CallOptions MakeOptions(std::uint32_t queue_limit) {
    CallOptions options;
    options.queue_limit = queue_limit;
    return options;
  }

  std::vector<std::unique_ptr<Attempt>> attempts_;
  AdmissionQueue queue_;
};

TEST_CASE("a class uses all free slots, and gives up its excess to others") {
  AdmissionDriver driver;
  std::vector<Attempt*> running;
  for (std::uint32_t n = 0; n < kSlots + 5; ++n) {
    CHECK(driver.Enqueue("t", "status") == nullptr);
  }
  while (Attempt* attempt = driver->AdmitNext(kSlots)) {
    running.push_back(attempt);
  }
  CHECK(running.size() == kSlots);
  for (int n = 0; n < 5; ++n) {
    CHECK(driver.Enqueue("t", "orders") == nullptr);
  }
  // The share of 600 thousandths lets the flooding class keep six of ten slots.
  for (int n = 0; n < 4; ++n) {
    driver->Release(*running.back(), Nanoseconds(0));
    running.pop_back();
    CHECK(driver.Next() == "orders");
  }
}

TEST_CASE("teams of one class are served round-robin") {
  AdmissionDriver driver;
  for (int n = 0; n < 6; ++n) {
    CHECK(driver.Enqueue("a", "status") == nullptr);
  }
  CHECK(driver.Enqueue("b", "status") == nullptr);
  CHECK(driver->AdmitNext(kSlots)->request.team == "a");
  CHECK(driver->AdmitNext(kSlots)->request.team == "b");
  CHECK(driver->AdmitNext(kSlots)->request.team == "a");
}

TEST_CASE("a full queue makes room by refusing from its longest flow") {
  AdmissionDriver driver(4);
  for (int n = 0; n < 4; ++n) {
    CHECK(driver.Enqueue("t", "status") == nullptr);
  }
  Attempt* late = driver.Make("t", "status");
  CHECK(driver->Enqueue(late) == late);
  Attempt* refused = driver.Enqueue("t", "orders");
  REQUIRE(refused != nullptr);
  CHECK(refused->request.request_class == "status");
  CHECK(driver->queued() == 4);
}

TEST_CASE("the expected wait grows with the queue of the flow") {
  AdmissionDriver driver;
  const Attempt* probe = driver.Make("t", "status");
  CHECK(driver->ExpectedWait(probe->request, kSlots) == Nanoseconds(0));
  for (std::uint32_t n = 0; n < kSlots; ++n) {
    CHECK(driver.Enqueue("t", "status") == nullptr);
    REQUIRE(driver->AdmitNext(kSlots) != nullptr);
  }
  Attempt* ended = driver.Make("t", "status");
  driver->Release(*ended, Milliseconds(100));
  CHECK(driver.Enqueue("t", "status") == nullptr);
  REQUIRE(driver->AdmitNext(kSlots) != nullptr);
  CHECK(driver->ExpectedWait(probe->request, kSlots) == Milliseconds(10));
  for (int n = 0; n < 9; ++n) {
    CHECK(driver.Enqueue("t", "status") == nullptr);
  }
  CHECK(driver->ExpectedWait(probe->request, kSlots) == Milliseconds(100));
  const Attempt* other = driver.Make("t", "orders");
  CHECK(driver->ExpectedWait(other->request, kSlots) == Milliseconds(20));
}

TEST_CASE("retries are bounded for each team and class") {
  RetryBudget budget(200);
  int granted = 0;
  for (int n = 0; n < 1'000; ++n) {
    budget.Deposit("t", "status");
    granted += budget.TryWithdraw("t", "status") ? 1 : 0;
  }
  // 1,000 calls add 200 retries to the 10 of a full balance. The first adds
  // nothing, since the balance is at its limit.
  CHECK(granted == 209);
  CHECK(budget.granted() == 209);
  CHECK(budget.refused() == 791);
  CHECK(budget.TryWithdraw("t", "orders"));
  CHECK(budget.TryWithdraw("u", "status"));
}

/// \brief How the calls of a simulated overload ended.
struct OverloadResult {
  /// Answered within the objective.
  int timely = 0;
  /// Answered after the objective and before the deadline.
  int late = 0;
  int refused = 0;
  /// Answered after the deadline.
  int lost = 0;
};

/// \brief Simulates an overload in virtual time: for 10 s, 20 % more calls
/// arrive than ten slots can serve. Each takes 100 ms and has an objective of
/// 250 ms and a deadline of 600 ms.
OverloadResult ReplayOverload(bool by_objective) {
  constexpr Milliseconds kService{100};
  constexpr int kCalls = 1'200;
  CallOptions options;
  options.queue_limit = 1'000;
  options.order_by_objective = by_objective ? 1 : 0;
  AdmissionQueue queue(options);
  std::vector<std::unique_ptr<Attempt>> attempts;
  std::multimap<MonoTime, Attempt*> running;
  OverloadResult result;
  MonoTime now(Seconds(100));
  const auto start_waiting = [&] {
    while (Attempt* it = queue.AdmitNext(kSlots, now)) {
      if (now >= it->deadline || queue.IsTooLateToStart(*it, now)) {
        ++result.refused;
        queue.Release(*it, Nanoseconds(0));
        continue;
      }
      running.emplace(now + kService, it);
    }
  };
  const auto run_until = [&](MonoTime until) {
    while (!running.empty() && running.begin()->first <= until) {
      now = running.begin()->first;
      Attempt* it = running.begin()->second;
      running.erase(running.begin());
      queue.Release(*it, kService);
      result.timely += now <= it->objective_at ? 1 : 0;
      result.late += now > it->objective_at && now <= it->deadline ? 1 : 0;
      result.lost += now > it->deadline ? 1 : 0;
      start_waiting();
    }
    now = until;
  };
  for (int i = 0; i < kCalls; ++i) {
    run_until(MonoTime(Seconds(100)) + i * Milliseconds(10'000) / kCalls);
    attempts.push_back(std::make_unique<Attempt>());
    Attempt* it = attempts.back().get();
    it->request.request_class = "read";
    it->arrived_at = now;
    it->objective_at = now + Milliseconds(250);
    it->deadline = now + Milliseconds(600);
    it->request.objective = Milliseconds(250);
    it->request.deadline = Milliseconds(600);
    CHECK(queue.Enqueue(it) == nullptr);
    start_waiting();
  }
  run_until(now + Seconds(2));
  return result;
}

TEST_CASE("in an overload the order by objective answers most calls in time") {
  const OverloadResult turns = ReplayOverload(false);
  const OverloadResult objective = ReplayOverload(true);
  // An answer within the objective is worth 1, a late one 0.3.
  const auto worth = [](const OverloadResult& it) {
    return it.timely + 0.3 * it.late;
  };
  CHECK(worth(objective) > worth(turns));
  // The slots can serve 1,000 of the 1,200 calls.
  CHECK(objective.timely >= 850);
  CHECK(objective.timely + objective.late + objective.refused +
            objective.lost ==
        1'200);
}

/// The margin for varying service times must not exceed the objective: then all
/// attempts of the class would count as late.
TEST_CASE("a class with times that vary beyond its objective is not put last") {
  CallOptions options;
  options.order_by_objective = 1;
  AdmissionQueue queue(options);
  std::vector<std::unique_ptr<Attempt>> attempts;
  const MonoTime now(Seconds(100));
  const auto add = [&](const char* name, std::uint32_t priority) {
    attempts.push_back(std::make_unique<Attempt>());
    Attempt* it = attempts.back().get();
    it->request.request_class = name;
    it->request.priority = priority;
    it->request.objective = Milliseconds(300);
    it->request.deadline = Milliseconds(800);
    it->objective_at = now + Milliseconds(300);
    it->deadline = now + Milliseconds(800);
    CHECK(queue.Enqueue(it) == nullptr);
    return it;
  };
  // Orders take 200 ms on average: half of them 20 ms and half 380 ms.
  for (int i = 0; i < 200; ++i) {
    Attempt* it = add("order", 0);
    CHECK(queue.AdmitNext(1, now) == it);
    queue.Release(*it, Milliseconds(i % 2 == 0 ? 20 : 380));
  }
  for (int i = 0; i < 50; ++i) {
    Attempt* it = add("read", 1);
    CHECK(queue.AdmitNext(1, now) == it);
    queue.Release(*it, Milliseconds(50));
  }
  add("read", 1);
  const Attempt* order = add("order", 0);
  CHECK(queue.AdmitNext(1, now) == order);
}

TEST_CASE("attempts rank by timely or late, then priority, then latest start") {
  const MonoTime now(Seconds(100));
  const auto rank = [now](std::uint32_t priority, int objective, int deadline) {
    return RankByObjective(now, priority, now + Milliseconds(objective),
                           now + Milliseconds(deadline), Milliseconds(100));
  };
  CHECK(rank(2, 150, 600) < rank(1, 50, 600));
  CHECK(rank(1, 400, 600) < rank(2, 150, 600));
  CHECK(rank(1, 150, 600) < rank(1, 400, 600));
  CHECK(rank(2, 50, 300) < rank(2, 50, 600));
  // An objective after the deadline is replaced by the deadline.
  CHECK(rank(1, 900, 300).start_by == now + Milliseconds(200));
}

}  // namespace
}  // namespace cassiabend
