#pragma once

#include <boost/container/static_vector.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "cassiabend/core/balancer.h"
#include "cassiabend/core/call_context.h"
#include "cassiabend/core/call_timer.h"
#include "cassiabend/core/dispatch_gate.h"
#include "cassiabend/core/retry_budget.h"
#include "cassiabend/core/return_ledger.h"

namespace cassiabend {

/// \brief Most attempts that one call can be given.
inline constexpr std::size_t kMaxAttemptsLimit = 8;

/// \brief Answers events at the node that a call entered: routes the call,
/// sends attempts, recovers answers whose connection was lost, and tells the
/// caller how the call ended.
class CallEntry {
 public:
  CallEntry(CallContext* context, Balancer* balancer);

  [[nodiscard]] std::size_t calls() const noexcept { return calls_.size(); }
  [[nodiscard]] const RetryBudget& budget() const noexcept { return budget_; }

  void Reduce(const CallArrived& event);
  void Reduce(const CallTurn& event);
  /// \brief Goes on with the calls that wait for this node to be ready.
  void BecomeReady();
  void Reduce(const AttemptNotRun& event);
  void Reduce(const AttemptAnswering& event);
  void Reduce(const AttemptStillRunning& event);
  void Reduce(const AttemptUnknown& event);
  void Reduce(const AttemptLost& event);
  void Reduce(const AnswerRelayed& event);
  void Reduce(const CallerGone& event);
  /// \brief Answers the time that has passed.
  void Tick();
  /// \brief Brings the deadlines of open calls forward to the end of the
  /// shutdown that has begun.
  void LimitDeadlines();

 private:
  enum class Phase : std::uint8_t {
    /// Nothing was sent: an earlier request of the connection may still end it,
    /// and the caller would then send this one again.
    kWaitingTurn,
    /// Nothing was sent: this process has just started and gets its first
    /// version.
    kWaitingReady,
    /// The attempt was sent.
    kSent,
    /// Its answer is being fetched over a new connection.
    kFetching,
    /// It is being cancelled over a new connection.
    kCancelling,
    /// The next fetch waits for its time.
    kWaiting,
    /// The answer is on its way to the caller.
    kRelaying,
  };

  struct Call : TimerEntry {
    CallId id = 0;
    CallFacts facts;
    RefPtr<const Snapshot> snapshot;
    const Route* route = nullptr;
    std::string site;
    /// The route's service, or the one drawn from its split.
    std::string service;
    MonoTime arrived_at{};
    /// Whether its connection tells it when its turn has come.
    bool waits_turn = false;
    /// When its caller asked first, as far as is known.
    MonoTime asked_at{};
    /// When its caller gives up; unset where it does not say.
    std::optional<MonoTime> gives_up_at;
    MonoTime deadline{};
    Phase phase = Phase::kSent;
    /// The newest attempt.
    AttemptRequest request;
    MonoTime sent_at{};
    /// Upstreams of all attempts, the newest last.
    boost::container::static_vector<RefPtr<Upstream>, kMaxAttemptsLimit> tried;
    /// Whether the newest attempt still counts as outstanding.
    bool outstanding = false;
    /// Whether an attempt before the newest may have run.
    bool may_have_run = false;
    /// Attempts that reached an upstream, or may have.
    std::uint32_t arrivals = 0;
    /// The refusal that says most of why the call was not run.
    std::optional<Refusal> refusal;
    /// Whether the newest attempt's connection fell silent.
    bool silent = false;
    std::uint8_t failed_fetches = 0;
    /// Status of the answer that is relayed; 0 before.
    std::uint16_t status = 0;
    /// Why the call is not answered, by name and in words.
    std::string_view reason;
    std::string detail;
    std::optional<CallPhases> phases;
    /// Why the newest attempt was not followed by another.
    std::string_view no_retry;
  };
  using CallTable = std::unordered_map<CallId, std::unique_ptr<Call>>;

  [[nodiscard]] Call* Find(CallId id) const;
  [[nodiscard]] Call* Find(CallId id, const AttemptId& attempt) const;
  [[nodiscard]] std::optional<Refusal> Route(Call* call);
  [[nodiscard]] std::optional<Refusal> CheckSite(Call* call) const;
  [[nodiscard]] MonoTime LimitDeadline(MonoTime deadline) const;
  void RecogniseReturn(Call* call);
  [[nodiscard]] bool MayAwaitReadiness(const Call& call) const;
  [[nodiscard]] MonoTime ReadinessDue(const Call& call) const;
  void Begin(Call* call);
  void SendFirst(Call* call);
  [[nodiscard]] static bool MustWaitTurn(const Call& call);
  [[nodiscard]] RefPtr<Upstream> Choose(const Call& call);
  void SendTo(Call* call, RefPtr<Upstream> upstream);
  /// \returns The phase of an attempt from when the verb is sent.
  [[nodiscard]] static Phase PhaseAfter(AttemptVerb verb);
  void SendVerb(Call* call, AttemptVerb verb);
  [[nodiscard]] Milliseconds Remaining(const Call& call) const;
  /// \returns Time left within which the answer is worth most; 0 for none. Of
  /// an objective that is missed 1 ms is left, which no upstream can meet.
  [[nodiscard]] Milliseconds ObjectiveLeft(const Call& call) const;
  /// \returns When the caller should have its answer.
  [[nodiscard]] MonoTime DueOf(const Call& call) const;
  /// \returns Why the call may not be tried again; empty when it may.
  [[nodiscard]] std::string_view RetryLimit(const Call& call) const;
  /// \brief Sends the next attempt if the limits allow one.
  /// \param needs_room Whether only an upstream with room will do.
  /// \returns Whether it was sent.
  [[nodiscard]] bool Retry(Call* call, bool needs_room);
  [[nodiscard]] bool RetryError(Call* call);
  [[nodiscard]] std::pair<std::string_view, std::string_view> BudgetOf(
      const Call& call) const;
  void Earn(const Call& call);
  [[nodiscard]] bool Spend(const Call& call);
  [[nodiscard]] std::uint32_t BudgetLeft(const Call& call) const;
  void Recover(Call* call);
  void FetchFailed(Call* call);
  void GiveUpAttempt(Call* call);
  void EndAttempt(Call* call, AttemptOutcome outcome, Milliseconds retry_after);
  /// \brief Ends the attempt and drops its answer.
  void Abandon(Call* call, AttemptOutcome outcome);
  /// \param errored Whether the answer is an error of the upstream.
  void RecordTimes(Call* call, const DestinationTimes& times, bool errored);
  void Expire(Call* call);
  void Schedule(Call* call);

  void FinishNotRun(Call* call, const Refusal& refusal);
  /// \param reason Stable name of why.
  void FinishUnknown(Call* call,
                     std::string_view reason,
                     std::string detail,
                     bool timed_out = false);
  void Explain(const Call& call, CallEnded* ended) const;
  void Finish(Call* call, std::string_view outcome);

  CallContext* context_;
  Balancer* balancer_;
  RetryBudget budget_;
  ReturnLedger returns_;
  CallTable calls_;
  TimerQueue<Call> timers_;
};

}  // namespace cassiabend
