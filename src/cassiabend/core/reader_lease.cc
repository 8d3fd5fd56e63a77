#include "cassiabend/core/reader_lease.h"

#include <charconv>
#include <string_view>
#include <utility>

namespace cassiabend {
namespace {

/// Renewals within one lease.
constexpr std::int64_t kRenewalsPerLease = 3;
/// Time after the start in which a node learns who reads already.
constexpr Milliseconds kFirstTryDelay{500};
constexpr Milliseconds kTryJitter{1'000};
/// Time after the start in which only holders of a lease read the head.
constexpr Milliseconds kUnleasedReadDelay{3'000};
/// Pause after all slots were found taken, perhaps by members that are gone.
constexpr Milliseconds kTakenPause{3'000};

}  // namespace

ReaderLease::ReaderLease(const Member& self)
    : zone_(self.zone),
      claim_(ToString(self.id) + "#" + std::to_string(self.start_id) + "#") {}

std::string ReaderLease::SlotKey() const {
  return std::string(kReaderPrefix) + zone_ + "/" + std::to_string(slot_);
}

NodeId ReaderLease::TakeSeenHolder() {
  return std::exchange(seen_holder_, {});
}

void ReaderLease::Tick(const FleetContext& context,
                       const DisseminationTree& tree) {
  const MonoTime now = context.now();
  if (state_ == State::kReleased ||
      context.options().member_lease > Seconds(0)) {
    return;
  }
  if (next_try_at_ == MonoTime{}) {
    started_at_ = now;
    next_try_at_ =
        now + kFirstTryDelay + context.random().Jitter(kTryJitter / 2, 1.0);
  }
  if (state_ == State::kHeld) {
    if (now - valid_from_ >= context.options().reader_lease) {
      Lapse(context);
      return;
    }
    if (pending_.IsOverdueAt(now)) {
      pending_.Abandon();
    }
    if (!pending_.active() && now >= next_renewal_at_) {
      Renew(context);
    }
    return;
  }
  if (pending_.IsOverdueAt(now)) {
    pending_.Abandon();
    Fail(context);
  }
  const bool wanted = tree.is_reader_candidate() &&
                      tree.other_readers() < context.options().readers_per_zone;
  if (state_ == State::kIdle && wanted && now >= next_try_at_) {
    slots_tried_ = 0;
    slot_ = static_cast<std::uint32_t>(
        context.random().Below(context.options().readers_per_zone));
    Look(context);
  }
}

bool ReaderLease::ShouldRead(const FleetContext& context,
                             const DisseminationTree& tree) const {
  if (state_ == State::kReleased) {
    return false;
  }
  return holds() || (tree.is_root() && tree.other_readers() == 0 &&
                     context.now() - started_at_ >= kUnleasedReadDelay);
}

bool ReaderLease::OnReply(const FleetContext& context,
                          const StoreReplied& replied) {
  if (!pending_.Finish(replied.id.sequence)) {
    return false;
  }
  using Handler = void (ReaderLease::*)(const FleetContext&, const StoreReply&);
  static constexpr Handler kHandlers[] = {
      nullptr,
      &ReaderLease::OnLooked,
      &ReaderLease::OnGranted,
      &ReaderLease::OnClaimed,
      &ReaderLease::OnChecked,
      &ReaderLease::OnRenewed,
      nullptr,
  };
  const Handler handler = kHandlers[static_cast<std::size_t>(state_)];
  if (handler != nullptr) {
    (this->*handler)(context, replied.reply);
  }
  return true;
}

void ReaderLease::Look(const FleetContext& context) {
  state_ = State::kLooking;
  pending_.Start(context, StoreGet{SlotKey()}, kStoreCallTimeout);
}

void ReaderLease::OnLooked(const FleetContext& context,
                           const StoreReply& reply) {
  if (reply.status != StoreStatus::kOk) {
    Fail(context);
    return;
  }
  if (reply.entry) {
    OnTaken(context, reply);
    return;
  }
  state_ = State::kGranting;
  call_sent_at_ = context.now();
  pending_.Start(context, StoreLeaseGrant{context.options().reader_lease},
                 kStoreCallTimeout);
}

void ReaderLease::NextSlot(const FleetContext& context,
                           const StoreReply& reply) {
  if (reply.entry) {
    const std::string& value = reply.entry->value;
    (void)ParseNodeId(value.substr(0, value.find('#')), &seen_holder_);
  }
  if (lease_ != 0) {
    (void)context.CallStore(StoreLeaseRevoke{std::exchange(lease_, 0)});
  }
  if (++slots_tried_ < context.options().readers_per_zone) {
    slot_ = (slot_ + 1) % context.options().readers_per_zone;
    Look(context);
    return;
  }
  backoff_.Reset();
  state_ = State::kIdle;
  next_try_at_ = context.now() + context.random().Jitter(kTakenPause, 0.5);
}

void ReaderLease::OnGranted(const FleetContext& context,
                            const StoreReply& reply) {
  if (reply.status != StoreStatus::kOk || reply.lease == 0) {
    Fail(context);
    return;
  }
  lease_ = reply.lease;
  valid_from_ = call_sent_at_;
  state_ = State::kClaiming;
  const std::string value = claim_ + std::to_string(lease_);
  pending_.Start(context, StoreCompareAndSwap{SlotKey(), 0, value, lease_},
                 kStoreCallTimeout);
}

void ReaderLease::OnClaimed(const FleetContext& context,
                            const StoreReply& reply) {
  switch (reply.status) {
    case StoreStatus::kOk:
      Hold(context);
      return;
    case StoreStatus::kConflict:
      NextSlot(context, reply);
      return;
    case StoreStatus::kUnknown:
      // The claim may have taken effect.
      state_ = State::kChecking;
      pending_.Start(context, StoreGet{SlotKey()}, kStoreCallTimeout);
      return;
    case StoreStatus::kLeaseLost:
    case StoreStatus::kUnavailable:
      Fail(context);
      return;
  }
}

void ReaderLease::OnChecked(const FleetContext& context,
                            const StoreReply& reply) {
  if (reply.status != StoreStatus::kOk) {
    Fail(context);
    return;
  }
  if (reply.entry) {
    OnTaken(context, reply);
    return;
  }
  Fail(context);
}

void ReaderLease::OnTaken(const FleetContext& context,
                          const StoreReply& reply) {
  const std::string_view value = reply.entry->value;
  if (!value.starts_with(claim_)) {
    NextSlot(context, reply);
    return;
  }
  // An earlier claim of this process, whose answer was lost.
  const std::string_view digits = value.substr(claim_.size());
  LeaseId lease = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), lease);
  lease_ = lease;
  valid_from_ = context.now();
  Hold(context);
  next_renewal_at_ = context.now();
}

void ReaderLease::Hold(const FleetContext& context) {
  state_ = State::kHeld;
  backoff_.Reset();
  renewal_backoff_.Reset();
  const Nanoseconds period =
      Nanoseconds(context.options().reader_lease) / kRenewalsPerLease;
  next_renewal_at_ = context.now() + context.random().Jitter(period, 0.1);
}

void ReaderLease::Renew(const FleetContext& context) {
  call_sent_at_ = context.now();
  pending_.Start(context, StoreLeaseKeepAlive{lease_}, kStoreCallTimeout);
}

void ReaderLease::OnRenewed(const FleetContext& context,
                            const StoreReply& reply) {
  if (reply.status == StoreStatus::kLeaseLost) {
    Lapse(context);
    return;
  }
  if (reply.status != StoreStatus::kOk) {
    next_renewal_at_ = renewal_backoff_.NextAttemptTime(
        context, context.options().reader_retry_limit);
    return;
  }
  valid_from_ = call_sent_at_;
  Hold(context);
}

void ReaderLease::Lapse(const FleetContext& context) {
  pending_.Abandon();
  lease_ = 0;
  state_ = State::kIdle;
  next_try_at_ =
      backoff_.NextAttemptTime(context, context.options().reader_retry_limit);
}

void ReaderLease::Fail(const FleetContext& context) {
  // A lease that was granted runs out by itself.
  Lapse(context);
}

void ReaderLease::Release(const FleetContext& context) {
  pending_.Abandon();
  if (lease_ != 0) {
    (void)context.CallStore(StoreLeaseRevoke{std::exchange(lease_, 0)});
  }
  state_ = State::kReleased;
}

}  // namespace cassiabend
