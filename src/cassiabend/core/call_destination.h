#pragma once

#include "cassiabend/core/admission.h"
#include "cassiabend/core/attempt.h"
#include "cassiabend/core/attempt_table.h"
#include "cassiabend/core/call_context.h"
#include "cassiabend/core/call_upstream_health.h"
#include "cassiabend/core/dispatch_gate.h"
#include "cassiabend/core/link_queue.h"
#include "cassiabend/core/orders.h"

namespace cassiabend {

/// \brief Answers events at the node beside the upstream: admits attempts,
/// hands them to the upstream, and keeps each one's answer or fate for the node
/// that sent it.
class CallDestination {
 public:
  CallDestination(CallContext* context, const CallUpstreamHealth* health);

  [[nodiscard]] std::size_t queued() const noexcept {
    return admission_.queued();
  }
  [[nodiscard]] std::uint32_t running() const noexcept {
    return admission_.running();
  }
  [[nodiscard]] std::size_t held() const noexcept { return held_; }
  /// \returns Whether an attempt waits, runs, or has an answer that is being
  /// sent or may be fetched, or a claim is being made or deleted.
  [[nodiscard]] bool has_work() const noexcept;

  void Reduce(const AttemptArrived& event);
  void Reduce(const FetchArrived& event);
  void Reduce(const CancelArrived& event);
  void Reduce(const LinkLost& event);
  void Reduce(const AnswerSent& event);
  void Reduce(const UpstreamShed& event);
  void Reduce(const UpstreamReplaced& event);
  void Reduce(const UpstreamUnreached& event);
  void Reduce(const UpstreamAnswering& event);
  void Reduce(const UpstreamFinished& event);
  void Reduce(const UpstreamBroken& event);
  void Reduce(const LinkLoadChanged& event) { link_.Note(event); }
  void Reduce(const StoreReplied& event);
  /// \brief Answers the time that has passed.
  void Tick();
  /// \returns Whether this host leaves and an attempt of the mean length would
  /// keep it.
  [[nodiscard]] bool HasStoppedAccepting() const noexcept;
  /// \brief Refuses everything that waits.
  void RefuseWaiting(NotRunReason reason);

 private:
  [[nodiscard]] std::optional<Refusal> CheckIdentity(
      const AttemptRequest& request) const;
  [[nodiscard]] std::optional<Refusal> CheckCapacity(
      const AttemptRequest& request) const;
  void RefuseArrival(const AttemptArrived& event, const Refusal& refusal);
  void Explain(const AttemptRequest& request,
               Milliseconds left,
               ReplyNotRun* reply) const;
  /// \brief Joins an attempt to the one that has its order already.
  /// \returns Whether there is one.
  [[nodiscard]] bool JoinOrder(const AttemptArrived& event);
  void Admit(const AttemptArrived& event);
  void Claim(const OrderId& order, Attempt* attempt);
  void TakeClaims();
  void Enqueue(Attempt* attempt);
  /// \returns Why the answer could not leave over this host's link in time.
  [[nodiscard]] std::optional<Refusal> CheckLink(
      const AttemptRequest& request) const;
  /// \returns The time that an attempt of this class is expected to take;
  /// `kNeverServed` where nothing is known of it, or its answer takes long to
  /// leave over this host's link.
  [[nodiscard]] Nanoseconds TimeNeeded(const std::string& request_class) const;
  [[nodiscard]] Milliseconds BackAfter() const;
  void StartWaiting();
  void Start(Attempt* attempt);

  /// \brief Answers a connection that asks for a known attempt.
  void Join(Attempt* attempt,
            const AttemptId& asked,
            LinkId link,
            bool fetches);
  void ReplyToAbsent(LinkId link, const AttemptId& id, std::uint64_t start_id);
  [[nodiscard]] std::uint16_t LoadPermille() const noexcept;
  [[nodiscard]] DestinationTimes TimesOf(const Attempt& attempt) const;
  void Bind(Attempt* attempt);
  void HoldAnswer(Attempt* attempt);
  void CancelOrphan(Attempt* attempt);

  /// \brief Ends an attempt that the upstream does not have.
  /// \param reached_upstream Whether the upstream was asked and refused.
  void Refuse(Attempt* attempt,
              const Refusal& refusal,
              bool reached_upstream = false);
  /// \brief Ends an attempt that the upstream may have run.
  void EndUnknown(Attempt* attempt);
  void ReleaseSlot(Attempt* attempt);
  void Forget(Attempt* attempt, AttemptFate fate);
  void Expire(Attempt* attempt);
  void TellNews(Attempt* attempt);
  void Schedule(Attempt* attempt);

  CallContext* context_;
  const CallUpstreamHealth* health_;
  AdmissionQueue admission_;
  LinkQueue link_;
  OrderLedger orders_;
  AttemptTable table_;
  TimerQueue<Attempt> timers_;
  std::size_t held_ = 0;
};

}  // namespace cassiabend
