#pragma once

#include <algorithm>
#include <boost/intrusive/list.hpp>
#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

#include "cassiabend/core/arrival_rate.h"
#include "cassiabend/core/attempt.h"
#include "cassiabend/core/objective_order.h"
#include "cassiabend/core/options.h"
#include "cassiabend/core/queueing/queue_rank.h"
#include "cassiabend/core/queueing/team_shares.h"
#include "cassiabend/core/service_time.h"

namespace cassiabend {

/// \brief Expected wait of an attempt that will not get a slot.
inline constexpr Nanoseconds kNeverServed = Nanoseconds::max();

/// \brief Assigns the slots of this host's upstream to attempts. Attempts of
/// one team and class form a flow. Waiting flows are served round-robin, and
/// while others wait, no class holds more than its share of the slots. With the
/// setting `order_by_objective`, waiting attempts are served in the order of
/// `QueueRank` instead and, with `team_shares`, teams by their shares.
class AdmissionQueue {
 public:
  explicit AdmissionQueue(const CallOptions& options)
      : queue_limit_(options.queue_limit),
        class_share_permille_(options.class_share_permille),
        by_objective_(options.order_by_objective != 0),
        by_team_(by_objective_ && options.team_shares != 0) {}
  AdmissionQueue(const AdmissionQueue&) = delete;
  AdmissionQueue& operator=(const AdmissionQueue&) = delete;
  ~AdmissionQueue() = default;

  [[nodiscard]] std::uint32_t running() const noexcept { return running_; }
  [[nodiscard]] std::size_t queued() const noexcept { return queued_; }
  /// \brief Sets how many slots may hold attempts that are no inner calls. Has
  /// an effect only with `order_by_objective`.
  void set_new_work_slots(std::uint32_t slots) noexcept {
    new_work_slots_ = slots;
  }
  [[nodiscard]] std::uint32_t new_work_slots() const noexcept {
    return new_work_slots_;
  }
  /// \brief Counts an attempt that asks for a slot, whether it is admitted or
  /// not.
  void RecordArrival(MonoTime now) noexcept { arrivals_.Record(now); }
  /// \returns The time that a new attempt like `request` would wait for a slot;
  /// with `order_by_objective`, `kNeverServed` if it would miss its objective
  /// and, at the present rate of arrivals, get no slot before its deadline.
  [[nodiscard]] Nanoseconds ExpectedWait(const AttemptRequest& request,
                                         std::uint32_t slots,
                                         MonoTime now = {}) const;
  /// \returns The time that the slots need for all waiting attempts and one
  /// more.
  [[nodiscard]] Nanoseconds QueueDrainTime(std::uint32_t slots) const noexcept {
    return service_time_.mean() * static_cast<std::int64_t>(queued_ + 1) /
           std::max<std::uint32_t>(slots, 1);
  }
  /// \returns Work that arrives, as a multiple of what `slots` serve.
  [[nodiscard]] double Demand(std::uint32_t slots, MonoTime now) const {
    return arrivals_.PerSecond(now) *
           std::chrono::duration<double>(service_time_.mean()).count() /
           std::max<std::uint32_t>(slots, 1);
  }
  /// \returns The latest start at which a waiting attempt meets its objective;
  /// the maximum if it has none.
  [[nodiscard]] MonoTime LatestTimelyStart(const Attempt& attempt) const;
  /// \returns Whether a waiting attempt that can no longer meet its objective
  /// is expected to get no slot before its deadline. Always false without
  /// `order_by_objective`.
  [[nodiscard]] bool WillMissDeadline(const Attempt& attempt,
                                      std::uint32_t slots,
                                      MonoTime now) const;
  /// \returns The service time over the attempts of all classes.
  [[nodiscard]] const ServiceTime& service_time() const noexcept {
    return service_time_;
  }
  /// \returns The service time of a class; that of all classes while no attempt
  /// of this class has ended.
  [[nodiscard]] const ServiceTime& ServiceTimeOf(
      const std::string& request_class) const;
  /// \returns The service time that is allowed for when an attempt must start
  /// to meet its objective.
  [[nodiscard]] Nanoseconds TimeNeeded(const AttemptRequest& request) const;
  /// \returns The latest time at which handing an attempt to the upstream is
  /// useful; the maximum without `order_by_objective`.
  [[nodiscard]] MonoTime LatestUsefulStart(const Attempt& attempt) const;
  [[nodiscard]] bool IsTooLateToStart(const Attempt& attempt,
                                      MonoTime now) const {
    return now > LatestUsefulStart(attempt);
  }

  /// \brief Queues an attempt until `AdmitNext` returns it.
  /// \returns The attempt that must be refused because the queue is full, which
  /// may be `attempt` itself; null when there is room.
  [[nodiscard]] Attempt* Enqueue(Attempt* attempt);
  /// \brief Removes a waiting attempt from the queue.
  void Remove(Attempt* attempt);
  /// \brief Assigns a slot to the next waiting attempt.
  /// \returns The attempt; null when no slot is free or none waits.
  [[nodiscard]] Attempt* AdmitNext(std::uint32_t slots, MonoTime now = {});
  /// \brief Frees the slot of an attempt.
  /// \param held How long the upstream had the attempt; 0 when it was not
  /// started.
  void Release(const Attempt& attempt, Nanoseconds held);

 private:
  using FlowKey = std::pair<std::string, std::string>;
  struct Flow {
    std::string request_class;
    boost::intrusive::list<Attempt, boost::intrusive::constant_time_size<false>>
        waiting;
    std::size_t size = 0;
  };
  using FlowTable = std::map<FlowKey, Flow>;

  [[nodiscard]] QueueRank RankOf(const Attempt& attempt, MonoTime now) const;
  [[nodiscard]] QueueRank RankOf(const AttemptRequest& request,
                                 MonoTime now,
                                 MonoTime objective_at,
                                 MonoTime deadline) const;
  /// \returns The slots that an attempt may get.
  [[nodiscard]] std::uint32_t SlotsFor(const AttemptRequest& request,
                                       std::uint32_t slots) const noexcept {
    return request.is_inner ? slots : std::min(slots, new_work_slots_);
  }
  /// \returns Whether an attempt that can no longer meet its objective is
  /// expected to get a slot within `left`. Attempts that can still meet theirs
  /// go first, including those expected to arrive in that time.
  [[nodiscard]] bool GetsSlotWithin(const AttemptRequest& request,
                                    const QueueRank& rank,
                                    Nanoseconds left,
                                    std::uint32_t slots,
                                    MonoTime now) const;
  [[nodiscard]] std::int64_t CountAhead(const AttemptRequest& request,
                                        const QueueRank& rank,
                                        MonoTime now) const;
  /// \returns Attempts of a flow that are served before one of another team:
  /// the flow's inner calls, and new work up to its share.
  [[nodiscard]] static std::int64_t CountAheadByShare(
      const Flow& flow,
      const AttemptRequest& request,
      std::int64_t own_ahead);
  /// \returns What the waiting team with new work that has used least of the
  /// upstream's time has used.
  [[nodiscard]] double LeastUsedByTeam() const;
  [[nodiscard]] bool MayBeNext(const Attempt& attempt, double least_used) const;
  void ChargeTeam(const Attempt& attempt, double least_used);
  /// \returns Whether an attempt of the team waits.
  [[nodiscard]] bool IsTeamWaiting(const std::string& team) const;
  /// \returns The newest new work of the longest flow that has any; null for
  /// none.
  [[nodiscard]] Attempt* NewestNewWork();
  /// \returns The waiting attempt that must make room for a new one; null if
  /// the new one has no right to its place.
  [[nodiscard]] Attempt* ChooseVictim(const AttemptRequest& request);
  [[nodiscard]] Attempt* AdmitRoundRobin(std::uint32_t slots);
  [[nodiscard]] Attempt* AdmitByObjective(MonoTime now);
  [[nodiscard]] Attempt* DequeueFront(FlowTable::iterator it);
  [[nodiscard]] FlowTable::iterator LongestFlow();
  [[nodiscard]] bool IsOverShare(const std::string& request_class,
                                 std::uint32_t slots) const;

  std::uint32_t queue_limit_;
  std::uint32_t class_share_permille_;
  bool by_objective_;
  bool by_team_;
  std::uint32_t new_work_slots_ = std::numeric_limits<std::uint32_t>::max();
  std::uint32_t running_ = 0;
  /// Those of them that are no inner calls.
  std::uint32_t running_new_ = 0;
  TeamShares team_shares_;
  std::size_t queued_ = 0;
  ArrivalRate arrivals_;
  ServiceTime service_time_;
  std::unordered_map<std::string, ServiceTime> service_time_by_class_;
  std::unordered_map<std::string, std::uint32_t> running_by_class_;
  /// Flows with waiting attempts.
  FlowTable flows_;
  /// Key of the flow that was served last, where the next turn starts.
  FlowKey last_served_;
};

}  // namespace cassiabend
