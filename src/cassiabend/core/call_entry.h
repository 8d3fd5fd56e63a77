#pragma once

#include <boost/container/static_vector.hpp>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "cassiabend/core/allotments/allotments.h"
#include "cassiabend/core/balancer.h"
#include "cassiabend/core/call_context.h"
#include "cassiabend/core/dispatch_gate.h"
#include "cassiabend/core/refused_calls.h"
#include "cassiabend/core/retry_budget.h"
#include "cassiabend/core/rollout/version_gate.h"
#include "cassiabend/core/teams/caller_identity.h"
#include "cassiabend/core/timer_queue.h"

namespace cassiabend {

/// \brief Most attempts of one call, whatever the settings allow.
inline constexpr std::size_t kMaxAttemptsLimit = 8;

/// \brief Handles events at the entry node of a call: routes the call, sends
/// attempts, recovers answers whose connection was lost, and reports the
/// outcome to the caller.
class CallEntry {
 public:
  CallEntry(CallContext* context,
            Balancer* balancer,
            VersionGate* versions,
            Allotments* allotments);

  [[nodiscard]] std::size_t calls() const noexcept { return calls_.size(); }
  [[nodiscard]] const RetryBudget& budget() const noexcept { return budget_; }

  void Reduce(const CallArrived& event);
  void Reduce(const CallTurn& event);
  /// \brief Resumes the calls that wait for this node to be ready.
  void OnReady();
  /// \brief Looks again at the calls whose key is unknown: a version was
  /// applied, or the one in force was confirmed.
  void OnVersionNews();
  void Reduce(const AttemptNotRun& event);
  void Reduce(const AttemptAnswerStarted& event);
  void Reduce(const AttemptStillRunning& event);
  void Reduce(const BodyWanted& event);
  void Reduce(const AttemptUnknown& event);
  void Reduce(const AttemptConnectionLost& event);
  void Reduce(const AnswerRelayed& event);
  void Reduce(const CallerDisconnected& event);
  /// \brief Handles the timers that have expired.
  void Tick();
  /// \brief Shortens the deadlines of open calls to the end of the shutdown in
  /// progress.
  void LimitDeadlines();

 private:
  enum class State : std::uint8_t {
    /// Nothing was sent: an earlier request of the connection is not answered
    /// yet. Its answer may close the connection, and the caller would then send
    /// this request again.
    kWaitingForTurn,
    /// Nothing was sent: this process has just started and has no configuration
    /// version yet.
    kWaitingForReadiness,
    /// Nothing was sent: the version in force does not have the caller's key.
    kWaitingForKey,
    /// The attempt was offered, and its body not sent yet.
    kOffered,
    /// The attempt was sent.
    kSent,
    /// Its answer is being fetched over a new connection.
    kFetching,
    /// It is being cancelled over a new connection.
    kCancelling,
    /// A fetch has failed; the next one is sent after a pause.
    kWaitingToFetch,
    /// The answer is being relayed to the caller.
    kRelaying,
  };

  struct Call : TimerEntry {
    CallId id = 0;
    CallMetadata metadata;
    RefPtr<const Snapshot> snapshot;
    const Route* route = nullptr;
    CallerIdentity caller;
    std::string site;
    /// The route's service, or the one chosen from its traffic split.
    std::string service;
    MonoTime arrived_at{};
    /// Whether the request is pipelined behind others that are not answered
    /// yet.
    bool waits_turn = false;
    /// When the call was counted against its team's allotment; unset if it was
    /// not.
    std::optional<MonoTime> allotted_at;
    /// When the caller first sent the request, as far as is known; before
    /// `arrived_at` if it was refused and retries.
    MonoTime first_sent_at{};
    /// The caller's own deadline; unset if it states none.
    std::optional<MonoTime> caller_deadline;
    MonoTime deadline{};
    State state = State::kSent;
    /// The newest attempt.
    AttemptRequest request;
    MonoTime sent_at{};
    /// Upstreams of all attempts, the newest last.
    boost::container::static_vector<RefPtr<Upstream>, kMaxAttemptsLimit> tried;
    /// Whether the balancer still counts the newest attempt as outstanding.
    bool outstanding = false;
    /// Whether an attempt before the newest may have run.
    bool may_have_run = false;
    /// Attempts that reached an upstream, or may have.
    std::uint32_t upstream_attempts = 0;
    /// The newest refusal that is not transient; the first one if all are.
    std::optional<Refusal> refusal;
    /// Whether a connection of the newest attempt was lost for lack of
    /// progress.
    bool connection_timed_out = false;
    std::uint8_t failed_fetches = 0;
    /// Status of the answer that is being relayed; 0 before.
    std::uint16_t status = 0;
    /// Why the call is not answered: a stable name and a description.
    std::string_view reason;
    std::string detail;
    std::optional<CallPhases> phases;
    /// Why no further attempt was made.
    std::string_view no_retry;
  };
  using CallTable = std::unordered_map<CallId, std::unique_ptr<Call>>;

  [[nodiscard]] Call* Find(CallId id) const;
  [[nodiscard]] Call* Find(CallId id, const AttemptId& attempt) const;
  [[nodiscard]] std::optional<Refusal> Route(Call* call);
  [[nodiscard]] const cassiabend::Route* FindRoute(const Call& call) const;
  [[nodiscard]] std::optional<Refusal> Identify(Call* call) const;
  /// \returns Until when a call may wait for a version that has its key.
  [[nodiscard]] MonoTime KeyDeadline(const Call& call) const;
  void OnUnknownKey(Call* call);
  [[nodiscard]] std::optional<Refusal> CheckSite(Call* call) const;
  [[nodiscard]] MonoTime LimitDeadline(MonoTime deadline) const;
  void RecogniseCallerRetry(Call* call);
  [[nodiscard]] bool MayAwaitReadiness(const Call& call) const;
  [[nodiscard]] MonoTime ReadinessDeadline(const Call& call) const;
  void StartCall(Call* call);
  void SendFirstAttempt(Call* call);
  /// \brief Counts the call against its team's allotment.
  /// \returns Why it must not be sent; unset if it may.
  [[nodiscard]] std::optional<Refusal> TakeAllotment(Call* call);
  /// \brief Takes back what was counted if no upstream was reached.
  void ReturnAllotment(const Call& call);
  [[nodiscard]] static bool MustWaitTurn(const Call& call);
  [[nodiscard]] RefPtr<Upstream> ChooseUpstream(const Call& call);
  [[nodiscard]] RefPtr<Upstream> PickUpstream(const Call& call,
                                              const UpstreamQuery& query);
  void SendAttemptTo(Call* call, RefPtr<Upstream> upstream);
  /// \returns The state of a call once `verb` is sent.
  [[nodiscard]] static State StateAfter(AttemptVerb verb);
  void SendVerb(Call* call, AttemptVerb verb);
  /// \brief Sets the times left to the newest attempt.
  void SetTimesLeft(Call* call);
  /// \returns Whether the body is offered to `upstream` before it is sent.
  [[nodiscard]] bool MustOfferBody(const Call& call,
                                   const Upstream& upstream) const;
  /// \returns Why the body could not leave over this host's link in time; unset
  /// if it could.
  [[nodiscard]] std::optional<Refusal> CheckOwnLink(const Call& call) const;
  /// \brief If the call is made for a run at this host's upstream, sets its
  /// depth.
  void RecogniseInnerCall(Call* call) const;
  /// \brief Counts how an inner call of this host's upstream has ended.
  void RecordInnerCall(const Call& call, std::string_view outcome);
  [[nodiscard]] Milliseconds Remaining(const Call& call) const;
  /// \returns Time left to the latency objective; 0 if the route has none. A
  /// missed objective has 1 ms left, which no upstream can meet.
  [[nodiscard]] Milliseconds ObjectiveLeft(const Call& call) const;
  /// \returns The time by which the caller should have its answer.
  [[nodiscard]] MonoTime AnswerDue(const Call& call) const;
  /// \returns Which limit forbids another attempt; empty if none does.
  [[nodiscard]] std::string_view RetryDenialReason(const Call& call) const;
  /// \brief Sends the next attempt if the limits allow one.
  /// \param needs_room Whether the upstream must have spare capacity.
  /// \returns Whether it was sent.
  [[nodiscard]] bool Retry(Call* call, bool needs_room);
  [[nodiscard]] bool RetryAfterError(Call* call);
  [[nodiscard]] std::pair<std::string_view, std::string_view> RetryBudgetKey(
      const Call& call) const;
  void DepositRetry(const Call& call);
  [[nodiscard]] bool TryWithdrawRetry(const Call& call);
  [[nodiscard]] std::uint32_t RetryBudgetLeft(const Call& call) const;
  void RecoverAnswer(Call* call);
  void OnFetchFailed(Call* call);
  void GiveUpAttempt(Call* call);
  void EndAttempt(Call* call, AttemptOutcome outcome, Milliseconds retry_after);
  /// \brief Ends an attempt that was answered.
  void EndAnswered(Call* call,
                   const AttemptAnswerStarted& event,
                   AttemptOutcome outcome);
  /// \brief Ends the attempt and drops its answer.
  void AbandonAttempt(Call* call, AttemptOutcome outcome);
  /// \param errored Whether the answer is a server error.
  void RecordTimes(Call* call, const DestinationTimes& times, bool errored);
  void OnTimerExpired(Call* call);
  void Schedule(Call* call);

  void FinishNotRun(Call* call, const Refusal& refusal);
  /// \param reason Stable name of the reason, for logs.
  void FinishUnknown(Call* call,
                     std::string_view reason,
                     std::string detail,
                     bool timed_out = false);
  void AddOutcomeDetails(const Call& call, CallEnded* ended) const;
  void Finish(Call* call, std::string_view outcome);

  CallContext* context_;
  Balancer* balancer_;
  VersionGate* versions_;
  Allotments* allotments_;
  RetryBudget budget_;
  RefusedCalls refused_calls_;
  CallTable calls_;
  /// Calls in the state `kWaitingForKey`.
  std::set<CallId> awaiting_key_;
  TimerQueue<Call> timers_;
};

}  // namespace cassiabend
