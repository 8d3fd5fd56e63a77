#include "cassiabend/core/order_claims.h"

#include <algorithm>
#include <utility>

namespace cassiabend {
namespace {

/// Most orders that one node remembers.
constexpr std::size_t kMaxOrders = 65'536;
/// Time for which one lease is attached to new claims.
constexpr Milliseconds kLeaseRotation{60'000};
/// A store call without a reply for this long counts as lost.
constexpr Milliseconds kStoreCallTimeout{5'000};
/// Unanswered writes of one claim after which it is given up.
constexpr std::uint32_t kMaxClaimFailures = 3;
/// Conflicts with another attempt's claim after which that claim is believed:
/// until then it may be one that is being deleted.
constexpr std::uint32_t kMaxConflicts = 3;
constexpr Milliseconds kConflictPause{30};
/// Pause between tries to delete a claim.
constexpr Milliseconds kReleasePause{1'000};
/// Time without new claims after the store refused a call or did not answer
/// one.
constexpr Milliseconds kUnavailablePause{200};

std::string KeyOf(const OrderId& id) {
  return kOrderPrefix + ToHex(id);
}

/// \returns The value of a claim: the attempt and, for operators, its node.
std::string ValueOf(const AttemptId& attempt, const Member& self) {
  return ToHex(attempt) + " " + ToString(self.id) + " " +
         std::to_string(self.start_id);
}

std::optional<AttemptId> ParseOwner(const std::string& value) {
  AttemptId id;
  if (!FromHex(std::string_view(value).substr(0, value.find(' ')), &id)) {
    return std::nullopt;
  }
  return id;
}

}  // namespace

std::optional<OrderId> OrderOf(const AttemptRequest& request) {
  if (!request.once || request.order_key.empty()) {
    return std::nullopt;
  }
  // Lengths keep ("ab", "c") and ("a", "bc") apart.
  const std::string text = std::to_string(request.team.size()) + ":" +
                           request.team +
                           std::to_string(request.service.size()) + ":" +
                           request.service + request.order_key;
  return HashText(text);
}

std::optional<AttemptId> OrderClaims::OwnerOf(const OrderId& order) const {
  const auto it = orders_.find(order);
  return it == orders_.end() ? std::nullopt : it->second.owner;
}

bool OrderClaims::is_available() const noexcept {
  return context_->now.mono >= unavailable_until_ &&
         context_->now.mono >= restored_until_;
}

bool OrderClaims::has_room() const noexcept {
  return orders_.size() < kMaxOrders && tokens_ >= 1.0;
}

std::vector<ClaimOutcome> OrderClaims::TakeOutcomes() {
  return std::exchange(outcomes_, {});
}

void OrderClaims::Claim(const OrderId& id, const AttemptId& attempt) {
  tokens_ -= 1.0;
  Order& order = orders_[id];
  order.id = id;
  order.owner = attempt;
  order.claimed = false;
  order.failures = 0;
  order.conflicts = 0;
  order.forget_at = context_->now.mono + context_->options.order_memory +
                    LongestDeadline(context_->options);
  timers_.Schedule(&order, order.forget_at);
  Advance(&order);
}

void OrderClaims::Release(const OrderId& id) {
  const auto it = orders_.find(id);
  if (it == orders_.end() || !it->second.owner) {
    return;
  }
  Order* order = &it->second;
  order->released.push_back(*order->owner);
  order->owner.reset();
  order->claimed = false;
  Advance(order);
}

// Leases.

Milliseconds OrderClaims::LeaseTtl() const {
  const CallOptions& options = context_->options;
  return options.order_memory + LongestDeadline(options) + 2 * kLeaseRotation;
}

bool OrderClaims::HasLease() const {
  return lease_ != 0 &&
         context_->now.mono - current_lease_requested_at_ < kLeaseRotation;
}

void OrderClaims::RequestLease() {
  if (lease_sequence_ != 0) {
    return;
  }
  lease_sequence_ = next_sequence_++;
  pending_lease_requested_at_ = context_->now.mono;
  const Seconds ttl = std::chrono::ceil<Seconds>(LeaseTtl());
  context_->Emit(StoreCall{{StoreClientRole::kCalls, lease_sequence_},
                           StoreLeaseGrant{ttl}});
}

void OrderClaims::OnLeaseReply(const StoreReply& reply) {
  lease_sequence_ = 0;
  const bool granted = reply.status == StoreStatus::kOk && reply.lease != 0;
  if (granted) {
    lease_ = reply.lease;
    current_lease_requested_at_ = pending_lease_requested_at_;
  } else {
    unavailable_until_ = context_->now.mono + kUnavailablePause;
  }
  const std::vector<OrderId> waiting = std::exchange(waiting_for_lease_, {});
  for (const OrderId& it : waiting) {
    const auto found = orders_.find(it);
    if (found == orders_.end()) {
      continue;
    }
    Order* order = &found->second;
    if (!granted && order->owner && !order->claimed) {
      FailClaim(order, ClaimResult::kUnavailable);
      continue;
    }
    Advance(order);
  }
}

// Claim and release of one order.

bool OrderClaims::IsReleased(const Order& order, const AttemptId& id) const {
  return std::ranges::find(order.released, id) != order.released.end();
}

void OrderClaims::Advance(Order* order) {
  if (order->step != Step::kIdle) {
    return;
  }
  if (!order->owner) {
    AdvanceRelease(order);
  } else if (!order->claimed) {
    AdvanceClaim(order);
  }
}

void OrderClaims::AdvanceClaim(Order* order) {
  const bool foreign = order->revision != 0 && order->stored_owner &&
                       *order->stored_owner != *order->owner &&
                       !IsReleased(*order, *order->stored_owner);
  if (foreign && order->conflicts >= kMaxConflicts) {
    FailClaim(order, ClaimResult::kTaken);
    return;
  }
  if (foreign) {
    Send(order, Step::kGet, StoreGet{KeyOf(order->id)});
    return;
  }
  if (!HasLease()) {
    waiting_for_lease_.push_back(order->id);
    RequestLease();
    return;
  }
  order->lease_at = current_lease_requested_at_;
  order->written_owner = order->owner;
  Send(order, Step::kSwap,
       StoreCompareAndSwap{KeyOf(order->id), order->revision,
                           ValueOf(*order->owner, context_->self), lease_});
}

void OrderClaims::AdvanceRelease(Order* order) {
  if (!order->maybe_stored) {
    Erase(order);
    return;
  }
  if (order->revision != 0 && order->stored_owner &&
      IsReleased(*order, *order->stored_owner)) {
    Send(order, Step::kDelete,
         StoreCompareAndDelete{KeyOf(order->id), order->revision});
    return;
  }
  Send(order, Step::kGet, StoreGet{KeyOf(order->id)});
}

void OrderClaims::Send(Order* order, Step step, StoreRequest request) {
  order->step = step;
  order->sequence = next_sequence_++;
  order->sent_at = context_->now.mono;
  by_sequence_[order->sequence] = order->id;
  timers_.Schedule(order, context_->now.mono + kStoreCallTimeout);
  context_->Emit(StoreCall{{StoreClientRole::kCalls, order->sequence},
                           std::move(request)});
}

void OrderClaims::Reduce(const StoreReplied& event) {
  if (event.id.role != StoreClientRole::kCalls) {
    return;
  }
  if (event.id.sequence == lease_sequence_) {
    OnLeaseReply(event.reply);
    return;
  }
  const auto it = by_sequence_.find(event.id.sequence);
  if (it == by_sequence_.end()) {
    return;
  }
  Order* order = &orders_.at(it->second);
  by_sequence_.erase(it);
  DetectStoreRollback(*order, event.reply);
  const Step step = std::exchange(order->step, Step::kIdle);
  timers_.Schedule(order, order->forget_at);
  OnStoreReply(order, step, event.reply);
}

void OrderClaims::DetectStoreRollback(const Order& order,
                                      const StoreReply& reply) {
  const StorePosition position = reply.position();
  const bool has_new_era =
      store_position_.era != 0 && position.era > store_position_.era;
  if (!has_new_era && position >= store_position_) {
    store_position_ = position;
    store_position_at_ = context_->now.mono;
    return;
  }
  const bool older = order.sent_at > store_position_at_;
  if (!has_new_era && (position.revision == 0 || !older)) {
    return;
  }
  store_position_ = position;
  store_position_at_ = context_->now.mono;
  restored_until_ = context_->now.mono + context_->options.order_memory;
}

void OrderClaims::OnStoreReply(Order* order,
                               Step step,
                               const StoreReply& reply) {
  switch (reply.status) {
    case StoreStatus::kConflict:
      OnEntryRead(order, reply);
      return;
    case StoreStatus::kOk:
      if (step == Step::kSwap) {
        OnClaimWritten(order, reply);
      } else if (step == Step::kDelete) {
        OnClaimDeleted(order);
      } else {
        OnEntryRead(order, reply);
      }
      return;
    case StoreStatus::kLeaseLost:
      lease_ = 0;
      Advance(order);
      return;
    case StoreStatus::kUnavailable:
    case StoreStatus::kUnknown:
      OnStoreCallFailed(order, reply.status);
      return;
  }
}

void OrderClaims::OnEntryRead(Order* order, const StoreReply& reply) {
  order->failures = 0;
  order->revision = reply.entry ? reply.entry->revision : 0;
  order->stored_owner =
      reply.entry ? ParseOwner(reply.entry->value) : std::nullopt;
  const bool stored = order->stored_owner.has_value();
  if (order->owner && stored && *order->stored_owner == *order->owner) {
    // An earlier write took effect though its reply was lost. It is written
    // again, so that its lease is known to be recent.
    Advance(order);
    return;
  }
  if (!order->owner && (!stored || !IsReleased(*order, *order->stored_owner))) {
    Erase(order);
    return;
  }
  const bool foreign = stored && !IsReleased(*order, *order->stored_owner);
  if (!order->owner || !foreign) {
    Advance(order);
    return;
  }
  ++order->conflicts;
  timers_.Schedule(order, context_->now.mono + kConflictPause);
}

void OrderClaims::OnClaimDeleted(Order* order) {
  if (!order->owner) {
    Erase(order);
    return;
  }
  order->revision = 0;
  order->stored_owner.reset();
  Advance(order);
}

void OrderClaims::OnClaimWritten(Order* order, const StoreReply& reply) {
  order->failures = 0;
  order->maybe_stored = true;
  order->revision = reply.entry ? reply.entry->revision : reply.store_revision;
  order->stored_owner = order->written_owner;
  if (!order->owner || order->stored_owner != order->owner) {
    Advance(order);
    return;
  }
  if (context_->now.mono < restored_until_) {
    FailClaim(order, ClaimResult::kUnavailable);
    return;
  }
  if (context_->now.mono - order->lease_at >= 2 * kLeaseRotation) {
    // The reply was so late that the lease may expire too early.
    Advance(order);
    return;
  }
  order->claimed = true;
  outcomes_.push_back({*order->owner, ClaimResult::kClaimed});
}

void OrderClaims::OnStoreCallFailed(Order* order, StoreStatus status) {
  unavailable_until_ = context_->now.mono + kUnavailablePause;
  if (status == StoreStatus::kUnknown) {
    order->maybe_stored = true;
  }
  if (!order->owner && !order->maybe_stored) {
    Erase(order);
    return;
  }
  if (!order->owner) {
    timers_.Schedule(order, context_->now.mono + kReleasePause);
    return;
  }
  ++order->failures;
  if (status == StoreStatus::kUnavailable ||
      order->failures >= kMaxClaimFailures) {
    FailClaim(order, ClaimResult::kUnavailable);
    return;
  }
  Advance(order);
}

void OrderClaims::FailClaim(Order* order, ClaimResult result) {
  outcomes_.push_back({*order->owner, result});
  if (result == ClaimResult::kTaken) {
    Erase(order);
  }
}

// Timers.

void OrderClaims::Tick() {
  const MonoTime now = context_->now.mono;
  RefillTokens();
  if (lease_sequence_ != 0 &&
      now - pending_lease_requested_at_ >= kStoreCallTimeout) {
    OnLeaseReply(StoreReply{.status = StoreStatus::kUnknown});
  }
  while (Order* order = timers_.PopDue(now)) {
    OnTimerExpired(order);
  }
}

void OrderClaims::RefillTokens() {
  const double rate = context_->options.order_claims_per_second;
  const std::chrono::duration<double> passed =
      context_->now.mono - refilled_at_;
  refilled_at_ = context_->now.mono;
  tokens_ = std::min(rate, tokens_ + rate * passed.count());
}

void OrderClaims::OnTimerExpired(Order* order) {
  if (context_->now.mono >= order->forget_at) {
    Erase(order);
    return;
  }
  timers_.Schedule(order, order->forget_at);
  if (order->step == Step::kIdle) {
    Advance(order);
    return;
  }
  by_sequence_.erase(order->sequence);
  order->step = Step::kIdle;
  OnStoreCallFailed(order, StoreStatus::kUnknown);
}

void OrderClaims::Erase(Order* order) {
  by_sequence_.erase(order->sequence);
  orders_.erase(OrderId(order->id));
}

}  // namespace cassiabend
