#include "cassiabend/core/order_claims.h"

#include <doctest/doctest.h>

#include "tests/call_support.h"

namespace cassiabend::testing {
namespace {

constexpr AttemptId kFirst{0, 1};
constexpr AttemptId kSecond{0, 2};
constexpr OrderId kOrder{9, 9};
constexpr LeaseId kLease = 5;

/// \brief `OrderClaims` whose store calls the test replies to.
class OrderClaimsDriver {
 public:
  OrderClaimsDriver()
      : context_{.options = {}, .self = MakeMember(1), .random = Random(1)},
        claims_(&context_) {
    context_.out = &effects_;
    context_.now.mono = MonoTime(Seconds(100));
    Tick(Milliseconds(0));
  }

  OrderClaims& order_claims() { return claims_; }

  void Advance(Milliseconds step) { context_.now.mono += step; }
  void Tick(Milliseconds step) {
    Advance(step);
    claims_.Tick();
  }
  /// \returns The oldest store call without a reply, of type `T`.
  template <typename T>
  T TakeStoreCall() {
    REQUIRE(!effects_.empty());
    const StoreCall call = std::get<StoreCall>(effects_.front());
    effects_.erase(effects_.begin());
    REQUIRE(std::holds_alternative<T>(call.request));
    last_ = call.id;
    return std::get<T>(call.request);
  }
  /// \brief Replies to the store call that was taken last.
  void Reply(StoreStatus status,
             std::optional<StoreEntry> entry = std::nullopt,
             StoreRevision revision = 0) {
    StoreReply reply;
    reply.status = status;
    reply.entry = std::move(entry);
    reply.store_revision = revision;
    reply.lease = kLease;
    claims_.Reduce(StoreReplied{last_, reply});
  }
  void GrantLease() {
    TakeStoreCall<StoreLeaseGrant>();
    Reply(StoreStatus::kOk);
  }
  /// \returns The only outcome since the last call of this method.
  std::optional<ClaimOutcome> Outcome() {
    const auto outcomes = claims_.TakeOutcomes();
    return outcomes.size() == 1 ? std::optional(outcomes[0]) : std::nullopt;
  }

 private:
  std::vector<CallEffect> effects_;
  CallContext context_;
  OrderClaims claims_;
  StoreCallId last_;
};

StoreEntry EntryOf(const AttemptId& owner, StoreRevision revision) {
  return {"", ToHex(owner) + " 10.0.0.9:7000 100", revision};
}

TEST_CASE("an order is claimed once the store has written it") {
  OrderClaimsDriver driver;
  driver.order_claims().Claim(kOrder, kFirst);
  const auto grant = driver.TakeStoreCall<StoreLeaseGrant>();
  CHECK(grant.ttl >= Seconds(600));
  driver.Reply(StoreStatus::kOk);
  const auto swap = driver.TakeStoreCall<StoreCompareAndSwap>();
  CHECK(swap.expected == 0);
  CHECK(swap.lease == kLease);
  CHECK(!driver.Outcome());
  driver.Reply(StoreStatus::kOk, std::nullopt, 3);
  CHECK(driver.Outcome() == ClaimOutcome{kFirst, ClaimResult::kClaimed});
  CHECK(driver.order_claims().OwnerOf(kOrder) == kFirst);
}

TEST_CASE("a claim whose reply was lost is recognised as this attempt's own") {
  OrderClaimsDriver driver;
  driver.order_claims().Claim(kOrder, kFirst);
  driver.GrantLease();
  driver.TakeStoreCall<StoreCompareAndSwap>();
  driver.Reply(StoreStatus::kUnknown);
  driver.TakeStoreCall<StoreCompareAndSwap>();
  driver.Reply(StoreStatus::kConflict, EntryOf(kFirst, 3));
  CHECK(driver.TakeStoreCall<StoreCompareAndSwap>().expected == 3);
  driver.Reply(StoreStatus::kOk, std::nullopt, 4);
  CHECK(driver.Outcome() == ClaimOutcome{kFirst, ClaimResult::kClaimed});
}

TEST_CASE("a claim of another attempt is believed if it persists") {
  for (const bool goes : {false, true}) {
    OrderClaimsDriver driver;
    driver.order_claims().Claim(kOrder, kFirst);
    driver.GrantLease();
    driver.TakeStoreCall<StoreCompareAndSwap>();
    driver.Reply(StoreStatus::kConflict, EntryOf(kSecond, 3));
    driver.Tick(Milliseconds(30));
    driver.TakeStoreCall<StoreGet>();
    if (goes) {
      driver.Reply(StoreStatus::kOk);
      CHECK(driver.TakeStoreCall<StoreCompareAndSwap>().expected == 0);
      continue;
    }
    driver.Reply(StoreStatus::kOk, EntryOf(kSecond, 3));
    driver.Tick(Milliseconds(30));
    driver.TakeStoreCall<StoreGet>();
    driver.Reply(StoreStatus::kOk, EntryOf(kSecond, 3));
    driver.Tick(Milliseconds(30));
    CHECK(driver.Outcome() == ClaimOutcome{kFirst, ClaimResult::kTaken});
    CHECK(driver.order_claims().size() == 0);
  }
}

TEST_CASE("the claim of an attempt that was not run is deleted") {
  OrderClaimsDriver driver;
  driver.order_claims().Claim(kOrder, kFirst);
  driver.GrantLease();
  driver.TakeStoreCall<StoreCompareAndSwap>();
  driver.Reply(StoreStatus::kOk, std::nullopt, 3);
  driver.order_claims().Release(kOrder);
  CHECK(!driver.order_claims().OwnerOf(kOrder));
  CHECK(driver.TakeStoreCall<StoreCompareAndDelete>().expected == 3);
  driver.Reply(StoreStatus::kUnknown);
  driver.Tick(Milliseconds(1'000));
  CHECK(driver.TakeStoreCall<StoreCompareAndDelete>().expected == 3);
  driver.Reply(StoreStatus::kConflict);
  CHECK(driver.order_claims().size() == 0);
}

TEST_CASE("a claim that is being deleted is taken over by the same node") {
  OrderClaimsDriver driver;
  driver.order_claims().Claim(kOrder, kFirst);
  driver.GrantLease();
  driver.TakeStoreCall<StoreCompareAndSwap>();
  driver.order_claims().Release(kOrder);
  driver.order_claims().Claim(kOrder, kSecond);
  driver.Reply(StoreStatus::kOk, std::nullopt, 3);
  CHECK(driver.TakeStoreCall<StoreCompareAndSwap>().expected == 3);
  driver.Reply(StoreStatus::kOk, std::nullopt, 4);
  CHECK(driver.Outcome() == ClaimOutcome{kSecond, ClaimResult::kClaimed});
}

TEST_CASE("without the store nothing is claimed") {
  struct Row {
    StoreStatus status;
    int answers;
  };
  for (const Row& row :
       {Row{StoreStatus::kUnavailable, 1}, Row{StoreStatus::kUnknown, 3}}) {
    OrderClaimsDriver driver;
    driver.order_claims().Claim(kOrder, kFirst);
    driver.GrantLease();
    for (int n = 0; n < row.answers; ++n) {
      CHECK(!driver.Outcome());
      driver.TakeStoreCall<StoreCompareAndSwap>();
      driver.Reply(row.status);
    }
    CHECK(driver.Outcome() == ClaimOutcome{kFirst, ClaimResult::kUnavailable});
    CHECK(!driver.order_claims().is_available());
    driver.Tick(Milliseconds(200));
    CHECK(driver.order_claims().is_available());
  }
}

TEST_CASE("a reply later than the lease allows does not claim") {
  OrderClaimsDriver driver;
  driver.order_claims().Claim(kOrder, kFirst);
  driver.GrantLease();
  driver.TakeStoreCall<StoreCompareAndSwap>();
  driver.Tick(Milliseconds(4'999));
  driver.Reply(StoreStatus::kOk, std::nullopt, 3);
  CHECK(driver.Outcome());

  OrderClaimsDriver paused;
  paused.order_claims().Claim(kOrder, kFirst);
  paused.GrantLease();
  paused.TakeStoreCall<StoreCompareAndSwap>();
  paused.Advance(Milliseconds(120'000));
  paused.Reply(StoreStatus::kOk, std::nullopt, 3);
  CHECK(!paused.Outcome());
  paused.GrantLease();
  CHECK(paused.TakeStoreCall<StoreCompareAndSwap>().expected == 3);
}

TEST_CASE("no order is claimed after the store's revision went back") {
  OrderClaimsDriver driver;
  driver.order_claims().Claim(kOrder, kFirst);
  driver.GrantLease();
  driver.TakeStoreCall<StoreCompareAndSwap>();
  driver.Reply(StoreStatus::kOk, std::nullopt, 30);
  CHECK(driver.Outcome());
  driver.Tick(Milliseconds(10));
  driver.order_claims().Claim({9, 8}, kSecond);
  driver.TakeStoreCall<StoreCompareAndSwap>();
  driver.Reply(StoreStatus::kOk, std::nullopt, 20);
  CHECK(driver.Outcome() == ClaimOutcome{kSecond, ClaimResult::kUnavailable});
  driver.Tick(Milliseconds(599'000));
  CHECK(!driver.order_claims().is_available());
  driver.Tick(Milliseconds(1'000));
  CHECK(driver.order_claims().is_available());
}

TEST_CASE("the rate of claims is bounded") {
  OrderClaimsDriver driver;
  int claims = 0;
  while (driver.order_claims().has_room()) {
    ++claims;
    const auto n = static_cast<std::uint64_t>(claims);
    driver.order_claims().Claim({1, n}, {2, n});
  }
  CHECK(claims == 50);
  driver.Tick(Milliseconds(20));
  CHECK(driver.order_claims().has_room());
}

TEST_CASE("a drain waits until the claim of a refused order is deleted") {
  CallNode node(MakeMember(2));
  node.MakeReady({});
  AttemptRequest request;
  request.id = kFirst;
  request.destination_start_id = 100;
  request.service = "svc";
  request.once = true;
  request.order_key = "k";
  request.deadline = Milliseconds(4'000);
  node.Do(AttemptArrived{1, request});
  StoreReply reply;
  reply.status = StoreStatus::kOk;
  reply.lease = kLease;
  reply.store_revision = 3;
  node.Do(StoreReplied{node.Only<StoreCall>()->id, reply});
  const StoreCallId swap = node.Only<StoreCall>()->id;
  node.Do(DrainRequested{});
  CHECK(node.Only<ReplyNotRun>());
  CHECK(!node.Only<DrainFinished>());
  node.Do(StoreReplied{swap, reply});
  const auto call = node.Only<StoreCall>();
  REQUIRE(call);
  CHECK(std::holds_alternative<StoreCompareAndDelete>(call->request));
  CHECK(!node.Only<DrainFinished>());
  node.Do(StoreReplied{call->id, reply});
  CHECK(node.Only<DrainFinished>());
}

TEST_CASE("another attempt at the same node gets the first one's answer") {
  CallNode node(MakeMember(2));
  node.MakeReady({});
  AttemptRequest request;
  request.id = kFirst;
  request.destination_start_id = 100;
  request.service = "svc";
  request.once = true;
  request.order_key = "k";
  request.deadline = Milliseconds(4'000);
  node.Do(AttemptArrived{1, request});
  REQUIRE(node.Only<StoreCall>());
  StoreReply reply;
  reply.status = StoreStatus::kOk;
  reply.lease = kLease;
  reply.store_revision = 3;
  node.Do(StoreReplied{node.Only<StoreCall>()->id, reply});
  CHECK(!node.Only<StartUpstream>());
  node.Do(StoreReplied{node.Only<StoreCall>()->id, reply});
  CHECK(node.Only<StartUpstream>());
  request.id = kSecond;
  node.Do(AttemptArrived{2, request});
  CHECK(node.effects().empty());
  node.Do(UpstreamAnswerCompleted{kFirst});
  int bound = 0;
  for (const CallEffect& it : node.effects()) {
    const auto* bind = std::get_if<SendAnswer>(&it);
    bound += bind != nullptr && bind->attempt == kFirst ? 1 : 0;
  }
  CHECK(bound == 2);
  for (ConnectionId link = 3; link <= 9; ++link) {
    request.id = {0, link};
    node.Do(AttemptArrived{link, request});
    REQUIRE(node.Only<SendAnswer>());
    CHECK(node.Only<SendAnswer>()->connection == link);
  }
  for (ConnectionId link = 1; link <= 9; ++link) {
    node.Do(AnswerSent{link});
  }
  node.Tick(Milliseconds(10'000));
  request.id = {0, 10};
  node.Do(AttemptArrived{10, request});
  CHECK(node.Only<ReplyUnknown>());
}

}  // namespace
}  // namespace cassiabend::testing
