#pragma once

#include <algorithm>
#include <boost/intrusive/list.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

#include "cassiabend/core/arrival_rate.h"
#include "cassiabend/core/attempt.h"
#include "cassiabend/core/objective_order.h"
#include "cassiabend/core/options.h"
#include "cassiabend/core/service_time.h"

namespace cassiabend {

/// \brief Expected wait of an attempt that gets no slot.
inline constexpr Nanoseconds kNeverServed = Nanoseconds::max();

/// \brief Hands out the slots of this host's upstream. Attempts of one team
/// and class form a flow; flows that wait take turns, and while others wait, no
/// class holds more than its share of the slots. By setting, what waits is
/// served by its objective instead; see `ObjectiveRank`.
class AdmissionQueue {
 public:
  explicit AdmissionQueue(const CallOptions& options)
      : queue_limit_(options.queue_limit),
        class_share_permille_(options.class_share_permille),
        by_objective_(options.order_by_objective != 0) {}
  AdmissionQueue(const AdmissionQueue&) = delete;
  AdmissionQueue& operator=(const AdmissionQueue&) = delete;
  ~AdmissionQueue() = default;

  [[nodiscard]] std::uint32_t running() const noexcept { return running_; }
  [[nodiscard]] std::size_t queued() const noexcept { return queued_; }
  /// \brief Counts one attempt that asks for a slot, whatever becomes of it.
  void NoteArrival(MonoTime now) noexcept { arrivals_.Record(now); }
  /// \returns The time that an attempt of this flow would wait for a slot;
  /// `kNeverServed` where more work comes than the slots carry and it would be
  /// late anyway.
  [[nodiscard]] Nanoseconds ExpectedWait(const AttemptRequest& request,
                                         std::uint32_t slots,
                                         MonoTime now = {}) const;
  /// \returns The time that the slots take for all that waits.
  [[nodiscard]] Nanoseconds DrainTime(std::uint32_t slots) const noexcept {
    return service_time_.mean() * static_cast<std::int64_t>(queued_ + 1) /
           std::max<std::uint32_t>(slots, 1);
  }
  /// \returns When it is too late for a waiting attempt to meet its objective;
  /// the maximum where it has none.
  [[nodiscard]] MonoTime LateAt(const Attempt& attempt) const;
  /// \returns Whether it can be foreseen that an attempt which waits and is
  /// late will not be served before its deadline.
  [[nodiscard]] bool WillMissDeadline(const Attempt& attempt,
                                      std::uint32_t slots,
                                      MonoTime now) const;
  /// \returns The time that attempts of all classes take.
  [[nodiscard]] const ServiceTime& service_time() const noexcept {
    return service_time_;
  }
  /// \returns The time that attempts of this class take, as far as is known.
  [[nodiscard]] const ServiceTime& ServiceTimeOf(
      const std::string& request_class) const;
  /// \returns The time at the upstream that an attempt is reckoned to need to
  /// meet its objective.
  [[nodiscard]] Nanoseconds TimeNeeded(const AttemptRequest& request) const;
  /// \returns When it is too late to hand an attempt to the upstream.
  [[nodiscard]] MonoTime HopelessAt(const Attempt& attempt) const;
  [[nodiscard]] bool IsHopeless(const Attempt& attempt, MonoTime now) const {
    return now > HopelessAt(attempt);
  }

  /// \brief Queues an attempt. `TakeNext` gives it back in its turn.
  /// \returns The attempt that must be refused to make room, which may be
  /// `attempt` itself; null when there is room.
  [[nodiscard]] Attempt* Enqueue(Attempt* attempt);
  /// \brief Takes an attempt that waits out of the queue.
  void Remove(Attempt* attempt);
  /// \returns The next attempt, which then holds a slot; null when no slot is
  /// free or none waits.
  [[nodiscard]] Attempt* TakeNext(std::uint32_t slots, MonoTime now = {});
  /// \brief Gives back the slot of an attempt.
  /// \param held How long it ran; 0 when it did not.
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

  [[nodiscard]] ObjectiveRank RankOf(const Attempt& attempt,
                                     MonoTime now) const;
  /// \returns Whether an attempt that is late gets a slot within `left`: what
  /// is timely goes first, also what will have come by then.
  [[nodiscard]] bool IsServedLate(const ObjectiveRank& rank,
                                  Nanoseconds left,
                                  std::uint32_t slots,
                                  MonoTime now) const;
  [[nodiscard]] std::int64_t CountBefore(const ObjectiveRank& rank,
                                         MonoTime now) const;
  [[nodiscard]] Attempt* TakeByTurns(std::uint32_t slots);
  [[nodiscard]] Attempt* TakeByObjective(MonoTime now);
  [[nodiscard]] Attempt* TakeFront(FlowTable::iterator it);
  [[nodiscard]] FlowTable::iterator LongestFlow();
  [[nodiscard]] bool IsOverShare(const std::string& request_class,
                                 std::uint32_t slots) const;

  std::uint32_t queue_limit_;
  std::uint32_t class_share_permille_;
  bool by_objective_;
  std::uint32_t running_ = 0;
  std::size_t queued_ = 0;
  ArrivalRate arrivals_;
  ServiceTime service_time_;
  std::unordered_map<std::string, ServiceTime> service_time_by_class_;
  std::unordered_map<std::string, std::uint32_t> running_by_class_;
  /// Flows with attempts that wait.
  FlowTable flows_;
  /// Key of the flow that was served last.
  FlowKey last_served_;
};

}  // namespace cassiabend
