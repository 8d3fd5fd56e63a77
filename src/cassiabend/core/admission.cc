#include "cassiabend/core/admission.h"

#include <algorithm>
#include <limits>

namespace cassiabend {
namespace {

/// An attempt is not worth starting when less than its mean service time
/// divided by this is left: some calls take half of the mean.
constexpr int kUsefulStartDivisor = 2;
/// Most classes whose service time is kept, so that class names cannot grow the
/// table without bound.
constexpr std::size_t kMaxClasses = 1'024;

}  // namespace

Nanoseconds AdmissionQueue::ExpectedWait(const AttemptRequest& request,
                                         std::uint32_t slots,
                                         MonoTime now) const {
  const bool is_open =
      request.is_inner || !by_objective_ || running_new_ < new_work_slots_;
  if (slots == 0 || (queued_ == 0 && running_ < slots && is_open)) {
    return Nanoseconds(0);
  }
  if (by_objective_) {
    const MonoTime objective_at = request.objective > Milliseconds(0)
                                      ? now + request.objective
                                      : MonoTime::max();
    const QueueRank rank =
        RankOf(request, now, objective_at, now + request.deadline);
    const Nanoseconds wait = service_time_.mean() *
                             (CountAhead(request, rank, now) + 1) /
                             SlotsFor(request, slots);
    const bool timely =
        !rank.objective.is_late && now + wait <= rank.objective.start_by;
    QueueRank late_rank = rank;
    late_rank.objective.is_late = true;
    late_rank.objective.start_by = now + request.deadline - TimeNeeded(request);
    return timely || GetsSlotWithin(request, late_rank, request.deadline, slots,
                                    now)
               ? wait
               : kNeverServed;
  }
  const auto it = flows_.find({request.team, request.request_class});
  const std::size_t own = it == flows_.end() ? 0 : it->second.size;
  const std::size_t flows = flows_.size() + (it == flows_.end() ? 1 : 0);
  const std::size_t ahead = std::min((own + 1) * flows, queued_ + 1);
  return service_time_.mean() * static_cast<std::int64_t>(ahead) / slots;
}

std::int64_t AdmissionQueue::CountAhead(const AttemptRequest& request,
                                        const QueueRank& rank,
                                        MonoTime now) const {
  const bool by_share = by_team_ && !request.is_inner;
  std::int64_t n = 0;
  for (const auto& [key, flow] : flows_) {
    if (by_share && key.first != request.team) {
      continue;
    }
    n += std::ranges::count_if(flow.waiting, [&](const Attempt& it) {
      return RankOf(it, now) < rank;
    });
  }
  if (!by_share) {
    return n;
  }
  const std::int64_t own = n;
  for (const auto& [key, flow] : flows_) {
    if (key.first != request.team) {
      n += CountAheadByShare(flow, request, own);
    }
  }
  return n;
}

std::int64_t AdmissionQueue::CountAheadByShare(const Flow& flow,
                                               const AttemptRequest& request,
                                               std::int64_t own_ahead) {
  const auto inner = std::ranges::count_if(
      flow.waiting, [](const Attempt& it) { return it.request.is_inner; });
  const auto size = static_cast<std::int64_t>(flow.size);
  const double weight =
      static_cast<double>(flow.waiting.front().request.team_weight);
  const double own_weight =
      static_cast<double>(std::max<std::uint64_t>(request.team_weight, 1));
  const double share =
      static_cast<double>(own_ahead + 1) * std::max(weight, 1.0) / own_weight;
  return share >= static_cast<double>(size - inner)
             ? size
             : inner + static_cast<std::int64_t>(share);
}

bool AdmissionQueue::GetsSlotWithin(const AttemptRequest& request,
                                    const QueueRank& rank,
                                    Nanoseconds left,
                                    std::uint32_t slots,
                                    MonoTime now) const {
  const double time = std::chrono::duration<double>(left).count();
  const double service =
      std::chrono::duration<double>(service_time_.mean()).count();
  if (time <= 0 || service <= 0) {
    return time > 0;
  }
  const double served = time / service * SlotsFor(request, slots);
  const double arriving = time * arrivals_.PerSecond(now);
  const auto ahead = static_cast<double>(CountAhead(request, rank, now) + 1);
  return ahead + arriving <= served;
}

MonoTime AdmissionQueue::LatestTimelyStart(const Attempt& attempt) const {
  return attempt.objective_at == MonoTime::max() || attempt.request.is_inner
             ? MonoTime::max()
             : attempt.objective_at - TimeNeeded(attempt.request);
}

bool AdmissionQueue::WillMissDeadline(const Attempt& attempt,
                                      std::uint32_t slots,
                                      MonoTime now) const {
  if (!by_objective_ || slots == 0 || now < LatestTimelyStart(attempt)) {
    return false;
  }
  return !GetsSlotWithin(attempt.request, RankOf(attempt, now),
                         LatestUsefulStart(attempt) - now, slots, now);
}

Attempt* AdmissionQueue::Enqueue(Attempt* attempt) {
  const AttemptRequest& request = attempt->request;
  Attempt* refused = nullptr;
  if (queued_ >= queue_limit_) {
    refused = ChooseVictim(request);
    if (refused == nullptr) {
      return attempt;
    }
    Remove(refused);
  }
  if (by_team_ && !IsTeamWaiting(request.team)) {
    team_shares_.Enter(request.team);
  }
  Flow& flow = flows_[{request.team, request.request_class}];
  flow.request_class = request.request_class;
  flow.waiting.push_back(*attempt);
  ++flow.size;
  ++queued_;
  return refused;
}

Attempt* AdmissionQueue::ChooseVictim(const AttemptRequest& request) {
  if (request.is_inner && by_objective_) {
    return NewestNewWork();
  }
  const auto longest = LongestFlow();
  const auto own = flows_.find({request.team, request.request_class});
  const std::size_t own_size = own == flows_.end() ? 0 : own->second.size;
  if (longest == flows_.end() || longest->second.size <= own_size + 1) {
    return nullptr;
  }
  return &longest->second.waiting.back();
}

void AdmissionQueue::Remove(Attempt* attempt) {
  const auto it =
      flows_.find({attempt->request.team, attempt->request.request_class});
  static_cast<AdmissionHook*>(attempt)->unlink();
  --queued_;
  if (--it->second.size == 0) {
    flows_.erase(it);
  }
}

const ServiceTime& AdmissionQueue::ServiceTimeOf(
    const std::string& request_class) const {
  const auto it = service_time_by_class_.find(request_class);
  return it == service_time_by_class_.end() ? service_time_ : it->second;
}

Nanoseconds AdmissionQueue::TimeNeeded(const AttemptRequest& request) const {
  const ServiceTime& time = ServiceTimeOf(request.request_class);
  // If the cautious time exceeded the objective, every attempt of the class
  // would count as late and be served last.
  return time.mean_plus_deviation() < request.objective
             ? time.mean_plus_deviation()
             : time.mean();
}

MonoTime AdmissionQueue::LatestUsefulStart(const Attempt& attempt) const {
  if (!by_objective_) {
    return MonoTime::max();
  }
  return attempt.deadline -
         ServiceTimeOf(attempt.request.request_class).mean() /
             kUsefulStartDivisor;
}

QueueRank AdmissionQueue::RankOf(const Attempt& attempt, MonoTime now) const {
  return RankOf(attempt.request, now, attempt.objective_at, attempt.deadline);
}

QueueRank AdmissionQueue::RankOf(const AttemptRequest& request,
                                 MonoTime now,
                                 MonoTime objective_at,
                                 MonoTime deadline) const {
  if (request.is_inner) {
    return RankInnerCall(now, deadline,
                         ServiceTimeOf(request.request_class).mean());
  }
  QueueRank rank{.objective =
                     RankByObjective(now, request.priority, objective_at,
                                     deadline, TimeNeeded(request))};
  rank.objective.team_priority = request.team_priority;
  return rank;
}

Attempt* AdmissionQueue::AdmitNext(std::uint32_t slots, MonoTime now) {
  if (running_ >= slots || flows_.empty()) {
    return nullptr;
  }
  Attempt* attempt =
      by_objective_ ? AdmitByObjective(now) : AdmitRoundRobin(slots);
  if (attempt == nullptr) {
    return nullptr;
  }
  ++running_;
  running_new_ += attempt->request.is_inner ? 0 : 1;
  ++running_by_class_[attempt->request.request_class];
  return attempt;
}

Attempt* AdmissionQueue::AdmitByObjective(MonoTime now) {
  Attempt* best = nullptr;
  QueueRank best_rank;
  const double least_used = by_team_ ? LeastUsedByTeam() : 0;
  for (auto& [key, flow] : flows_) {
    for (Attempt& it : flow.waiting) {
      if (!MayBeNext(it, least_used)) {
        continue;
      }
      const QueueRank rank = RankOf(it, now);
      if (best == nullptr || rank < best_rank) {
        best = &it;
        best_rank = rank;
      }
    }
  }
  if (best == nullptr) {
    return nullptr;
  }
  Remove(best);
  ChargeTeam(*best, least_used);
  return best;
}

bool AdmissionQueue::MayBeNext(const Attempt& attempt,
                               double least_used) const {
  const AttemptRequest& request = attempt.request;
  if (request.is_inner) {
    return true;
  }
  if (running_new_ >= new_work_slots_) {
    return false;
  }
  return !by_team_ ||
         TeamShares::IsDue(team_shares_.UsedBy(request.team), least_used,
                           request.team_weight,
                           ServiceTimeOf(request.request_class).mean());
}

double AdmissionQueue::LeastUsedByTeam() const {
  double least = std::numeric_limits<double>::max();
  for (const auto& [key, flow] : flows_) {
    const bool has_new_work = std::ranges::any_of(
        flow.waiting, [](const Attempt& it) { return !it.request.is_inner; });
    if (has_new_work) {
      least = std::min(least, team_shares_.UsedBy(key.first));
    }
  }
  return least;
}

void AdmissionQueue::ChargeTeam(const Attempt& attempt, double least_used) {
  const AttemptRequest& request = attempt.request;
  if (by_team_ && !request.is_inner) {
    team_shares_.Charge(request.team, request.team_weight,
                        ServiceTimeOf(request.request_class).mean(),
                        least_used);
  }
}

bool AdmissionQueue::IsTeamWaiting(const std::string& team) const {
  const auto it = flows_.lower_bound({team, {}});
  return it != flows_.end() && it->first.first == team;
}

Attempt* AdmissionQueue::AdmitRoundRobin(std::uint32_t slots) {
  auto it = flows_.upper_bound(last_served_);
  auto chosen = flows_.end();
  for (std::size_t i = 0; i < flows_.size(); ++i) {
    it = it == flows_.end() ? flows_.begin() : it;
    chosen = chosen == flows_.end() ? it : chosen;
    if (!IsOverShare(it->second.request_class, slots)) {
      chosen = it;
      break;
    }
    ++it;
  }
  return DequeueFront(chosen);
}

void AdmissionQueue::Release(const Attempt& attempt, Nanoseconds held) {
  --running_;
  running_new_ -= attempt.request.is_inner ? 0 : 1;
  const auto it = running_by_class_.find(attempt.request.request_class);
  if (--it->second == 0) {
    running_by_class_.erase(it);
  }
  if (held == Nanoseconds(0) && by_team_ && !attempt.request.is_inner) {
    team_shares_.Refund(attempt.request.team, attempt.request.team_weight,
                        ServiceTimeOf(attempt.request.request_class).mean());
  }
  if (held > Nanoseconds(0)) {
    service_time_.Record(held);
    if (service_time_by_class_.size() < kMaxClasses ||
        service_time_by_class_.contains(attempt.request.request_class)) {
      service_time_by_class_[attempt.request.request_class].Record(held);
    }
  }
}

Attempt* AdmissionQueue::DequeueFront(FlowTable::iterator it) {
  Attempt* attempt = &it->second.waiting.front();
  last_served_ = it->first;
  Remove(attempt);
  return attempt;
}

AdmissionQueue::FlowTable::iterator AdmissionQueue::LongestFlow() {
  return std::ranges::max_element(
      flows_, {}, [](const auto& it) { return it.second.size; });
}

Attempt* AdmissionQueue::NewestNewWork() {
  Attempt* newest = nullptr;
  std::size_t longest = 0;
  for (auto& [key, flow] : flows_) {
    if (flow.size <= longest) {
      continue;
    }
    for (Attempt& it : flow.waiting) {
      if (!it.request.is_inner) {
        newest = &it;
        longest = flow.size;
      }
    }
  }
  return newest;
}

bool AdmissionQueue::IsOverShare(const std::string& request_class,
                                 std::uint32_t slots) const {
  const auto it = running_by_class_.find(request_class);
  if (it == running_by_class_.end()) {
    return false;
  }
  const std::uint64_t limit = std::max<std::uint64_t>(
      1, slots * std::uint64_t{class_share_permille_} / 1000);
  return it->second >= limit;
}

}  // namespace cassiabend
