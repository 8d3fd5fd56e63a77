#include "cassiabend/core/links/body_queue.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cassiabend {
namespace {

/// Bodies on their way at the same time, as time on the link: it covers the way
/// of the grant and the first bytes between distant nodes, so that the link
/// does not fall idle, and is the longest that small requests wait behind them.
constexpr Milliseconds kWindow{80};
/// A body counts as lost when it takes this many times as long as all that are
/// coming, and this pause, in which the entry node would have begun.
constexpr int kLostFactor = 3;
constexpr Milliseconds kLostPause{500};
/// Pause between signs of progress; see `kProgressPeriod` of the destination.
constexpr Milliseconds kProgressPeriod{700};

}  // namespace

bool BodyOffer::IsBefore(const BodyOffer& other) const noexcept {
  return std::tie(request.team_priority, request.priority, begin_by) <
         std::tie(other.request.team_priority, other.request.priority,
                  other.begin_by);
}

Nanoseconds BodyQueue::TransferTime(std::uint64_t bytes) const noexcept {
  if (rate_ == 0) {
    return Nanoseconds(0);
  }
  const std::chrono::duration<double> time(static_cast<double>(bytes) /
                                           static_cast<double>(rate_));
  return std::chrono::duration_cast<Nanoseconds>(time);
}

std::uint64_t BodyQueue::ComingBytes() const noexcept {
  std::uint64_t n = 0;
  for (const auto& [id, it] : coming_) {
    n += it.bytes;
  }
  return n;
}

std::uint64_t BodyQueue::bytes() const noexcept {
  std::uint64_t n = ComingBytes();
  for (const BodyOffer& it : offers_) {
    n += it.request.body_bytes;
  }
  return n;
}

Nanoseconds BodyQueue::ArrivalTime(const AttemptRequest& request,
                                   MonoTime begin_by) const {
  const BodyOffer own{.request = request, .begin_by = begin_by};
  std::uint64_t ahead = ComingBytes();
  for (const BodyOffer& it : offers_) {
    ahead += own.IsBefore(it) ? 0 : it.request.body_bytes;
  }
  return TransferTime(ahead + request.body_bytes);
}

void BodyQueue::Add(BodyOffer offer) {
  const auto next = std::ranges::find_if(
      offers_, [&](const BodyOffer& it) { return offer.IsBefore(it); });
  offers_.insert(next, std::move(offer));
}

void BodyQueue::Remove(ConnectionId connection) {
  offers_.remove_if(
      [=](const BodyOffer& it) { return it.connection == connection; });
}

std::vector<BodyOffer> BodyQueue::TakeAdmitted(MonoTime now) {
  std::erase_if(coming_,
                [now](const auto& it) { return now >= it.second.expires_at; });
  std::vector<BodyOffer> out;
  std::uint64_t coming = ComingBytes();
  const std::uint64_t window =
      rate_ * static_cast<std::uint64_t>(kWindow.count()) / 1000;
  while (!offers_.empty()) {
    const std::uint64_t bytes = offers_.front().request.body_bytes;
    if (rate_ != 0 && coming != 0 && coming + bytes > window) {
      break;
    }
    coming += bytes;
    coming_[offers_.front().request.id] = {
        bytes, now + TransferTime(coming) * kLostFactor + kLostPause};
    out.push_back(std::move(offers_.front()));
    offers_.pop_front();
  }
  return out;
}

std::vector<BodyOffer> BodyQueue::TakeLate(MonoTime now) {
  std::vector<BodyOffer> out;
  std::uint64_t ahead = ComingBytes();
  for (auto it = offers_.begin(); it != offers_.end();) {
    if (now + TransferTime(ahead) <= it->begin_by) {
      ahead += it->request.body_bytes;
      ++it;
      continue;
    }
    out.push_back(std::move(*it));
    it = offers_.erase(it);
  }
  return out;
}

std::vector<ConnectionId> BodyQueue::TakeProgressDue(MonoTime now) {
  std::vector<ConnectionId> out;
  for (BodyOffer& it : offers_) {
    if (now >= it.progress_due) {
      it.progress_due = now + kProgressPeriod;
      out.push_back(it.connection);
    }
  }
  return out;
}

std::vector<BodyOffer> BodyQueue::TakeAll() {
  std::vector<BodyOffer> out(std::make_move_iterator(offers_.begin()),
                             std::make_move_iterator(offers_.end()));
  offers_.clear();
  return out;
}

}  // namespace cassiabend
