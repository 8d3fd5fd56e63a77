#include "cassiabend/core/admission.h"

#include <doctest/doctest.h>

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
    while (queue_.TakeNext(1'000'000) != nullptr) {
    }
  }

  AdmissionQueue& operator*() { return queue_; }
  AdmissionQueue* operator->() { return &queue_; }

  Attempt* Make(const std::string& tenant, const std::string& request_class) {
    attempts_.push_back(std::make_unique<Attempt>());
    Attempt* attempt = attempts_.back().get();
    attempt->request.tenant = tenant;
    attempt->request.request_class = request_class;
    return attempt;
  }
  Attempt* Enqueue(const std::string& tenant, const std::string& name) {
    return queue_.Enqueue(Make(tenant, name));
  }
  /// \returns The class of the next attempt; empty for none.
  std::string Next() {
    const Attempt* attempt = queue_.TakeNext(kSlots);
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

TEST_CASE("a class takes free slots, and yields its share to others") {
  AdmissionDriver driver;
  std::vector<Attempt*> running;
  for (std::uint32_t n = 0; n < kSlots + 5; ++n) {
    CHECK(driver.Enqueue("t", "status") == nullptr);
  }
  while (Attempt* attempt = driver->TakeNext(kSlots)) {
    running.push_back(attempt);
  }
  CHECK(running.size() == kSlots);
  for (int n = 0; n < 5; ++n) {
    CHECK(driver.Enqueue("t", "orders") == nullptr);
  }
  // 600 of 1,000 slots: the flood keeps six.
  for (int n = 0; n < 4; ++n) {
    driver->Release(*running.back(), Nanoseconds(0));
    running.pop_back();
    CHECK(driver.Next() == "orders");
  }
}

TEST_CASE("tenants of one class take turns") {
  AdmissionDriver driver;
  for (int n = 0; n < 6; ++n) {
    CHECK(driver.Enqueue("a", "status") == nullptr);
  }
  CHECK(driver.Enqueue("b", "status") == nullptr);
  CHECK(driver->TakeNext(kSlots)->request.tenant == "a");
  CHECK(driver->TakeNext(kSlots)->request.tenant == "b");
  CHECK(driver->TakeNext(kSlots)->request.tenant == "a");
}

TEST_CASE("a full queue makes room at the cost of its longest flow") {
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
    REQUIRE(driver->TakeNext(kSlots) != nullptr);
  }
  Attempt* ended = driver.Make("t", "status");
  driver->Release(*ended, Milliseconds(100));
  CHECK(driver.Enqueue("t", "status") == nullptr);
  REQUIRE(driver->TakeNext(kSlots) != nullptr);
  CHECK(driver->ExpectedWait(probe->request, kSlots) == Milliseconds(10));
  for (int n = 0; n < 9; ++n) {
    CHECK(driver.Enqueue("t", "status") == nullptr);
  }
  CHECK(driver->ExpectedWait(probe->request, kSlots) == Milliseconds(100));
  const Attempt* other = driver.Make("t", "orders");
  CHECK(driver->ExpectedWait(other->request, kSlots) == Milliseconds(20));
}

TEST_CASE("retries are bounded for each tenant and class") {
  RetryBudget budget(200);
  int granted = 0;
  for (int n = 0; n < 1'000; ++n) {
    budget.Earn("t", "status");
    granted += budget.Spend("t", "status") ? 1 : 0;
  }
  // A full balance of 10 and 200 earned.
  CHECK(granted == 209);
  CHECK(budget.granted() == 209);
  CHECK(budget.refused() == 791);
  CHECK(budget.Spend("t", "orders"));
  CHECK(budget.Spend("u", "status"));
}

}  // namespace
}  // namespace cassiabend
