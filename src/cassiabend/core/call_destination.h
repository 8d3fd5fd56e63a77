#pragma once

#include "cassiabend/core/admission.h"
#include "cassiabend/core/attempt.h"
#include "cassiabend/core/attempt_table.h"
#include "cassiabend/core/call_context.h"
#include "cassiabend/core/call_upstream_health.h"
#include "cassiabend/core/dispatch_gate.h"
#include "cassiabend/core/link_queue.h"
#include "cassiabend/core/order_claims.h"

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
  /// \returns Whether an attempt is queued or running, or has an answer that is
  /// being sent or may be fetched, or a store call for a claim is in progress.
  [[nodiscard]] bool has_work() const noexcept;

  void Reduce(const AttemptArrived& event);
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
  void Reduce(const LinkLoadChanged& event) { link_.OnLoadChanged(event); }
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
  [[nodiscard]] Milliseconds QueueRetryAfter() const;
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
  LinkQueue link_;
  OrderClaims order_claims_;
  AttemptTable table_;
  TimerQueue<Attempt> timers_;
  std::size_t held_ = 0;
};

}  // namespace cassiabend
