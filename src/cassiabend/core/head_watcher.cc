#include "cassiabend/core/head_watcher.h"

#include <utility>

#include "cassiabend/base/error.h"
#include "cassiabend/core/head_codec.h"
#include "cassiabend/model/codec.h"

namespace cassiabend {
namespace {

/// A watch without a reply this long after its wait counts as dead, because the
/// store may drop a watch without an error.
constexpr Milliseconds kWatchMargin{2'000};
/// Delay of the first watch, in pauses between watches.
constexpr int kFirstWatchPauses = 4;
/// A read asks for the whole head at least this often: what a store tells of
/// changes may lag behind the values that it returns.
constexpr Milliseconds kWholeReadPeriod{60'000};
/// Confirmation periods without a read after which the store counts as lost.
constexpr std::int64_t kLostAfterPeriods = 2;

/// \returns Prefix of the keys that are watched beside the head; empty for
/// none.
std::string WatchPrefix(const FleetContext& context) {
  const RolloutCodec* codec = context.options().rollout_codec;
  return codec == nullptr ? std::string() : codec->watch_prefix();
}

}  // namespace

bool HeadWatcher::HasRecentRead(const FleetContext& context) const noexcept {
  const Milliseconds limit =
      context.options().confirm_period * kLostAfterPeriods +
      kStoreCallTimeout / 4;
  return is_reading() && context.now() - *last_read_at_ <= limit;
}

void HeadWatcher::Tick(const FleetContext& context, const HeadDuty& duty) {
  const MonoTime now = context.now();
  duty_ = duty;
  if (duty.reads != enabled_) {
    enabled_ = duty.reads;
    reads_whole_head_ = true;
    read_call_.Abandon();
    watch_call_.Abandon();
    fetch_call_.Abandon();
    fetch_.reset();
    last_read_at_.reset();
    next_read_at_ = now;
    // A node that has just started may stop being a reader soon.
    next_watch_at_ = now + kFirstWatchPauses * context.options().watch_pause;
    head_state_ = HeadState::kUnknown;
  }
  if (!enabled_) {
    return;
  }
  if (watch_call_.IsOverdueAt(now)) {
    watch_call_.Abandon();
    next_read_at_ = std::min(next_read_at_, now);
    next_watch_at_ = now;
  }
  if (read_call_.IsOverdueAt(now)) {
    read_call_.Abandon();
    BackOff(context);
  }
  if (fetch_call_.IsOverdueAt(now)) {
    fetch_call_.Abandon();
    fetch_.reset();
    BackOff(context);
  }
  if (!read_call_.active() && IsReadDue(now)) {
    ReadHead(context);
  }
  if (!watch_call_.active() && is_reading() && now >= next_watch_at_) {
    StartWatch(context);
  }
}

void HeadWatcher::OnStoreRestored(const FleetContext& context) {
  read_call_.Abandon();
  watch_call_.Abandon();
  fetch_call_.Abandon();
  fetch_.reset();
  head_revision_ = 0;
  known_until_ = 0;
  refused_revision_ = 0;
  reads_whole_head_ = true;
  head_state_ = HeadState::kUnknown;
  next_read_at_ = context.now();
  next_watch_at_ = context.now();
}

bool HeadWatcher::IsReadDue(MonoTime now) const noexcept {
  const bool is_verification =
      duty_.verify_at && is_reading() && !reads_whole_head_;
  return now >= next_read_at_ && (!is_verification || now >= *duty_.verify_at);
}

void HeadWatcher::ReadHead(const FleetContext& context) {
  const MonoTime now = context.now();
  reads_whole_head_ = reads_whole_head_ || !duty_.verify_at ||
                      now - last_whole_read_at_ >= kWholeReadPeriod;
  StoreGet get{context.options().head_codec->key()};
  if (!reads_whole_head_) {
    get.newer_than = std::max(head_revision_, known_until_);
    get.prefix = WatchPrefix(context);
  }
  get.timeout = duty_.read_timeout;
  read_call_.Start(context, std::move(get), kStoreCallTimeout);
  next_read_at_ = now;
  if (!duty_.verify_at) {
    next_read_at_ +=
        context.random().Jitter(context.options().confirm_period, 0.1);
  }
}

void HeadWatcher::StartWatch(const FleetContext& context) {
  const Milliseconds wait = context.options().watch_wait;
  next_watch_at_ = context.now() + context.options().watch_pause;
  watch_call_.Start(context,
                    StoreWatch{context.options().head_codec->key(),
                               std::max(head_revision_, known_until_), wait,
                               WatchPrefix(context)},
                    wait + kWatchMargin);
}

bool HeadWatcher::OnReply(const FleetContext& context,
                          const StoreReplied& replied,
                          AppliedVersions* versions,
                          Freshness* freshness) {
  const std::uint64_t sequence = replied.id.sequence;
  if (read_call_.Finish(sequence)) {
    OnReadReply(context, replied.reply, versions, freshness);
    return true;
  }
  if (watch_call_.Finish(sequence)) {
    OnWatchReply(context, replied.reply, versions, freshness);
    return true;
  }
  if (fetch_call_.Finish(sequence)) {
    OnFetchReply(context, replied.reply, versions, freshness);
    return true;
  }
  return false;
}

void HeadWatcher::OnReadReply(const FleetContext& context,
                              const StoreReply& reply,
                              AppliedVersions* versions,
                              Freshness* freshness) {
  if (reply.status != StoreStatus::kOk) {
    const bool unanswered =
        duty_.silence_pause != Milliseconds(0) &&
        context.now() - reply.sent_at >= duty_.read_timeout / 2;
    BackOff(context, unanswered ? duty_.silence_pause
                                : context.options().reader_retry_limit);
    return;
  }
  backoff_.Reset();
  last_read_at_ = reply.sent_at;
  if (!reads_whole_head_ && !reply.entry) {
    OnUnchanged(context, reply, freshness);
    return;
  }
  if (std::exchange(reads_whole_head_, false)) {
    last_whole_read_at_ = reply.sent_at;
    ++whole_reads_;
  }
  known_until_ = reply.store_revision;
  if (!reply.entry) {
    head_state_ = HeadState::kAbsent;
    head_revision_ = 0;
    return;
  }
  const bool watch_missed =
      reply.entry->revision != head_revision_ && watch_call_.active();
  head_revision_ = reply.entry->revision;
  if (watch_missed) {
    // The watch is stale: it did not report the head that was read.
    watch_call_.Abandon();
    next_watch_at_ = context.now();
  }
  HandleHead(context, reply, versions, freshness);
}

void HeadWatcher::OnUnchanged(const FleetContext& context,
                              const StoreReply& reply,
                              Freshness* freshness) {
  if (reply.store_revision < known_until_) {
    // The store was restored to an older revision.
    reads_whole_head_ = true;
    return;
  }
  known_until_ = reply.store_revision;
  if (head_state_ == HeadState::kCurrent) {
    freshness->Confirm(context, reply.sent_at);
  }
}

void HeadWatcher::OnWatchReply(const FleetContext& context,
                               const StoreReply& reply,
                               AppliedVersions* versions,
                               Freshness* freshness) {
  if (reply.status != StoreStatus::kOk) {
    // The watch may have missed a change, so the head is read before the next
    // watch.
    BackOff(context);
    return;
  }
  next_watch_at_ = std::max(next_watch_at_, context.now());
  known_until_ = std::max(known_until_, reply.store_revision);
  if (!reply.entry) {
    return;
  }
  head_revision_ = reply.entry->revision;
  HandleHead(context, reply, versions, freshness);
}

void HeadWatcher::RefuseHead(const FleetContext& context,
                             const StoreEntry& entry,
                             std::string reason) {
  head_state_ = HeadState::kDamaged;
  if (refused_revision_ == entry.revision) {
    return;
  }
  refused_revision_ = entry.revision;
  context.Emit(HeadRefused{entry.revision, std::move(reason)});
}

void HeadWatcher::HandleHead(const FleetContext& context,
                             const StoreReply& reply,
                             AppliedVersions* versions,
                             Freshness* freshness) {
  HeadValue value;
  try {
    value = context.options().head_codec->Decode(reply.entry->value);
  } catch (const ModelError& e) {
    RefuseHead(context, *reply.entry, e.what());
    return;
  }
  Head& head = value.head;
  const VersionMark own = versions->mark();
  if (head.mark == own) {
    head_state_ = HeadState::kCurrent;
    freshness->Confirm(context, reply.sent_at);
    return;
  }
  if (head.mark.number <= own.number) {
    head_state_ =
        head.mark.number < own.number ? HeadState::kOlder : HeadState::kFork;
    return;
  }
  head_state_ = HeadState::kCurrent;
  if (value.full_version) {
    for (std::string& it : value.remarks) {
      context.Emit(HeadPartRefused{reply.entry->revision, std::move(it)});
    }
    versions->OfferFullAndDeriveDelta(context, value.full_version);
    freshness->Confirm(context, reply.sent_at);
    return;
  }
  if (fetch_ && fetch_->head.mark == head.mark) {
    fetch_->read_sent_at = std::max(fetch_->read_sent_at, reply.sent_at);
    return;
  }
  StartFetch(context, std::move(head), reply.sent_at, *versions);
}

void HeadWatcher::StartFetch(const FleetContext& context,
                             Head head,
                             MonoTime read_sent_at,
                             const AppliedVersions& versions) {
  Fetch fetch;
  fetch.by_delta = !head.delta_key.empty() && versions.newest() &&
                   versions.mark().number + 1 == head.mark.number;
  fetch.head = std::move(head);
  fetch.read_sent_at = read_sent_at;
  fetch_ = std::move(fetch);
  FetchNext(context);
}

void HeadWatcher::FetchNext(const FleetContext& context) {
  const Head& head = fetch_->head;
  if (!fetch_->by_delta && head.value_keys.empty()) {
    head_state_ = HeadState::kDamaged;
    fetch_.reset();
    return;
  }
  const std::string& key =
      fetch_->by_delta ? head.delta_key : head.value_keys[fetch_->next_chunk];
  fetch_call_.Start(context, StoreGet{key}, kStoreCallTimeout);
}

void HeadWatcher::OnFetchReply(const FleetContext& context,
                               const StoreReply& reply,
                               AppliedVersions* versions,
                               Freshness* freshness) {
  if (!fetch_) {
    return;
  }
  if (reply.status != StoreStatus::kOk) {
    fetch_.reset();
    BackOff(context);
    return;
  }
  if (reply.entry) {
    fetch_->value += reply.entry->value;
  } else if (!fetch_->by_delta) {
    // The cleanup has deleted the value, so the head must have changed.
    fetch_.reset();
    next_read_at_ =
        backoff_.NextAttemptTime(context, context.options().reader_retry_limit);
    return;
  }
  ++fetch_->next_chunk;
  if (!fetch_->by_delta &&
      fetch_->next_chunk < fetch_->head.value_keys.size()) {
    FetchNext(context);
    return;
  }
  const bool applied = ApplyFetched(context, versions);
  if (applied) {
    if (versions->Covers(fetch_->head.mark)) {
      freshness->Confirm(context, fetch_->read_sent_at);
    }
    fetch_.reset();
    return;
  }
  if (fetch_->by_delta) {
    fetch_->by_delta = false;
    fetch_->next_chunk = 0;
    fetch_->value.clear();
    FetchNext(context);
    return;
  }
  fetch_.reset();
  head_state_ = HeadState::kDamaged;
  next_read_at_ =
      backoff_.NextAttemptTime(context, context.options().reader_retry_limit);
}

bool HeadWatcher::ApplyFetched(const FleetContext& context,
                               AppliedVersions* versions) {
  const VersionMark& mark = fetch_->head.mark;
  if (versions->Covers(mark)) {
    return true;
  }
  OfferResult result = OfferResult::kDamaged;
  try {
    if (fetch_->by_delta) {
      result = versions->OfferDelta(context, mark,
                                    ShareDelta(DecodeDelta(fetch_->value)));
    } else {
      const RefPtr<const Snapshot> snapshot(
          new Snapshot(DecodeConfig(fetch_->value)));
      result = versions->OfferFull(context, mark, snapshot);
    }
  } catch (const ModelError&) {
    return false;
  }
  return result == OfferResult::kApplied || result == OfferResult::kSame;
}

void HeadWatcher::BackOff(const FleetContext& context) {
  BackOff(context, context.options().reader_retry_limit);
}

void HeadWatcher::BackOff(const FleetContext& context, Milliseconds limit) {
  reads_whole_head_ = true;
  next_read_at_ = backoff_.NextAttemptTime(context, limit);
  next_watch_at_ = std::max(next_watch_at_, next_read_at_);
}

}  // namespace cassiabend
