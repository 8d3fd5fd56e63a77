#include "cassiabend/core/call_entry.h"

#include <algorithm>
#include <utility>

#include "cassiabend/core/call_refusals.h"
#include "cassiabend/core/link_queue.h"
#include "cassiabend/core/weighted_service.h"

namespace cassiabend {
namespace {

/// Failed fetches of one attempt after which it is cancelled, or given up if it
/// may be repeated.
constexpr std::uint8_t kMaxFailedFetches = 2;
constexpr Milliseconds kFetchRetryDelay{40};
/// The deadline passed on to the destination is shorter than the call's by the
/// smaller of this margin and this share (1/10) of the time left, so that a
/// refusal comes back in time.
constexpr Milliseconds kReplyMargin{30};
constexpr int kMarginShare = 10;
/// Shortest time left with which an attempt is sent.
constexpr Milliseconds kMinAttemptTime{2};
/// Time before the deadline at which a sent attempt that may run only once is
/// cancelled if its answer has not begun.
constexpr Milliseconds kCancelMargin{80};
/// An error is retried if more time is left than the attempt took, divided by
/// this: errors come sooner than answers.
constexpr int kErrorTimeShare = 2;

}  // namespace

CallEntry::CallEntry(CallContext* context,
                     Balancer* balancer,
                     VersionGate* versions,
                     Allotments* allotments)
    : context_(context),
      balancer_(balancer),
      versions_(versions),
      allotments_(allotments),
      budget_(context->options.retry_budget_permille) {}

void CallEntry::Reduce(const CallArrived& event) {
  auto& slot = calls_[event.call];
  if (slot) {
    return;
  }
  slot = std::make_unique<Call>();
  Call* call = slot.get();
  call->id = event.call;
  call->metadata = event.metadata;
  call->arrived_at = context_->now.mono;
  call->first_sent_at = call->arrived_at;
  call->deadline = call->arrived_at + context_->options.default_timeout;
  call->waits_turn = event.waits_turn;
  RecogniseInnerCall(call);
  if (MayAwaitReadiness(*call)) {
    call->state = State::kWaitingForReadiness;
    call->deadline = ReadinessDeadline(*call);
    Schedule(call);
    return;
  }
  StartCall(call);
}

void CallEntry::StartCall(Call* call) {
  awaiting_key_.erase(call->id);
  if (const auto refusal = Route(call)) {
    if (refusal->reason == NotRunReason::kUnknownKey) {
      OnUnknownKey(call);
      return;
    }
    FinishNotRun(call, *refusal);
    return;
  }
  RecogniseCallerRetry(call);
  DepositRetry(*call);
  if (call->waits_turn && MustWaitTurn(*call)) {
    call->state = State::kWaitingForTurn;
    Schedule(call);
    return;
  }
  SendFirstAttempt(call);
}

/// \brief If the caller was refused before and now retries, counts its latency
/// objective from its first request.
void CallEntry::RecogniseCallerRetry(Call* call) {
  if (!call->caller_deadline) {
    return;
  }
  if (const auto first_sent_at = refused_calls_.TakeRetried(
          call->route->name, context_->now.mono, *call->caller_deadline)) {
    call->first_sent_at = *first_sent_at;
  }
}

MonoTime CallEntry::LimitDeadline(MonoTime deadline) const {
  if (!context_->draining) {
    return deadline;
  }
  return std::min(deadline,
                  context_->draining_since + context_->options.shutdown_finish);
}

void CallEntry::LimitDeadlines() {
  for (const auto& [id, call] : calls_) {
    call->deadline = LimitDeadline(call->deadline);
    if (call->state != State::kRelaying) {
      Schedule(call.get());
    }
  }
}

std::optional<Refusal> CallEntry::Route(Call* call) {
  // Calls that the upstream makes for attempts in progress belong to those.
  const bool in_flight =
      call->metadata.depth > 0 && context_->upstream_calls > 0;
  if (context_->HasStoppedServing() && !in_flight) {
    return Refusal{NotRunReason::kDraining};
  }
  if (!context_->ready || !context_->snapshot) {
    return Refusal{NotRunReason::kNotReady};
  }
  const CallMetadata& metadata = call->metadata;
  if (metadata.depth >= kMaxCallDepth) {
    return Refusal{NotRunReason::kDepthExceeded};
  }
  call->snapshot = context_->snapshot;
  call->route = FindRoute(*call);
  if (call->route == nullptr) {
    return Refusal{NotRunReason::kNoRoute};
  }
  Milliseconds timeout = call->route->timeout > Milliseconds(0)
                             ? call->route->timeout
                             : context_->options.default_timeout;
  if (metadata.deadline) {
    const Milliseconds margin = std::min(context_->options.caller_margin,
                                         *metadata.deadline / kMarginShare);
    timeout = std::min(timeout, *metadata.deadline - margin);
    call->caller_deadline = call->arrived_at + *metadata.deadline;
  }
  timeout = std::min(timeout, LongestDeadline(context_->options));
  call->deadline = LimitDeadline(call->arrived_at + timeout);
  if (Remaining(*call) <= kMinAttemptTime) {
    return Refusal{NotRunReason::kDeadline};
  }
  if (const auto refusal = Identify(call)) {
    return refusal;
  }
  call->service = PickWeightedService(*call->route, &context_->random);
  return CheckSite(call);
}

std::optional<Refusal> CallEntry::CheckSite(Call* call) const {
  const cassiabend::Route& route = *call->route;
  if (!route.noisy) {
    return std::nullopt;
  }
  call->site = route.site;
  for (const auto& [name, value] : call->metadata.headers) {
    if (call->site.empty() && name == route.site_header) {
      call->site = value;
    }
  }
  return CheckNoisyWork(*context_, {call->site, route.longest_job,
                                    call->snapshot->mark().number});
}

void CallEntry::SendFirstAttempt(Call* call) {
  RefPtr<Upstream> upstream = ChooseUpstream(*call);
  if (!upstream) {
    FinishNotRun(call, {NotRunReason::kNoUpstream});
    return;
  }
  if (MustOfferBody(*call, *upstream)) {
    if (const auto refusal = CheckOwnLink(*call)) {
      FinishNotRun(call, *refusal);
      return;
    }
  }
  if (const auto refusal = TakeAllotment(call)) {
    FinishNotRun(call, *refusal);
    return;
  }
  SendAttemptTo(call, std::move(upstream));
}

RefPtr<Upstream> CallEntry::ChooseUpstream(const Call& call) {
  UpstreamQuery query{call.service,
                      {call.tried.data(), call.tried.size()},
                      call.route->request_class,
                      ObjectiveLeft(call),
                      {}};
  const VersionChoice choice =
      versions_->Choose(context_->now.mono, call.service,
                        call.tried.empty() && !call.metadata.is_retry);
  query.version = choice.version;
  RefPtr<Upstream> upstream =
      choice.canaries.empty()
          ? PickUpstream(call, query)
          : balancer_->PickAmong(context_->now.mono, query, choice.canaries,
                                 &context_->random);
  if (!upstream && choice.fallback) {
    query.version = *choice.fallback;
    upstream = PickUpstream(call, query);
  }
  return upstream;
}

RefPtr<Upstream> CallEntry::PickUpstream(const Call& call,
                                         const UpstreamQuery& query) {
  const bool keyed = call.route->repeat == RepeatPolicy::kOnce &&
                     !call.metadata.order_key.empty();
  if (keyed) {
    return balancer_->PickHome(context_->now.mono, query,
                               call.metadata.order_key);
  }
  return balancer_->Pick(context_->now.mono, query, &context_->random);
}

void CallEntry::SendAttemptTo(Call* call, RefPtr<Upstream> upstream) {
  AttemptRequest& request = call->request;
  const cassiabend::Route& route = *call->route;
  request.id = context_->random.NextId();
  request.request_id = call->metadata.request_id;
  request.destination_start_id = upstream->member().start_id;
  request.route = route.name;
  request.service = call->service;
  request.team = call->metadata.team;
  request.request_class = route.request_class;
  request.order_key = call->metadata.order_key;
  request.site = call->site;
  request.caller_service = context_->self.service;
  request.priority = route.priority;
  request.team_priority = TeamPriorityOf(call->caller, route);
  request.has_verified_team = call->caller.kind != CallerKind::kUnchecked;
  request.noisy = route.noisy;
  request.once = route.repeat == RepeatPolicy::kOnce;
  request.longest_job = route.longest_job;
  request.config_number = call->snapshot->mark().number;
  request.depth = call->metadata.depth;
  request.is_retry = call->metadata.is_retry || !call->tried.empty();
  const bool offers_body = MustOfferBody(*call, *upstream);
  request.body_bytes = offers_body ? call->metadata.body_bytes : 0;
  SetTimesLeft(call);
  balancer_->RecordStart(upstream.get());
  versions_->RecordStart(context_->now.mono, upstream->member(),
                         route.request_class);
  call->tried.push_back(std::move(upstream));
  call->outstanding = true;
  call->connection_timed_out = false;
  call->failed_fetches = 0;
  call->sent_at = context_->now.mono;
  SendVerb(call, offers_body ? AttemptVerb::kOffer : AttemptVerb::kRun);
}

void CallEntry::SetTimesLeft(Call* call) {
  const Milliseconds left = Remaining(*call);
  const Milliseconds margin = std::min(kReplyMargin, left / kMarginShare);
  AttemptRequest& request = call->request;
  request.deadline = std::max(left - margin, kMinAttemptTime);
  request.objective = ObjectiveLeft(*call);
  request.expires_at = context_->now.wall + request.deadline;
}

CallEntry::State CallEntry::StateAfter(AttemptVerb verb) {
  if (verb == AttemptVerb::kOffer) {
    return State::kOffered;
  }
  if (verb == AttemptVerb::kRun) {
    return State::kSent;
  }
  return verb == AttemptVerb::kFetch ? State::kFetching : State::kCancelling;
}

void CallEntry::SendVerb(Call* call, AttemptVerb verb) {
  call->state = StateAfter(verb);
  const Member& member = call->tried.back()->member();
  context_->Emit(
      SendAttempt{call->id, verb, member.id, member.call_port, call->request});
  Schedule(call);
}

void CallEntry::Reduce(const AttemptNotRun& event) {
  Call* call = Find(event.call, event.attempt);
  if (call == nullptr || call->state == State::kRelaying) {
    return;
  }
  if (call->state != State::kSent && call->state != State::kOffered &&
      context_->now.mono >= call->deadline) {
    // The destination may have dropped its record by now that it ran the
    // attempt.
    GiveUpAttempt(call);
    return;
  }
  // A node that refuses an attempt as late long before its deadline has a wrong
  // clock or does not keep up.
  const bool early = event.reason == NotRunReason::kDeadline &&
                     Remaining(*call) > call->request.deadline / 2;
  EndAttempt(call, early ? AttemptOutcome::kFailed : OutcomeOf(event.reason),
             event.retry_after);
  if (!call->refusal || !IsTransient(event.reason)) {
    call->refusal = Refusal{event.reason, event.retry_after};
  }
  if (event.times) {
    balancer_->RecordLoad(context_->now.mono, *event.times,
                          call->tried.back().get());
  }
  call->upstream_attempts += event.reached_upstream ? 1 : 0;
  const bool needs_room = event.reason == NotRunReason::kOverloaded;
  if (IsRetriable(event.reason) && Retry(call, needs_room)) {
    return;
  }
  if (call->may_have_run) {
    FinishUnknown(call, "earlier_attempt", "an earlier attempt may have run");
    return;
  }
  FinishNotRun(call, *call->refusal);
}

void CallEntry::Reduce(const AttemptAnswerStarted& event) {
  Call* call = Find(event.call, event.attempt);
  if (call == nullptr) {
    context_->Emit(DropAttempt{event.call, event.attempt});
    return;
  }
  if (call->state == State::kRelaying) {
    return;
  }
  const bool errored = IsServerError(event.status);
  if (event.times) {
    RecordTimes(call, *event.times, errored);
  }
  const bool failed = errored && context_->options.retry_errors != 0;
  EndAnswered(
      call, event,
      failed ? AttemptOutcome::kServerError : AttemptOutcome::kAnswered);
  ++call->upstream_attempts;
  if (failed && MayRepeat(call->request) && RetryAfterError(call)) {
    return;
  }
  call->status = event.status;
  call->state = State::kRelaying;
  timers_.Cancel(call);
  context_->Emit(RelayAnswer{call->id, event.attempt, AnswerDue(*call)});
}

void CallEntry::RecordTimes(Call* call,
                            const DestinationTimes& times,
                            bool errored) {
  const MonoTime now = context_->now.mono;
  Upstream* upstream = call->tried.back().get();
  call->phases =
      PhasesOf(times, call->sent_at - call->arrived_at, now - call->sent_at);
  if (errored) {
    // Errors take less or more time than answers, so their times are not
    // recorded.
    balancer_->RecordLoad(now, times, upstream);
    return;
  }
  balancer_->RecordTimes(now, call->route->request_class, now - call->sent_at,
                         times, upstream);
}

void CallEntry::Reduce(const AttemptStillRunning& event) {
  Call* call = Find(event.call, event.attempt);
  if (call == nullptr || call->state == State::kRelaying) {
    return;
  }
  call->connection_timed_out = false;
  call->failed_fetches = 0;
  SendVerb(call, AttemptVerb::kFetch);
}

void CallEntry::Reduce(const AttemptUnknown& event) {
  Call* call = Find(event.call, event.attempt);
  if (call == nullptr || call->state == State::kRelaying) {
    return;
  }
  GiveUpAttempt(call);
}

void CallEntry::Reduce(const AttemptConnectionLost& event) {
  Call* call = Find(event.call, event.attempt);
  if (call == nullptr || call->state == State::kRelaying) {
    return;
  }
  const bool is_unsent =
      call->state == State::kOffered ||
      (call->state == State::kSent && event.loss == ConnectionLoss::kNeverSent);
  if (is_unsent) {
    Reduce(AttemptNotRun{event.call, event.attempt, NotRunReason::kUnreachable,
                         Milliseconds(0)});
    return;
  }
  call->connection_timed_out =
      call->connection_timed_out || event.loss == ConnectionLoss::kTimedOut;
  RecoverAnswer(call);
}

void CallEntry::RecoverAnswer(Call* call) {
  switch (call->state) {
    case State::kSent:
      SendVerb(call, AttemptVerb::kFetch);
      return;
    case State::kFetching:
      OnFetchFailed(call);
      return;
    case State::kCancelling:
      GiveUpAttempt(call);
      return;
    case State::kWaitingForTurn:
    case State::kWaitingForReadiness:
    case State::kWaitingForKey:
    case State::kOffered:
    case State::kWaitingToFetch:
    case State::kRelaying:
      return;
  }
}

void CallEntry::OnFetchFailed(Call* call) {
  ++call->failed_fetches;
  if (call->failed_fetches < kMaxFailedFetches) {
    call->state = State::kWaitingToFetch;
    Schedule(call);
    return;
  }
  if (!call->request.once) {
    GiveUpAttempt(call);
    return;
  }
  SendVerb(call, AttemptVerb::kCancel);
}

void CallEntry::GiveUpAttempt(Call* call) {
  AbandonAttempt(call, call->connection_timed_out ? AttemptOutcome::kSilent
                                                  : AttemptOutcome::kFailed);
  call->may_have_run = true;
  ++call->upstream_attempts;
  if (MayRepeat(call->request) && Retry(call, false)) {
    return;
  }
  FinishUnknown(call, "answer_lost", "the answer of the upstream was lost");
}

void CallEntry::Reduce(const AnswerRelayed& event) {
  Call* call = Find(event.call, event.attempt);
  if (call == nullptr || call->state != State::kRelaying) {
    return;
  }
  if (event.complete) {
    balancer_->RecordAnswerSize(call->service, call->route->request_class,
                                event.bytes);
  }
  Finish(call, event.complete ? "answered" : "cut");
}

void CallEntry::Reduce(const CallerDisconnected& event) {
  Call* call = Find(event.call);
  if (call == nullptr) {
    return;
  }
  AbandonAttempt(call, AttemptOutcome::kNeutral);
  Finish(call, "caller_gone");
}

void CallEntry::Tick() {
  while (Call* call = timers_.PopDue(context_->now.mono)) {
    OnTimerExpired(call);
  }
}

void CallEntry::OnTimerExpired(Call* call) {
  if (call->state == State::kWaitingForKey) {
    StartCall(call);
    return;
  }
  const bool is_late = context_->now.mono >= call->deadline;
  if (is_late && call->state == State::kWaitingForReadiness) {
    FinishNotRun(call, {NotRunReason::kNotReady});
    return;
  }
  if (is_late && call->state == State::kWaitingForTurn) {
    FinishNotRun(call, {NotRunReason::kDeadline});
    return;
  }
  if (is_late && call->state == State::kOffered && !call->may_have_run) {
    AbandonAttempt(call, AttemptOutcome::kNeutral);
    FinishNotRun(call, {NotRunReason::kDeadline});
    return;
  }
  if (is_late) {
    AbandonAttempt(call, AttemptOutcome::kFailed);
    FinishUnknown(call, "deadline", "no answer came before the deadline", true);
    return;
  }
  if (call->state == State::kWaitingToFetch) {
    SendVerb(call, AttemptVerb::kFetch);
    return;
  }
  if (call->state == State::kSent && call->request.once) {
    SendVerb(call, AttemptVerb::kCancel);
    return;
  }
  Schedule(call);
}

void CallEntry::Schedule(Call* call) {
  MonoTime due = call->deadline;
  if (call->state == State::kWaitingForKey) {
    due = std::min(due, KeyDeadline(*call));
  }
  if (call->state == State::kWaitingToFetch) {
    due = std::min(due, context_->now.mono + kFetchRetryDelay);
  }
  if (call->state == State::kSent && call->request.once &&
      call->deadline - kCancelMargin > context_->now.mono) {
    due = call->deadline - kCancelMargin;
  }
  timers_.Schedule(call, due);
}

Milliseconds CallEntry::Remaining(const Call& call) const {
  return std::chrono::floor<Milliseconds>(call.deadline - context_->now.mono);
}

Milliseconds CallEntry::ObjectiveLeft(const Call& call) const {
  const Milliseconds objective = call.route->latency_objective;
  if (objective <= Milliseconds(0)) {
    return Milliseconds(0);
  }
  const auto aged =
      std::chrono::ceil<Milliseconds>(context_->now.mono - call.first_sent_at);
  return std::max(objective - aged, kMissedObjective);
}

MonoTime CallEntry::AnswerDue(const Call& call) const {
  return context_->now.mono +
         LinkTimeLimit(ObjectiveLeft(call), Remaining(call));
}

std::string_view CallEntry::RetryDenialReason(const Call& call) const {
  const std::size_t limit =
      std::min<std::size_t>(context_->options.max_attempts, kMaxAttemptsLimit);
  const std::uint32_t max_upstream_attempts =
      call.route->max_attempts > 0 ? call.route->max_attempts
                                   : context_->options.max_attempts;
  if (call.metadata.is_retry) {
    return "the caller retries";
  }
  if (call.tried.size() >= limit ||
      call.upstream_attempts >= max_upstream_attempts) {
    return "attempts";
  }
  return Remaining(call) > 2 * kMinAttemptTime ? "" : "time";
}

/// \brief Retries an attempt whose answer has begun to arrive and is an error,
/// and drops that answer.
/// \returns Whether the next attempt was sent.
bool CallEntry::RetryAfterError(Call* call) {
  const AttemptId failed = call->request.id;
  // The next attempt is likely to take as long as this one.
  const bool has_time =
      Remaining(*call) > (context_->now.mono - call->sent_at) / kErrorTimeShare;
  if (!has_time) {
    call->no_retry = "time";
    return false;
  }
  if (!Retry(call, true)) {
    return false;
  }
  call->may_have_run = true;
  context_->Emit(DropAttempt{call->id, failed});
  return true;
}

bool CallEntry::Retry(Call* call, bool needs_room) {
  call->no_retry = RetryDenialReason(*call);
  if (!call->no_retry.empty()) {
    return false;
  }
  RefPtr<Upstream> upstream = ChooseUpstream(*call);
  if (!upstream) {
    call->no_retry = "no other upstream";
    return false;
  }
  if (needs_room && balancer_->IsSaturated(context_->now.mono, *upstream)) {
    call->no_retry = "no room";
    return false;
  }
  if (!TryWithdrawRetry(*call)) {
    call->no_retry = "budget";
    return false;
  }
  SendAttemptTo(call, std::move(upstream));
  return true;
}

/// \returns The key of a call's retry budget: the service if all nodes share
/// the budget (`retry_burst`), else the team and the class.
std::pair<std::string_view, std::string_view> CallEntry::RetryBudgetKey(
    const Call& call) const {
  if (context_->options.retry_burst > 0) {
    return {call.service, {}};
  }
  return {call.metadata.team, call.route->request_class};
}

/// \brief Credits a call to its retry budget.
void CallEntry::DepositRetry(const Call& call) {
  if (context_->options.retry_burst > 0) {
    budget_.SetBurst(context_->options.retry_burst, balancer_->nodes());
  }
  const auto [team, request_class] = RetryBudgetKey(call);
  budget_.Deposit(team, request_class);
}

/// \brief Takes a retry from the call's budget if an earlier attempt reached an
/// upstream. An attempt that did not costs the upstreams nothing.
/// \returns Whether the retry is allowed.
bool CallEntry::TryWithdrawRetry(const Call& call) {
  const auto [team, request_class] = RetryBudgetKey(call);
  return call.upstream_attempts == 0 ||
         budget_.TryWithdraw(team, request_class);
}

std::uint32_t CallEntry::RetryBudgetLeft(const Call& call) const {
  if (call.route == nullptr) {
    return 0;
  }
  const auto [team, request_class] = RetryBudgetKey(call);
  return budget_.BalanceLeft(team, request_class);
}

void CallEntry::EndAttempt(Call* call,
                           AttemptOutcome outcome,
                           Milliseconds retry_after) {
  if (!call->outstanding) {
    return;
  }
  call->outstanding = false;
  Upstream* upstream = call->tried.back().get();
  balancer_->RecordEnd(context_->now.mono, outcome,
                       context_->now.mono - call->sent_at, retry_after,
                       upstream);
  const bool failed =
      outcome == AttemptOutcome::kFailed || outcome == AttemptOutcome::kSilent;
  versions_->RecordEnd(
      context_->now.mono, call->sent_at, upstream->member(),
      call->route->request_class,
      failed ? VersionOutcome::kFailed : VersionOutcome::kNeutral,
      Milliseconds(0));
}

void CallEntry::EndAnswered(Call* call,
                            const AttemptAnswerStarted& event,
                            AttemptOutcome outcome) {
  if (!call->outstanding) {
    return;
  }
  call->outstanding = false;
  const Nanoseconds elapsed = context_->now.mono - call->sent_at;
  Upstream* upstream = call->tried.back().get();
  balancer_->RecordEnd(context_->now.mono, outcome, elapsed, Milliseconds(0),
                       upstream);
  versions_->RecordEnd(context_->now.mono, call->sent_at, upstream->member(),
                       call->route->request_class,
                       IsServerError(event.status) ? VersionOutcome::kFailed
                                                   : VersionOutcome::kAnswered,
                       event.times ? event.times->service
                                   : std::chrono::floor<Milliseconds>(elapsed));
}

void CallEntry::AbandonAttempt(Call* call, AttemptOutcome outcome) {
  EndAttempt(call, outcome, Milliseconds(0));
  context_->Emit(DropAttempt{call->id, call->request.id});
}

CallEntry::Call* CallEntry::Find(CallId id) const {
  const auto it = calls_.find(id);
  return it == calls_.end() ? nullptr : it->second.get();
}

CallEntry::Call* CallEntry::Find(CallId id, const AttemptId& attempt) const {
  Call* call = Find(id);
  return call != nullptr && call->request.id == attempt ? call : nullptr;
}

}  // namespace cassiabend
