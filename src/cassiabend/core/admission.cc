#include "cassiabend/core/admission.h"

#include <algorithm>

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
  if (slots == 0 || (queued_ == 0 && running_ < slots)) {
    return Nanoseconds(0);
  }
  if (by_objective_) {
    const MonoTime objective_at = request.objective > Milliseconds(0)
                                      ? now + request.objective
                                      : MonoTime::max();
    const Nanoseconds service = TimeNeeded(request);
    const ObjectiveRank rank = RankByObjective(
        now, request.priority, objective_at, now + request.deadline, service);
    const Nanoseconds wait =
        service_time_.mean() * (CountAhead(rank, now) + 1) / slots;
    const bool timely = !rank.is_late && now + wait <= rank.start_by;
    const ObjectiveRank late_rank{.is_late = true,
                                  .priority = request.priority,
                                  .start_by = now + request.deadline - service};
    return timely || GetsSlotWithin(late_rank, request.deadline, slots, now)
               ? wait
               : kNeverServed;
  }
  const auto it = flows_.find({request.team, request.request_class});
  const std::size_t own = it == flows_.end() ? 0 : it->second.size;
  const std::size_t flows = flows_.size() + (it == flows_.end() ? 1 : 0);
  const std::size_t ahead = std::min((own + 1) * flows, queued_ + 1);
  return service_time_.mean() * static_cast<std::int64_t>(ahead) / slots;
}

std::int64_t AdmissionQueue::CountAhead(const ObjectiveRank& rank,
                                        MonoTime now) const {
  std::int64_t n = 0;
  for (const auto& [key, flow] : flows_) {
    n += std::ranges::count_if(flow.waiting, [&](const Attempt& it) {
      return RankOf(it, now) < rank;
    });
  }
  return n;
}

bool AdmissionQueue::GetsSlotWithin(const ObjectiveRank& rank,
                                    Nanoseconds left,
                                    std::uint32_t slots,
                                    MonoTime now) const {
  const double time = std::chrono::duration<double>(left).count();
  const double service =
      std::chrono::duration<double>(service_time_.mean()).count();
  if (time <= 0 || service <= 0) {
    return time > 0;
  }
  const double served = time / service * slots;
  const double arriving = time * arrivals_.PerSecond(now);
  const auto ahead = static_cast<double>(CountAhead(rank, now) + 1);
  return ahead + arriving <= served;
}

MonoTime AdmissionQueue::LatestTimelyStart(const Attempt& attempt) const {
  return attempt.objective_at == MonoTime::max()
             ? MonoTime::max()
             : attempt.objective_at - TimeNeeded(attempt.request);
}

bool AdmissionQueue::WillMissDeadline(const Attempt& attempt,
                                      std::uint32_t slots,
                                      MonoTime now) const {
  if (!by_objective_ || slots == 0 || now < LatestTimelyStart(attempt)) {
    return false;
  }
  return !GetsSlotWithin(RankOf(attempt, now), LatestUsefulStart(attempt) - now,
                         slots, now);
}

Attempt* AdmissionQueue::Enqueue(Attempt* attempt) {
  const AttemptRequest& request = attempt->request;
  Attempt* refused = nullptr;
  if (queued_ >= queue_limit_) {
    const auto longest = LongestFlow();
    const auto own = flows_.find({request.team, request.request_class});
    const std::size_t own_size = own == flows_.end() ? 0 : own->second.size;
    if (longest == flows_.end() || longest->second.size <= own_size + 1) {
      return attempt;
    }
    refused = &longest->second.waiting.back();
    Remove(refused);
  }
  Flow& flow = flows_[{request.team, request.request_class}];
  flow.request_class = request.request_class;
  flow.waiting.push_back(*attempt);
  ++flow.size;
  ++queued_;
  return refused;
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

ObjectiveRank AdmissionQueue::RankOf(const Attempt& attempt,
                                     MonoTime now) const {
  return RankByObjective(now, attempt.request.priority, attempt.objective_at,
                         attempt.deadline, TimeNeeded(attempt.request));
}

Attempt* AdmissionQueue::AdmitNext(std::uint32_t slots, MonoTime now) {
  if (running_ >= slots || flows_.empty()) {
    return nullptr;
  }
  Attempt* attempt =
      by_objective_ ? AdmitByObjective(now) : AdmitRoundRobin(slots);
  ++running_;
  ++running_by_class_[attempt->request.request_class];
  return attempt;
}

Attempt* AdmissionQueue::AdmitByObjective(MonoTime now) {
  Attempt* best = nullptr;
  ObjectiveRank best_rank;
  for (auto& [key, flow] : flows_) {
    for (Attempt& it : flow.waiting) {
      const ObjectiveRank rank = RankOf(it, now);
      if (best == nullptr || rank < best_rank) {
        best = &it;
        best_rank = rank;
      }
    }
  }
  Remove(best);
  return best;
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
  const auto it = running_by_class_.find(attempt.request.request_class);
  if (--it->second == 0) {
    running_by_class_.erase(it);
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
