#include "cassiabend/core/call_destination.h"

#include <algorithm>
#include <utility>

namespace cassiabend {
namespace {

/// Time after which a fetch is told that the attempt is still running.
constexpr Milliseconds kFetchReplyDelay{1'000};
/// Pause between the progress replies of an attempt that is queued or running.
/// Two of them fit into the shortest time after which an entry node treats a
/// connection as lost (`http.progress_timeout_ms`, 1,500 ms as deployed).
constexpr Milliseconds kProgressPeriod{700};
/// Time after its deadline in which an upstream may still send its answer.
/// Callers have left by then, and an endless answer would hold its slot
/// forever.
constexpr Milliseconds kAnswerOverrun{5'000};
/// Time for which a repeatable attempt continues without a connection.
constexpr Milliseconds kOrphanGrace{150};
/// Time for which the answer of a repeatable attempt is held after it was
/// delivered completely.
constexpr Milliseconds kDeliveredHold{1'000};
/// Time for which a draining node holds an answer whose connection was lost:
/// the entry node fetches it at once, or not at all.
constexpr Milliseconds kDrainHold{1'000};
/// Weight of callers without an allotment among teams that wait, whose weights
/// are their calls per 1,000 s: that of ten calls a second.
constexpr std::uint64_t kWeightWithoutAllotment = 10'000;
constexpr Milliseconds kUnreachedRetryAfter{100};
constexpr Milliseconds kStoreRetryAfter{1'000};
constexpr Milliseconds kClaimRetryAfter{100};

}  // namespace

CallDestination::CallDestination(CallContext* context,
                                 const CallUpstreamHealth* health)
    : context_(context),
      health_(health),
      admission_(context->options),
      inner_calls_(static_cast<InnerCallMode>(context->options.inner_calls)),
      order_claims_(context),
      table_(context) {}

bool CallDestination::has_work() const noexcept {
  return !order_claims_.is_idle() ||
         std::ranges::any_of(table_.attempts(), [this](const auto& it) {
           const Attempt& attempt = *it.second;
           const bool may_be_fetched =
               !attempt.delivered &&
               context_->now.mono - attempt.held_at < kDrainHold;
           return attempt.state != AttemptState::kHeld || may_be_fetched ||
                  !attempt.connections.empty();
         });
}

// Arrival and admission.

void CallDestination::Reduce(const AttemptArrived& event) {
  const AttemptRequest& request = event.request;
  if (Attempt* known = table_.Find(request.id)) {
    AttachConnection(known, request.id, event.connection, false);
    return;
  }
  bodies_.OnArrived(request.id);
  if (table_.HasEnded(request.id)) {
    ReplyToUnknownAttempt(event.connection, request.id,
                          request.destination_start_id);
    return;
  }
  if (const auto refusal = CheckIdentity(request)) {
    RefuseArrival(event, *refusal);
    return;
  }
  if (AttachToOrder(event)) {
    return;
  }
  const bool is_ranked =
      context_->options.inner_calls != 0 || context_->options.team_shares != 0;
  HandleNewAttempt(is_ranked ? Localise(event) : event);
}

AttemptArrived CallDestination::Localise(const AttemptArrived& event) {
  AttemptArrived out = event;
  AttemptRequest& request = out.request;
  inner_calls_.Record(request);
  request.is_inner = inner_calls_.IsInner(request);
  if (context_->options.team_shares != 0) {
    const Team* team = context_->snapshot && request.has_verified_team
                           ? context_->snapshot->TeamByName(request.team)
                           : nullptr;
    request.team_weight = team != nullptr && team->rate_per_1000s > 0
                              ? team->rate_per_1000s
                              : kWeightWithoutAllotment;
  }
  return out;
}

void CallDestination::HandleNewAttempt(const AttemptArrived& event) {
  const AttemptRequest& request = event.request;
  UpdateNewWorkSlots();
  HandleOffers();
  admission_.RecordArrival(context_->now.mono);
  if (const auto refusal = CheckCapacity(request)) {
    RefuseArrival(event, *refusal);
    return;
  }
  Admit(event);
  StartQueued();
}

std::optional<Refusal> CallDestination::CheckIdentity(
    const AttemptRequest& request) const {
  if (request.destination_start_id != context_->self.start_id) {
    return Refusal{NotRunReason::kRestarted};
  }
  if (IsExpired(*context_, request)) {
    return Refusal{NotRunReason::kDeadline};
  }
  if (table_.MayHaveEvictedTombstone(request)) {
    return Refusal{NotRunReason::kOverloaded};
  }
  return std::nullopt;
}

std::optional<Refusal> CallDestination::CheckCapacity(
    const AttemptRequest& request) const {
  const Nanoseconds needed = TimeNeeded(request.request_class);
  if (!context_->MayStart(needed)) {
    return Refusal{NotRunReason::kDraining};
  }
  if (request.service != context_->self.service || health_->slots() == 0 ||
      health_->state() != UpstreamState::kServing) {
    return Refusal{NotRunReason::kNoUpstream};
  }
  // An attempt that could not start now needs neither a claim nor a place in
  // the queue.
  if (const auto refusal = CheckSite(*context_, request)) {
    return refusal;
  }
  const Nanoseconds wait =
      admission_.ExpectedWait(request, health_->slots(), context_->now.mono);
  if (wait == kNeverServed) {
    return Refusal{NotRunReason::kOverloaded, QueueRetryAfter(request)};
  }
  if (needed != kNeverServed && !context_->MayStart(wait + needed)) {
    return Refusal{NotRunReason::kDraining};
  }
  // If the queue is ordered by objective, the time at the upstream counts too.
  const Nanoseconds service =
      context_->options.order_by_objective != 0 && wait > Nanoseconds(0)
          ? admission_.ServiceTimeOf(request.request_class).mean()
          : Nanoseconds(0);
  if (wait + service >= request.deadline) {
    return Refusal{NotRunReason::kOverloaded,
                   std::chrono::ceil<Milliseconds>(wait)};
  }
  if (const auto refusal = CheckLink(request)) {
    return refusal;
  }
  if (!OrderOf(request)) {
    return std::nullopt;
  }
  if (!order_claims_.is_available()) {
    return Refusal{NotRunReason::kStoreUnavailable, kStoreRetryAfter};
  }
  if (!order_claims_.has_room()) {
    return Refusal{NotRunReason::kOverloaded, kClaimRetryAfter};
  }
  return std::nullopt;
}

std::optional<Refusal> CallDestination::CheckLink(
    const AttemptRequest& request) const {
  const std::uint64_t own = link_.LargeBytesOf(request.request_class);
  if (own == 0) {
    return std::nullopt;
  }
  std::uint64_t ahead = link_.waiting_bytes();
  for (const auto& [id, attempt] : table_.attempts()) {
    const bool is_to_come = attempt->state == AttemptState::kQueued ||
                            attempt->state == AttemptState::kRunning;
    ahead +=
        is_to_come ? link_.LargeBytesOf(attempt->request.request_class) : 0;
  }
  const Nanoseconds needed =
      admission_.ServiceTimeOf(request.request_class).mean() +
      link_.SendTime(ahead + own);
  const Milliseconds limit = LinkTimeLimit(request.objective, request.deadline);
  if (needed <= limit) {
    return std::nullopt;
  }
  return Refusal{NotRunReason::kOverloaded,
                 std::chrono::ceil<Milliseconds>(needed - limit)};
}

void CallDestination::RefuseArrival(const AttemptArrived& event,
                                    const Refusal& refusal) {
  ReplyNotRun reply{event.connection,
                    event.request.id,
                    refusal.reason,
                    refusal.retry_after,
                    false,
                    {.load_permille = LoadPermille(),
                     .time_percent = health_->time_percent()}};
  AddRefusalDetails(event.request, event.request.deadline, &reply);
  context_->Emit(std::move(reply));
  table_.AddTombstone(event.request, TombstoneKind::kNotRun);
}

/// \brief Adds the details that explain a refusal, for logs.
void CallDestination::AddRefusalDetails(const AttemptRequest& request,
                                        Milliseconds left,
                                        ReplyNotRun* reply) const {
  reply->request_id = request.request_id;
  reply->left = left;
  reply->running = admission_.running();
  reply->queued = admission_.queued();
  reply->slots = health_->slots();
  reply->team = request.team;
  reply->new_work_slots = NewWorkSlots();
  reply->body_bytes = bodies_.bytes();
}

bool CallDestination::AttachToOrder(const AttemptArrived& event) {
  const AttemptRequest& request = event.request;
  const std::optional<OrderId> order = OrderOf(request);
  const auto owner_id = order ? order_claims_.OwnerOf(*order) : std::nullopt;
  if (!owner_id) {
    return false;
  }
  Attempt* owner = table_.Find(*owner_id);
  if (owner == nullptr || !table_.AddAlias(owner, request)) {
    context_->Emit(ReplyUnknown{event.connection, request.id});
    table_.AddTombstone(request, TombstoneKind::kRan);
    return true;
  }
  AttachConnection(owner, request.id, event.connection, false);
  return true;
}

void CallDestination::Admit(const AttemptArrived& event) {
  Attempt* attempt = table_.Add(event.request);
  (void)table_.AddConnection(attempt, {event.connection, event.request.id,
                                       context_->now.mono + kProgressPeriod});
  Schedule(attempt);
  if (const auto order = OrderOf(event.request)) {
    ClaimOrder(*order, attempt);
    return;
  }
  Enqueue(attempt);
}

void CallDestination::ClaimOrder(const OrderId& order, Attempt* attempt) {
  attempt->state = AttemptState::kClaiming;
  Schedule(attempt);
  order_claims_.Claim(order, attempt->request.id);
  HandleClaimOutcomes();
}

void CallDestination::HandleClaimOutcomes() {
  for (const ClaimOutcome& it : order_claims_.TakeOutcomes()) {
    Attempt* attempt = table_.Find(it.attempt);
    if (attempt == nullptr || attempt->state != AttemptState::kClaiming) {
      continue;
    }
    switch (it.result) {
      case ClaimResult::kClaimed:
        Enqueue(attempt);
        continue;
      case ClaimResult::kTaken:
        EndAsUnknown(attempt);
        continue;
      case ClaimResult::kUnavailable:
        Refuse(attempt, {NotRunReason::kStoreUnavailable, kStoreRetryAfter});
        continue;
    }
  }
}

void CallDestination::Reduce(const StoreReplied& event) {
  order_claims_.Reduce(event);
  HandleClaimOutcomes();
  StartQueued();
}

void CallDestination::Enqueue(Attempt* attempt) {
  attempt->state = AttemptState::kQueued;
  Schedule(attempt);
  if (!context_->MayStart(TimeNeeded(attempt->request.request_class))) {
    Refuse(attempt, {NotRunReason::kDraining});
    return;
  }
  Attempt* refused = admission_.Enqueue(attempt);
  if (refused == nullptr) {
    return;
  }
  const bool pushed_out = refused != attempt;
  Refuse(refused,
         {pushed_out ? NotRunReason::kShareExceeded : NotRunReason::kOverloaded,
          QueueRetryAfter(refused->request)});
}

/// \returns The retry delay of a refusal for lack of room: the time until the
/// queue has been served.
Milliseconds CallDestination::QueueRetryAfter(
    const AttemptRequest& request) const {
  const Nanoseconds drain_time = admission_.QueueDrainTime(health_->slots());
  if (context_->options.spread_returns != 0) {
    return ReturnTime({drain_time,
                       admission_.Demand(health_->slots(), context_->now.mono),
                       request.priority});
  }
  return std::chrono::ceil<Milliseconds>(drain_time);
}

void CallDestination::UpdateNewWorkSlots() {
  if (context_->options.inner_calls != 0) {
    admission_.set_new_work_slots(context_->run_gate.SlotsForNewWork(
        context_->now.mono, health_->slots()));
  }
}

void CallDestination::StartQueued() {
  UpdateNewWorkSlots();
  while (Attempt* attempt =
             admission_.AdmitNext(health_->slots(), context_->now.mono)) {
    attempt->holds_slot = true;
    if (admission_.IsTooLateToStart(*attempt, context_->now.mono)) {
      Refuse(attempt, {NotRunReason::kOverloaded});
      continue;
    }
    const Nanoseconds needed = TimeNeeded(attempt->request.request_class);
    if (const auto refusal = CheckDispatch(*context_, *attempt, needed)) {
      Refuse(attempt, *refusal);
      continue;
    }
    StartAttempt(attempt);
  }
}

void CallDestination::StartAttempt(Attempt* attempt) {
  attempt->state = AttemptState::kRunning;
  attempt->started_at = context_->now.mono;
  if (context_->options.inner_calls != 0) {
    context_->running_requests.Add(attempt->request.request_id,
                                   attempt->request.depth);
  }
  const auto left = attempt->deadline - context_->now.mono;
  context_->Emit(StartUpstream{attempt->request.id,
                               std::chrono::ceil<Milliseconds>(left),
                               health_->instance()});
  Schedule(attempt);
}

// Connections.

void CallDestination::Reduce(const FetchArrived& event) {
  if (Attempt* attempt = table_.Find(event.attempt)) {
    AttachConnection(attempt, event.attempt, event.connection, true);
    return;
  }
  ReplyToUnknownAttempt(event.connection, event.attempt,
                        event.destination_start_id);
}

void CallDestination::Reduce(const CancelArrived& event) {
  Attempt* attempt = table_.Find(event.attempt);
  if (attempt == nullptr) {
    ReplyToUnknownAttempt(event.connection, event.attempt,
                          event.destination_start_id);
    return;
  }
  AttachConnection(attempt, event.attempt, event.connection, true);
  if (attempt->request.id != event.attempt) {
    // The order also runs for another attempt.
    return;
  }
  if (attempt->state == AttemptState::kQueued ||
      attempt->state == AttemptState::kClaiming) {
    Refuse(attempt, {NotRunReason::kCancelled});
    return;
  }
  if (attempt->state == AttemptState::kRunning && !attempt->request.once) {
    context_->Emit(CancelUpstream{attempt->request.id});
    EndAsUnknown(attempt);
    StartQueued();
  }
}

void CallDestination::AttachConnection(Attempt* attempt,
                                       const AttemptId& requested_id,
                                       ConnectionId connection,
                                       bool is_fetch_or_cancel) {
  const MonoTime progress_due =
      context_->now.mono +
      (is_fetch_or_cancel ? kFetchReplyDelay : kProgressPeriod);
  if (!table_.AddConnection(attempt, {connection, requested_id, progress_due,
                                      is_fetch_or_cancel})) {
    context_->Emit(ReplyUnknown{connection, requested_id});
    return;
  }
  SendAnswerToWaiting(attempt);
  Schedule(attempt);
}

void CallDestination::ReplyToUnknownAttempt(ConnectionId connection,
                                            const AttemptId& id,
                                            std::uint64_t start_id) {
  if (start_id != context_->self.start_id) {
    // The process for which the attempt was meant may have run it.
    context_->Emit(ReplyUnknown{connection, id});
    return;
  }
  if (!table_.RefuseUnknownAttempt(id)) {
    context_->Emit(ReplyUnknown{connection, id});
    return;
  }
  context_->Emit(
      ReplyNotRun{connection, id, NotRunReason::kCancelled, Milliseconds(0)});
}

std::uint16_t CallDestination::LoadPermille() const noexcept {
  constexpr std::size_t kMost = 60'000;
  const std::size_t slots = std::max<std::size_t>(health_->slots(), 1);
  const std::size_t calls = admission_.queued() + admission_.running();
  return static_cast<std::uint16_t>(std::min(calls * 1000 / slots, kMost));
}

DestinationTimes CallDestination::TimesOf(const Attempt& attempt) const {
  const MonoTime now = context_->now.mono;
  const bool started = attempt.started_at != MonoTime{};
  return {.load_permille = LoadPermille(),
          .time_at_node =
              std::chrono::floor<Milliseconds>(now - attempt.arrived_at),
          .service = started ? std::chrono::floor<Milliseconds>(
                                   now - attempt.started_at)
                             : Milliseconds(0),
          .time_percent = health_->time_percent()};
}

void CallDestination::SendAnswerToWaiting(Attempt* attempt) {
  const bool whole = attempt->state == AttemptState::kHeld;
  if (!whole && attempt->state != AttemptState::kAnswering) {
    return;
  }
  for (AttemptConnection& it : attempt->connections) {
    // Other attempts at the same order get the answer once it is complete.
    if (it.receives_answer ||
        (!whole && it.requested_id != attempt->request.id)) {
      continue;
    }
    it.receives_answer = true;
    it.progress_due = MonoTime::max();
    context_->Emit(SendAnswer{it.id, attempt->request.id, TimesOf(*attempt),
                              attempt->answer_due()});
  }
}

void CallDestination::Reduce(const ConnectionLost& event) {
  bodies_.Remove(event.connection);
  Attempt* attempt = table_.FindByConnection(event.connection);
  if (attempt == nullptr) {
    return;
  }
  table_.RemoveConnection(attempt, event.connection);
  if (attempt->connections.empty()) {
    CancelOrphan(attempt);
  }
}

void CallDestination::Reduce(const AnswerSent& event) {
  Attempt* attempt = table_.FindByConnection(event.connection);
  if (attempt == nullptr || attempt->state != AttemptState::kHeld) {
    return;
  }
  table_.RemoveConnection(attempt, event.connection);
  attempt->delivered = true;
  HoldAnswer(attempt);
}

/// \brief Restarts the time for which a complete answer is held.
void CallDestination::HoldAnswer(Attempt* attempt) {
  const bool brief = attempt->delivered && !attempt->request.once;
  timers_.Schedule(
      attempt, context_->now.mono +
                   (brief ? kDeliveredHold : context_->options.answer_hold));
}

void CallDestination::CancelOrphan(Attempt* attempt) {
  switch (attempt->state) {
    case AttemptState::kQueued:
    case AttemptState::kClaiming:
      Refuse(attempt, {NotRunReason::kCancelled});
      return;
    case AttemptState::kRunning:
    case AttemptState::kAnswering:
      attempt->orphan_due = context_->now.mono + kOrphanGrace;
      Schedule(attempt);
      return;
    case AttemptState::kHeld:
      attempt->delivered = false;
      attempt->held_at = context_->now.mono;
      HoldAnswer(attempt);
      return;
  }
}

// The upstream.

void CallDestination::Reduce(const UpstreamShed& event) {
  Attempt* attempt = table_.Find(event.attempt);
  if (attempt == nullptr || attempt->state != AttemptState::kRunning) {
    return;
  }
  Refuse(attempt, {NotRunReason::kOverloaded, event.retry_after}, true);
  StartQueued();
}

void CallDestination::Reduce(const UpstreamReplaced& event) {
  Attempt* attempt = table_.Find(event.attempt);
  if (attempt == nullptr || attempt->state != AttemptState::kRunning) {
    return;
  }
  Refuse(attempt, {NotRunReason::kRestarted}, true);
  StartQueued();
}

void CallDestination::Reduce(const UpstreamUnreachable& event) {
  Attempt* attempt = table_.Find(event.attempt);
  if (attempt == nullptr || attempt->state != AttemptState::kRunning) {
    return;
  }
  Refuse(attempt, {NotRunReason::kUnreachable, kUnreachedRetryAfter});
  StartQueued();
}

void CallDestination::Reduce(const UpstreamAnswerStarted& event) {
  Attempt* attempt = table_.Find(event.attempt);
  if (attempt == nullptr || attempt->state != AttemptState::kRunning) {
    return;
  }
  attempt->state = AttemptState::kAnswering;
  SendAnswerToWaiting(attempt);
  Schedule(attempt);
}

void CallDestination::Reduce(const UpstreamAnswerCompleted& event) {
  Reduce(UpstreamAnswerStarted{event.attempt, 0});
  Attempt* attempt = table_.Find(event.attempt);
  if (attempt == nullptr || attempt->state != AttemptState::kAnswering) {
    return;
  }
  link_.RecordAnswerSize(attempt->request.request_class, event.bytes);
  ReleaseSlot(attempt);
  attempt->state = AttemptState::kHeld;
  attempt->held_at = context_->now.mono;
  ++held_;
  SendAnswerToWaiting(attempt);
  HoldAnswer(attempt);
  StartQueued();
}

void CallDestination::Reduce(const UpstreamConnectionLost& event) {
  Attempt* attempt = table_.Find(event.attempt);
  if (attempt == nullptr || !attempt->is_started()) {
    return;
  }
  EndAsUnknown(attempt);
  StartQueued();
}

// Time.

void CallDestination::Tick() {
  table_.Expire();
  HandleOffers();
  order_claims_.Tick();
  HandleClaimOutcomes();
  while (Attempt* attempt = timers_.PopDue(context_->now.mono)) {
    OnTimerExpired(attempt);
  }
  StartQueued();
}

void CallDestination::OnTimerExpired(Attempt* attempt) {
  const MonoTime now = context_->now.mono;
  if (attempt->state == AttemptState::kHeld && !attempt->connections.empty()) {
    HoldAnswer(attempt);
    return;
  }
  if (attempt->state == AttemptState::kHeld) {
    EndAttempt(attempt, TombstoneKind::kRan);
    return;
  }
  ReportProgress(attempt);
  const bool started = attempt->is_started();
  if (attempt->state == AttemptState::kQueued &&
      (admission_.IsTooLateToStart(*attempt, now) ||
       admission_.WillMissDeadline(*attempt, health_->slots(), now))) {
    Refuse(attempt,
           {NotRunReason::kOverloaded, QueueRetryAfter(attempt->request)});
    return;
  }
  if (!started && now >= attempt->deadline) {
    Refuse(attempt, {NotRunReason::kDeadline});
    return;
  }
  const bool over = now >= std::min(attempt->deadline, attempt->orphan_due);
  const bool overran = started && now >= attempt->deadline + kAnswerOverrun;
  if (overran || (attempt->state == AttemptState::kRunning && over &&
                  !attempt->request.once)) {
    context_->Emit(CancelUpstream{attempt->request.id});
    EndAsUnknown(attempt);
    return;
  }
  Schedule(attempt);
}

/// \brief Sends the replies that are due: the attempt is still queued or
/// running.
void CallDestination::ReportProgress(Attempt* attempt) {
  std::vector<AttemptConnection> ended;
  for (AttemptConnection& it : attempt->connections) {
    if (context_->now.mono < it.progress_due) {
      continue;
    }
    if (it.is_fetch_or_cancel) {
      ended.push_back(it);
      continue;
    }
    it.progress_due = context_->now.mono + kProgressPeriod;
    context_->Emit(ReplyProgress{it.id});
  }
  for (const AttemptConnection& it : ended) {
    context_->Emit(ReplyStillRunning{it.id, it.requested_id});
    table_.RemoveConnection(attempt, it.id);
  }
}

void CallDestination::Schedule(Attempt* attempt) {
  if (attempt->state == AttemptState::kHeld) {
    return;
  }
  MonoTime due = attempt->progress_due();
  const bool cancellable =
      attempt->state == AttemptState::kRunning && !attempt->request.once;
  if (!attempt->is_started() || cancellable) {
    due = std::min({due, attempt->deadline, attempt->orphan_due});
  }
  if (attempt->is_started()) {
    due = std::min(due, attempt->deadline + kAnswerOverrun);
  }
  if (attempt->state == AttemptState::kQueued) {
    due = std::min(due, admission_.LatestUsefulStart(*attempt));
    const MonoTime late_at = admission_.LatestTimelyStart(*attempt);
    due = late_at > context_->now.mono ? std::min(due, late_at) : due;
  }
  if (due == MonoTime::max()) {
    timers_.Cancel(attempt);
    return;
  }
  timers_.Schedule(attempt, due);
}

}  // namespace cassiabend
