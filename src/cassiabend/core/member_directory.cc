#include "cassiabend/core/member_directory.h"

#include <string>
#include <utility>

namespace cassiabend {
namespace {

/// Renewals within one lease, so that two of them may fail.
constexpr std::int64_t kRenewalsPerLease = 3;
/// Time over which the nodes of a small fleet spread the writes of their keys
/// after the store was restored, and how many write theirs in a second in a
/// large one. The store takes several hundred writes a second.
constexpr Milliseconds kLeastRewriteSpread{1'500};
constexpr std::size_t kRewritesPerSecond = 100;

}  // namespace

void MemberDirectory::Tick(const FleetContext& context,
                           const Membership& membership,
                           bool knows_peers) {
  const Seconds ttl = context.options().member_lease;
  if (ttl == Seconds(0) || step_ == Step::kReleased) {
    return;
  }
  const MonoTime now = context.now();
  if (pending_.IsOverdueAt(now)) {
    pending_.Abandon();
    ScheduleRetry(context);
  }
  if (listing_.IsOverdueAt(now)) {
    listing_.Abandon();
  }
  if (!pending_.active() && now >= next_at_) {
    switch (step_) {
      case Step::kGrant:
        pending_.Start(context, StoreLeaseGrant{ttl}, kStoreCallTimeout);
        break;
      case Step::kWrite: {
        const std::string self = ToString(membership.self().id);
        pending_.Start(context, StorePut{kMemberPrefix + self, self, lease_},
                       kStoreCallTimeout);
        break;
      }
      case Step::kHeld:
        pending_.Start(context, StoreLeaseKeepAlive{lease_}, kStoreCallTimeout);
        break;
      case Step::kReleased:
        break;
    }
  }
  if (knows_peers) {
    list_backoff_.Reset();
    return;
  }
  if (write_attempted_ && !listing_.active() && now >= next_list_at_) {
    listing_.Start(context, StoreList{kMemberPrefix}, kStoreCallTimeout);
    next_list_at_ = list_backoff_.NextAttemptTime(
        context, context.options().store_retry_limit);
  }
}

bool MemberDirectory::OnReply(const FleetContext& context,
                              const StoreReplied& replied) {
  const StoreReply& reply = replied.reply;
  if (listing_.Finish(replied.id.sequence)) {
    OnListed(reply);
    return true;
  }
  if (!pending_.Finish(replied.id.sequence)) {
    return false;
  }
  switch (step_) {
    case Step::kGrant:
      if (reply.status != StoreStatus::kOk) {
        ScheduleRetry(context);
        return true;
      }
      lease_ = reply.lease;
      step_ = Step::kWrite;
      next_at_ = context.now();
      return true;
    case Step::kWrite:
      OnWritten(context, reply);
      return true;
    case Step::kHeld:
      OnRenewed(context, reply);
      return true;
    case Step::kReleased:
      return true;
  }
  return true;
}

void MemberDirectory::OnWritten(const FleetContext& context,
                                const StoreReply& reply) {
  if (reply.status == StoreStatus::kLeaseLost) {
    step_ = Step::kGrant;
  }
  if (reply.status != StoreStatus::kOk) {
    ScheduleRetry(context);
    return;
  }
  step_ = Step::kHeld;
  OnRenewed(context, reply);
}

void MemberDirectory::OnRenewed(const FleetContext& context,
                                const StoreReply& reply) {
  write_attempted_ = true;
  if (reply.status == StoreStatus::kLeaseLost) {
    step_ = Step::kGrant;
    next_at_ = context.now();
    return;
  }
  if (reply.status != StoreStatus::kOk) {
    ScheduleRetry(context);
    return;
  }
  backoff_.Reset();
  const Nanoseconds period =
      Nanoseconds(context.options().member_lease) / kRenewalsPerLease;
  next_at_ = context.now() + context.random().Jitter(period, 0.2);
}

void MemberDirectory::OnListed(const StoreReply& reply) {
  if (reply.status != StoreStatus::kOk) {
    return;
  }
  for (const StoreEntry& it : reply.entries) {
    NodeId id;
    // A member writes its address under a key of that name; what another writer
    // has left here names no member.
    if (it.key == kMemberPrefix + it.value && ParseNodeId(it.value, &id)) {
      listed_.push_back(std::move(id));
    }
  }
}

void MemberDirectory::ScheduleRetry(const FleetContext& context) {
  write_attempted_ = true;
  next_at_ =
      backoff_.NextAttemptTime(context, context.options().store_retry_limit);
}

void MemberDirectory::OnStoreRestored(const FleetContext& context,
                                      std::size_t nodes) {
  if (context.options().member_lease == Seconds(0) ||
      step_ == Step::kReleased) {
    return;
  }
  pending_.Abandon();
  listing_.Abandon();
  lease_ = 0;
  step_ = Step::kGrant;
  const Milliseconds spread =
      kLeastRewriteSpread +
      Seconds(static_cast<std::int64_t>(nodes / kRewritesPerSecond));
  next_at_ = context.now() +
             Milliseconds(static_cast<std::int64_t>(context.random().Below(
                 static_cast<std::uint64_t>(spread.count()))));
}

void MemberDirectory::Release(const FleetContext& context) {
  if (lease_ != 0 && step_ != Step::kReleased) {
    (void)context.CallStore(StoreLeaseRevoke{lease_});
  }
  step_ = Step::kReleased;
}

std::vector<NodeId> MemberDirectory::TakeListedPeers() {
  return std::exchange(listed_, {});
}

}  // namespace cassiabend
