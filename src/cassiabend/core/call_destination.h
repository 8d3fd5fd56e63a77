#pragma once

#include <algorithm>

#include "cassiabend/core/admission.h"
#include "cassiabend/core/attempt.h"
#include "cassiabend/core/attempt_table.h"
#include "cassiabend/core/call_context.h"
#include "cassiabend/core/call_upstream_health.h"
#include "cassiabend/core/dispatch_gate.h"
#include "cassiabend/core/link_queue.h"
#include "cassiabend/core/links/body_queue.h"
#include "cassiabend/core/order_claims.h"
#include "cassiabend/core/queueing/inner_calls.h"
#include "cassiabend/core/queueing/return_time.h"

namespace cassiabend {

/// \brief Handles events at the node of the upstream: admits attempts, passes
/// them to the upstream, and keeps the answer or the final state of each for
/// the entry node.
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
  /// \returns Bodies that wait for this host's link or are on their way here.
  [[nodiscard]] std::size_t bodies() const noexcept { return bodies_.size(); }
  /// \returns Slots that may hold attempts that are no inner calls.
  [[nodiscard]] std::uint32_t NewWorkSlots() const noexcept {
    return std::min(health_->slots(), admission_.new_work_slots());
  }
  /// \returns Whether an attempt is queued or running, or has an answer that is
  /// being sent or may be fetched, or a store call for a claim is in progress.
  [[nodiscard]] bool has_work() const noexcept;

  void Reduce(const AttemptArrived& event);
  void Reduce(const BodyOffered& event);
  void Reduce(const FetchArrived& event);
  void Reduce(const CancelArrived& event);
  void Reduce(const ConnectionLost& event);
  void Reduce(const AnswerSent& event);
  void Reduce(const UpstreamShed& event);
  void Reduce(const UpstreamReplaced& event);
  void Reduce(const UpstreamUnreachable& event);
  void Reduce(const UpstreamAnswerStarted& event);
  void Reduce(const UpstreamAnswerCompleted& event);
  void Reduce(const UpstreamConnectionLost& event);
  void Reduce(const LinkLoadChanged& event);
  void Reduce(const StoreReplied& event);
  /// \brief Handles the timers that have expired.
  void Tick();
  /// \returns Whether the node drains and an attempt of mean duration would
  /// delay its exit.
  [[nodiscard]] bool HasStoppedAccepting() const noexcept;
  /// \brief Refuses the attempts that wait for a slot or for the claim of their
  /// order.
  void RefuseWaiting(NotRunReason reason);

 private:
  /// \returns `event` with what this node knows of its call and team.
  [[nodiscard]] AttemptArrived Localise(const AttemptArrived& event);
  void HandleNewAttempt(const AttemptArrived& event);
  /// \returns Why the body of an offered attempt could not arrive in time to be
  /// of use; unset if it could.
  [[nodiscard]] std::optional<Refusal> CheckBody(
      const AttemptRequest& request) const;
  /// \returns The latest time at which the body must begin to be sent.
  [[nodiscard]] MonoTime BodyBeginBy(const AttemptRequest& request) const;
  void RefuseOffer(const BodyOffer& offer, const Refusal& refusal);
  /// \brief Lets bodies in for which the link has room, and refuses those that
  /// could not arrive in time.
  void HandleOffers();
  /// \brief Adapts the slots of new work to the inner calls of this upstream.
  void UpdateNewWorkSlots();
  [[nodiscard]] std::optional<Refusal> CheckIdentity(
      const AttemptRequest& request) const;
  [[nodiscard]] std::optional<Refusal> CheckCapacity(
      const AttemptRequest& request) const;
  void RefuseArrival(const AttemptArrived& event, const Refusal& refusal);
  void AddRefusalDetails(const AttemptRequest& request,
                         Milliseconds left,
                         ReplyNotRun* reply) const;
  /// \brief Attaches an attempt to the one that owns its order.
  /// \returns Whether there is one.
  [[nodiscard]] bool AttachToOrder(const AttemptArrived& event);
  void Admit(const AttemptArrived& event);
  void ClaimOrder(const OrderId& order, Attempt* attempt);
  void HandleClaimOutcomes();
  void Enqueue(Attempt* attempt);
  /// \returns Why the answer could not be sent over this host's network link in
  /// time; unset if it could.
  [[nodiscard]] std::optional<Refusal> CheckLink(
      const AttemptRequest& request) const;
  /// \returns The time that an attempt of this class is expected to take;
  /// `kNeverServed` if none was measured, or if its answer takes long to send
  /// over this host's network link.
  [[nodiscard]] Nanoseconds TimeNeeded(const std::string& request_class) const;
  [[nodiscard]] Milliseconds QueueRetryAfter(
      const AttemptRequest& request) const;
  void StartQueued();
  void StartAttempt(Attempt* attempt);

  /// \brief Attaches a connection that asks for a known attempt.
  void AttachConnection(Attempt* attempt,
                        const AttemptId& requested_id,
                        ConnectionId connection,
                        bool is_fetch_or_cancel);
  void ReplyToUnknownAttempt(ConnectionId connection,
                             const AttemptId& id,
                             std::uint64_t start_id);
  [[nodiscard]] std::uint16_t LoadPermille() const noexcept;
  [[nodiscard]] DestinationTimes TimesOf(const Attempt& attempt) const;
  void SendAnswerToWaiting(Attempt* attempt);
  void HoldAnswer(Attempt* attempt);
  void CancelOrphan(Attempt* attempt);

  /// \brief Ends an attempt that the upstream has not run.
  /// \param reached_upstream Whether the attempt reached the upstream, which
  /// refused it.
  void Refuse(Attempt* attempt,
              const Refusal& refusal,
              bool reached_upstream = false);
  /// \brief Ends an attempt that the upstream may have run.
  void EndAsUnknown(Attempt* attempt);
  void ReleaseSlot(Attempt* attempt);
  void EndAttempt(Attempt* attempt, TombstoneKind kind);
  void OnTimerExpired(Attempt* attempt);
  void ReportProgress(Attempt* attempt);
  void Schedule(Attempt* attempt);

  CallContext* context_;
  const CallUpstreamHealth* health_;
  AdmissionQueue admission_;
  InnerCalls inner_calls_;
  LinkQueue link_;
  BodyQueue bodies_;
  OrderClaims order_claims_;
  AttemptTable table_;
  TimerQueue<Attempt> timers_;
  std::size_t held_ = 0;
};

}  // namespace cassiabend
