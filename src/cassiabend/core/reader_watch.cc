#include "cassiabend/core/reader_watch.h"

#include <utility>

#include "cassiabend/base/error.h"
#include "cassiabend/core/head_codec.h"
#include "cassiabend/model/codec.h"

namespace cassiabend {
namespace {

/// Time over its wait after which a watch is held to be silently dead.
constexpr Milliseconds kWatchMargin{2'000};
/// Pauses between watches before the first one.
constexpr int kFirstWatchPauses = 4;
/// Confirmation periods after which the store counts as lost.
constexpr std::int64_t kLostAfterPeriods = 2;

}  // namespace

bool ReaderWatch::ReadsAt(const FleetContext& context) const noexcept {
  const Milliseconds limit =
      context.options().confirm_period * kLostAfterPeriods +
      kStoreCallTimeout / 4;
  return enabled_ && read_at_ && backoff_.failures() == 0 &&
         context.now() - *read_at_ <= limit;
}

void ReaderWatch::Tick(const FleetContext& context, bool enabled) {
  const MonoTime now = context.now();
  if (enabled != enabled_) {
    enabled_ = enabled;
    read_.Abandon();
    watch_.Abandon();
    fetching_.Abandon();
    fetch_.reset();
    read_at_.reset();
    next_read_at_ = now;
    // A node that has just started may not stay a reader for long.
    next_watch_at_ = now + kFirstWatchPauses * context.options().watch_pause;
    head_state_ = HeadState::kUnknown;
  }
  if (!enabled_) {
    return;
  }
  if (watch_.IsOverdueAt(now)) {
    watch_.Abandon();
    next_read_at_ = std::min(next_read_at_, now);
    next_watch_at_ = now;
  }
  if (read_.IsOverdueAt(now)) {
    read_.Abandon();
    Fail(context);
  }
  if (fetching_.IsOverdueAt(now)) {
    fetching_.Abandon();
    fetch_.reset();
    Fail(context);
  }
  if (!read_.active() && now >= next_read_at_) {
    Read(context);
  }
  const bool read_works = read_at_ && backoff_.failures() == 0;
  if (!watch_.active() && read_works && now >= next_watch_at_) {
    StartWatch(context);
  }
}

void ReaderWatch::Read(const FleetContext& context) {
  read_.Start(context, StoreGet{context.options().head_codec->key()},
              kStoreCallTimeout);
  next_read_at_ = context.now() + context.random().Jitter(
                                      context.options().confirm_period, 0.1);
}

void ReaderWatch::StartWatch(const FleetContext& context) {
  const Milliseconds wait = context.options().watch_wait;
  next_watch_at_ = context.now() + context.options().watch_pause;
  watch_.Start(context,
               StoreWatch{context.options().head_codec->key(),
                          std::max(revision_, seen_until_), wait},
               wait + kWatchMargin);
}

bool ReaderWatch::OnReply(const FleetContext& context,
                          const StoreReplied& replied,
                          AppliedVersions* versions,
                          Freshness* freshness) {
  const std::uint64_t sequence = replied.id.sequence;
  if (read_.Finish(sequence)) {
    OnRead(context, replied.reply, versions, freshness);
    return true;
  }
  if (watch_.Finish(sequence)) {
    OnWatched(context, replied.reply, versions, freshness);
    return true;
  }
  if (fetching_.Finish(sequence)) {
    OnFetched(context, replied.reply, versions, freshness);
    return true;
  }
  return false;
}

void ReaderWatch::OnRead(const FleetContext& context,
                         const StoreReply& reply,
                         AppliedVersions* versions,
                         Freshness* freshness) {
  if (reply.status != StoreStatus::kOk) {
    Fail(context);
    return;
  }
  backoff_.Reset();
  read_at_ = reply.sent_at;
  seen_until_ = reply.store_revision;
  if (!reply.entry) {
    head_state_ = HeadState::kAbsent;
    revision_ = 0;
    return;
  }
  const bool watch_missed =
      reply.entry->revision != revision_ && watch_.active();
  revision_ = reply.entry->revision;
  if (watch_missed) {
    // The watch waits for something else than the head that is there now.
    watch_.Abandon();
    next_watch_at_ = context.now();
  }
  TakeHead(context, reply, versions, freshness);
}

void ReaderWatch::OnWatched(const FleetContext& context,
                            const StoreReply& reply,
                            AppliedVersions* versions,
                            Freshness* freshness) {
  if (reply.status != StoreStatus::kOk) {
    // The watch may have missed a change, so the head is read before the next.
    Fail(context);
    return;
  }
  next_watch_at_ = std::max(next_watch_at_, context.now());
  seen_until_ = std::max(seen_until_, reply.store_revision);
  if (!reply.entry) {
    return;
  }
  revision_ = reply.entry->revision;
  TakeHead(context, reply, versions, freshness);
}

void ReaderWatch::Refuse(const FleetContext& context,
                         const StoreEntry& entry,
                         std::string reason) {
  head_state_ = HeadState::kDamaged;
  if (refused_ == entry.revision) {
    return;
  }
  refused_ = entry.revision;
  context.Emit(HeadRefused{entry.revision, std::move(reason)});
}

void ReaderWatch::TakeHead(const FleetContext& context,
                           const StoreReply& reply,
                           AppliedVersions* versions,
                           Freshness* freshness) {
  HeadValue value;
  try {
    value = context.options().head_codec->Decode(reply.entry->value);
  } catch (const ModelError& e) {
    Refuse(context, *reply.entry, e.what());
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
  if (value.whole) {
    versions->OfferFullAndDeriveDelta(context, value.whole);
    freshness->Confirm(context, reply.sent_at);
    return;
  }
  if (fetch_ && fetch_->head.mark == head.mark) {
    fetch_->read_sent_at = std::max(fetch_->read_sent_at, reply.sent_at);
    return;
  }
  StartFetch(context, std::move(head), reply.sent_at, *versions);
}

void ReaderWatch::StartFetch(const FleetContext& context,
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

void ReaderWatch::FetchNext(const FleetContext& context) {
  const Head& head = fetch_->head;
  if (!fetch_->by_delta && head.value_keys.empty()) {
    head_state_ = HeadState::kDamaged;
    fetch_.reset();
    return;
  }
  const std::string& key =
      fetch_->by_delta ? head.delta_key : head.value_keys[fetch_->next_chunk];
  fetching_.Start(context, StoreGet{key}, kStoreCallTimeout);
}

void ReaderWatch::OnFetched(const FleetContext& context,
                            const StoreReply& reply,
                            AppliedVersions* versions,
                            Freshness* freshness) {
  if (!fetch_) {
    return;
  }
  if (reply.status != StoreStatus::kOk) {
    fetch_.reset();
    Fail(context);
    return;
  }
  if (reply.entry) {
    fetch_->value += reply.entry->value;
  } else if (!fetch_->by_delta) {
    // Cleaned up meanwhile: the head has moved on.
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
  const bool taken = TakeFetched(context, versions);
  if (taken) {
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

bool ReaderWatch::TakeFetched(const FleetContext& context,
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

void ReaderWatch::Fail(const FleetContext& context) {
  next_read_at_ =
      backoff_.NextAttemptTime(context, context.options().reader_retry_limit);
  next_watch_at_ = std::max(next_watch_at_, next_read_at_);
}

}  // namespace cassiabend
