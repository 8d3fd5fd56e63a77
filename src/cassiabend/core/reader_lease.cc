#include "cassiabend/core/reader_lease.h"

#include <charconv>
#include <string_view>
#include <utility>

namespace cassiabend {
namespace {

/// Renewals within the duration of one lease.
constexpr std::int64_t kRenewalsPerLease = 3;
/// Time after the start in which a node learns of the existing readers.
constexpr Milliseconds kFirstTryDelay{500};
constexpr Milliseconds kTryJitter{1'000};
/// Time after the start in which only lease holders read the head.
constexpr Milliseconds kUnleasedReadDelay{3'000};
/// Pause after all slots were found taken, perhaps by members that no longer
/// run.
constexpr Milliseconds kSlotsTakenPause{3'000};

}  // namespace

ReaderLease::ReaderLease(const Member& self)
    : zone_(self.zone),
      claim_prefix_(ToString(self.id) + "#" + std::to_string(self.start_id) +
                    "#") {}

std::string ReaderLease::SlotKey() const {
  return std::string(kReaderPrefix) + zone_ + "/" + std::to_string(slot_);
}

NodeId ReaderLease::TakeObservedHolder() {
  return std::exchange(observed_holder_, {});
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
      DropLease(context);
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
    ReadSlot(context);
  }
}

bool ReaderLease::ShouldRead(const FleetContext& context,
                             const DisseminationTree& tree) const {
  if (state_ == State::kReleased) {
    return false;
  }
  return is_held() || (tree.is_root() && tree.other_readers() == 0 &&
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
      &ReaderLease::OnSlotRead,
      &ReaderLease::OnLeaseGranted,
      &ReaderLease::OnSlotClaimed,
      &ReaderLease::OnClaimChecked,
      &ReaderLease::OnLeaseRenewed,
      nullptr,
  };
  const Handler handler = kHandlers[static_cast<std::size_t>(state_)];
  if (handler != nullptr) {
    (this->*handler)(context, replied.reply);
  }
  return true;
}

void ReaderLease::ReadSlot(const FleetContext& context) {
  state_ = State::kReadingSlot;
  pending_.Start(context, StoreGet{SlotKey()}, kStoreCallTimeout);
}

void ReaderLease::OnSlotRead(const FleetContext& context,
                             const StoreReply& reply) {
  if (reply.status != StoreStatus::kOk) {
    Fail(context);
    return;
  }
  if (reply.entry) {
    OnSlotTaken(context, reply);
    return;
  }
  state_ = State::kGrantingLease;
  call_sent_at_ = context.now();
  pending_.Start(context, StoreLeaseGrant{context.options().reader_lease},
                 kStoreCallTimeout);
}

void ReaderLease::TryNextSlot(const FleetContext& context,
                              const StoreReply& reply) {
  if (reply.entry) {
    const std::string& value = reply.entry->value;
    (void)ParseNodeId(value.substr(0, value.find('#')), &observed_holder_);
  }
  if (lease_ != 0) {
    (void)context.CallStore(StoreLeaseRevoke{std::exchange(lease_, 0)});
  }
  if (++slots_tried_ < context.options().readers_per_zone) {
    slot_ = (slot_ + 1) % context.options().readers_per_zone;
    ReadSlot(context);
    return;
  }
  backoff_.Reset();
  state_ = State::kIdle;
  next_try_at_ = context.now() + context.random().Jitter(kSlotsTakenPause, 0.5);
}

void ReaderLease::OnLeaseGranted(const FleetContext& context,
                                 const StoreReply& reply) {
  if (reply.status != StoreStatus::kOk || reply.lease == 0) {
    Fail(context);
    return;
  }
  lease_ = reply.lease;
  valid_from_ = call_sent_at_;
  state_ = State::kClaimingSlot;
  const std::string value = claim_prefix_ + std::to_string(lease_);
  pending_.Start(context, StoreCompareAndSwap{SlotKey(), 0, value, lease_},
                 kStoreCallTimeout);
}

void ReaderLease::OnSlotClaimed(const FleetContext& context,
                                const StoreReply& reply) {
  switch (reply.status) {
    case StoreStatus::kOk:
      EnterHeldState(context);
      return;
    case StoreStatus::kConflict:
      TryNextSlot(context, reply);
      return;
    case StoreStatus::kUnknown:
      // The claim may have taken effect.
      state_ = State::kCheckingClaim;
      pending_.Start(context, StoreGet{SlotKey()}, kStoreCallTimeout);
      return;
    case StoreStatus::kLeaseLost:
    case StoreStatus::kUnavailable:
      Fail(context);
      return;
  }
}

void ReaderLease::OnClaimChecked(const FleetContext& context,
                                 const StoreReply& reply) {
  if (reply.status != StoreStatus::kOk) {
    Fail(context);
    return;
  }
  if (reply.entry) {
    OnSlotTaken(context, reply);
    return;
  }
  Fail(context);
}

void ReaderLease::OnSlotTaken(const FleetContext& context,
                              const StoreReply& reply) {
  const std::string_view value = reply.entry->value;
  if (!value.starts_with(claim_prefix_)) {
    TryNextSlot(context, reply);
    return;
  }
  // An earlier claim of this process whose reply was lost.
  const std::string_view digits = value.substr(claim_prefix_.size());
  LeaseId lease = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), lease);
  lease_ = lease;
  valid_from_ = context.now();
  EnterHeldState(context);
  next_renewal_at_ = context.now();
}

void ReaderLease::EnterHeldState(const FleetContext& context) {
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

void ReaderLease::OnLeaseRenewed(const FleetContext& context,
                                 const StoreReply& reply) {
  if (reply.status == StoreStatus::kLeaseLost) {
    DropLease(context);
    return;
  }
  if (reply.status != StoreStatus::kOk) {
    next_renewal_at_ = renewal_backoff_.NextAttemptTime(
        context, context.options().reader_retry_limit);
    return;
  }
  valid_from_ = call_sent_at_;
  EnterHeldState(context);
}

void ReaderLease::DropLease(const FleetContext& context) {
  pending_.Abandon();
  lease_ = 0;
  state_ = State::kIdle;
  next_try_at_ =
      backoff_.NextAttemptTime(context, context.options().reader_retry_limit);
}

void ReaderLease::OnStoreRestored(const FleetContext& context) {
  if (state_ != State::kIdle && state_ != State::kReleased) {
    DropLease(context);
  }
}

void ReaderLease::Fail(const FleetContext& context) {
  // A lease that was already granted expires in the store.
  DropLease(context);
}

void ReaderLease::Release(const FleetContext& context) {
  pending_.Abandon();
  if (lease_ != 0) {
    (void)context.CallStore(StoreLeaseRevoke{std::exchange(lease_, 0)});
  }
  state_ = State::kReleased;
}

}  // namespace cassiabend
