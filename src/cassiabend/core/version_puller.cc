#include "cassiabend/core/version_puller.h"

#include <algorithm>
#include <utility>

namespace cassiabend {
namespace {

constexpr std::size_t kMaxSources = 4;
/// Delay of a pull, in which a push that is on its way can arrive first.
constexpr Milliseconds kPullDelay{150};
constexpr double kPullJitter = 0.7;
/// Time without an answer after which a pull counts as failed.
constexpr Milliseconds kPullTimeout{3'000};
/// Time without an answer after which a pull gives way to one from another peer
/// that has just reported a newer version.
constexpr Milliseconds kSlowPullTimeout{400};
constexpr Milliseconds kRetryBase{200};
constexpr Milliseconds kRetryLimit{1'000};
constexpr std::uint32_t kMaxBackoffShift = 4;

}  // namespace

void VersionPuller::OnPeerMark(const FleetContext& context,
                               const AppliedVersions& versions,
                               const NodeId& peer,
                               const VersionMark& mark) {
  if (mark.number <= versions.mark().number) {
    return;
  }
  const auto it = std::ranges::find(sources_, peer, &Source::peer);
  if (it != sources_.end()) {
    it->mark = mark;
  } else if (sources_.size() < kMaxSources) {
    sources_.push_back({peer, mark});
  } else {
    sources_.back() = {peer, mark};
  }
  const bool slow = in_flight_ && in_flight_->peer != peer &&
                    context.now() - sent_at_ > kSlowPullTimeout;
  if (slow) {
    in_flight_.reset();
  }
  if (in_flight_ || (next_at_ && peer_busy_)) {
    return;
  }
  const MonoTime soon =
      context.now() + context.random().Jitter(kPullDelay, kPullJitter);
  next_at_ = next_at_ ? std::min(*next_at_, soon) : soon;
}

void VersionPuller::Tick(const FleetContext& context,
                         const AppliedVersions& versions) {
  const MonoTime now = context.now();
  if (in_flight_ && now - sent_at_ > kPullTimeout) {
    in_flight_.reset();
    ++failures_;
    Schedule(context, kRetryBase);
  }
  if (in_flight_ || !next_at_ || now < *next_at_) {
    return;
  }
  next_at_.reset();
  DropOutdatedSources(versions);
  if (sources_.empty()) {
    return;
  }
  Send(context, versions);
}

void VersionPuller::Send(const FleetContext& context,
                         const AppliedVersions& versions) {
  in_flight_ = std::move(sources_.front());
  sources_.pop_front();
  sent_at_ = context.now();
  Outstanding& calls = outstanding_[in_flight_->peer];
  if (++calls.count == 1) {
    calls.earliest_sent_at = context.now();
  }
  context.Emit(SendPull{in_flight_->peer, versions.mark()});
}

std::optional<MonoTime> VersionPuller::EndOutstanding(const NodeId& peer) {
  const auto it = outstanding_.find(peer);
  if (it == outstanding_.end()) {
    return std::nullopt;
  }
  const MonoTime sent_at = it->second.earliest_sent_at;
  if (--it->second.count == 0) {
    outstanding_.erase(it);
  }
  return sent_at;
}

void VersionPuller::OnAnswer(const FleetContext& context,
                             const PullReplied& answer,
                             AppliedVersions* versions,
                             Freshness* freshness) {
  const std::optional<MonoTime> sent_at = EndOutstanding(answer.peer);
  if (!in_flight_ || in_flight_->peer != answer.peer) {
    // The answer to a pull that was given up; its version is used nevertheless.
    if (answer.update) {
      (void)ApplyUpdate(context, *answer.update, versions);
    }
    return;
  }
  const Source source = *std::exchange(in_flight_, std::nullopt);
  const bool useful =
      answer.update && ApplyUpdate(context, *answer.update, versions);
  if (useful) {
    failures_ = 0;
    if (sent_at && versions->Covers(answer.update->mark)) {
      freshness->ConfirmByPeer(context, *sent_at, Milliseconds(0),
                               answer.update->confirmed_age);
    } else {
      OnPeerMark(context, *versions, source.peer, answer.update->mark);
      next_at_ = context.now();
    }
  } else {
    ++failures_;
  }
  DropOutdatedSources(*versions);
  if (sources_.empty() || next_at_) {
    return;
  }
  const auto* busy =
      answer.update ? std::get_if<BusyUpdate>(&answer.update->body) : nullptr;
  Schedule(context, busy != nullptr ? std::max(busy->retry_after, kRetryBase)
                                    : Nanoseconds(kRetryBase));
}

void VersionPuller::Schedule(const FleetContext& context, Nanoseconds delay) {
  const std::uint32_t shift = std::min(failures_, kMaxBackoffShift);
  const Nanoseconds grown =
      std::min<Nanoseconds>(delay * (1U << shift), kRetryLimit);
  next_at_ = context.now() + context.random().Jitter(grown, kPullJitter);
}

void VersionPuller::DropOutdatedSources(const AppliedVersions& versions) {
  std::erase_if(sources_, [&](const Source& it) {
    return it.mark.number <= versions.mark().number;
  });
}

bool VersionPuller::ApplyUpdate(const FleetContext& context,
                                const ConfigUpdate& update,
                                AppliedVersions* versions) {
  OfferResult result = OfferResult::kNoBase;
  if (const auto* delta = std::get_if<DeltaPtr>(&update.body)) {
    // A peer sends a chain of deltas one by one, so the delta may lead to an
    // older version than `update.mark`.
    result = versions->OfferDelta(context, (*delta)->delta().mark, *delta);
  } else if (const auto* full =
                 std::get_if<RefPtr<const Snapshot>>(&update.body)) {
    result = versions->OfferFull(context, update.mark, *full);
  } else if (std::holds_alternative<NoUpdate>(update.body)) {
    result = OfferResult::kSame;
  }
  return result == OfferResult::kApplied || result == OfferResult::kSame ||
         result == OfferResult::kOlder;
}

ConfigUpdate VersionPullServer::Answer(const FleetContext& context,
                                       const AppliedVersions& versions,
                                       const Freshness& freshness,
                                       const VersionMark& have) {
  ConfigUpdate update;
  update.mark = versions.mark();
  update.confirmed_age = freshness.AgeAt(context.now());
  if (versions.mark().number <= have.number) {
    update.body = NoUpdate{};
  } else if (const DeltaPtr delta = versions.DeltaFrom(have)) {
    update.body = delta;
  } else if (TryAcquireToken(context)) {
    update.body = versions.newest();
  } else {
    const auto wait =
        std::chrono::ceil<Milliseconds>(busy_until_ - context.now());
    update.body = BusyUpdate{wait};
  }
  return update;
}

bool VersionPullServer::TryAcquireToken(const FleetContext& context) {
  const Milliseconds pause = context.options().full_value_pause;
  const std::uint32_t limit = context.options().full_value_limit;
  busy_until_ = std::max(busy_until_, context.now());
  if (busy_until_ - context.now() >= pause * limit) {
    return false;
  }
  busy_until_ += pause;
  return true;
}

}  // namespace cassiabend
