#include "cassiabend/core/call_destination.h"

#include <algorithm>

namespace cassiabend {
namespace {

/// Most attempts whose fate is remembered.
constexpr std::size_t kMaxTombstones = 65'536;
/// How long a fetch waits before it is told that the attempt still runs.
constexpr Milliseconds kFetchWait{1'000};
/// How long a repeatable attempt runs on without a connection.
constexpr Milliseconds kOrphanGrace{250};
/// How long the answer of a repeatable attempt is held once it was taken.
constexpr Milliseconds kTakenHold{1'000};
/// Added to the time for which a fate is remembered.
constexpr Milliseconds kMemoryMargin{1'000};
constexpr Milliseconds kUnreachedPause{100};

}  // namespace

CallDestination::CallDestination(CallContext* context,
                                 const CallUpstreamHealth* health)
    : context_(context),
      health_(health),
      admission_(context->options),
      tombstones_(kMaxTombstones) {}

std::size_t CallDestination::held() const noexcept {
  return attempts_.size() - admission_.queued() - admission_.running();
}

bool CallDestination::has_work() const noexcept {
  return std::ranges::any_of(attempts_, [](const auto& it) {
    return it.second->state != AttemptState::kHeld || !it.second->taken;
  });
}

// Arrival and admission.

void CallDestination::Reduce(const AttemptArrived& event) {
  const AttemptRequest& request = event.request;
  if (Attempt* known = Find(request.id)) {
    Join(known, event.link, false);
    return;
  }
  if (tombstones_.Find(request.id)) {
    ReplyToAbsent(event.link, request.id, request.destination_start_id);
    return;
  }
  if (const auto refusal = CheckArrival(request)) {
    context_->Emit(ReplyNotRun{event.link, request.id, refusal->reason,
                               refusal->retry_after});
    Remember(request, AttemptFate::kNotRun);
    return;
  }
  Admit(event);
  StartWaiting();
}

std::optional<Refusal> CallDestination::CheckArrival(
    const AttemptRequest& request) const {
  if (request.destination_start_id != context_->self.start_id) {
    return Refusal{NotRunReason::kRestarted};
  }
  const bool expires = request.expires_at != WallTime{};
  if (expires &&
      context_->now.wall > request.expires_at + context_->options.clock_error) {
    return Refusal{NotRunReason::kDeadline};
  }
  if (expires && tombstones_.MayBeForgotten(request.expires_at)) {
    return Refusal{NotRunReason::kOverloaded};
  }
  if (context_->draining) {
    return Refusal{NotRunReason::kDraining};
  }
  if (request.service != context_->self.service || health_->slots() == 0 ||
      health_->state() != UpstreamState::kServing) {
    return Refusal{NotRunReason::kNoUpstream};
  }
  const Nanoseconds wait = admission_.ExpectedWait(request, health_->slots());
  if (wait >= request.deadline) {
    return Refusal{NotRunReason::kOverloaded,
                   std::chrono::ceil<Milliseconds>(wait)};
  }
  return std::nullopt;
}

void CallDestination::Admit(const AttemptArrived& event) {
  auto& slot = attempts_[event.request.id];
  slot = std::make_unique<Attempt>();
  Attempt* attempt = slot.get();
  attempt->request = event.request;
  attempt->arrived_at = context_->now.mono;
  attempt->deadline = context_->now.mono + event.request.deadline;
  SetLink(attempt, event.link, false);
  timers_.Schedule(attempt, attempt->deadline);
  Attempt* refused = admission_.Enqueue(attempt);
  if (refused == nullptr) {
    return;
  }
  const bool pushed_out = refused != attempt;
  const Nanoseconds wait =
      admission_.ExpectedWait(refused->request, health_->slots());
  Refuse(refused,
         {pushed_out ? NotRunReason::kShareExceeded : NotRunReason::kOverloaded,
          std::chrono::ceil<Milliseconds>(wait)});
}

void CallDestination::StartWaiting() {
  while (Attempt* attempt = admission_.TakeNext(health_->slots())) {
    Dispatch(attempt);
  }
}

void CallDestination::Dispatch(Attempt* attempt) {
  attempt->state = AttemptState::kClaiming;
  attempt->started_at = context_->now.mono;
  if (const auto refusal = CheckDispatch(*attempt)) {
    Refuse(attempt, *refusal);
    return;
  }
  Start(attempt);
}

std::optional<Refusal> CallDestination::CheckDispatch(
    const Attempt& attempt) const {
  const AttemptRequest& request = attempt.request;
  const bool expired =
      request.expires_at != WallTime{} &&
      context_->now.wall > request.expires_at + context_->options.clock_error;
  if (context_->now.mono >= attempt.deadline || expired) {
    return Refusal{NotRunReason::kDeadline};
  }
  if (context_->draining) {
    return Refusal{NotRunReason::kDraining};
  }
  if (!request.noisy) {
    return std::nullopt;
  }
  return CheckNoisyWork(
      *context_, {request.site, request.longest_job, request.config_number});
}

void CallDestination::Start(Attempt* attempt) {
  attempt->state = AttemptState::kRunning;
  const auto left = attempt->deadline - context_->now.mono;
  context_->Emit(StartUpstream{attempt->request.id,
                               std::chrono::ceil<Milliseconds>(left)});
  ScheduleRunning(attempt);
}

// Connections.

void CallDestination::Reduce(const FetchArrived& event) {
  if (Attempt* attempt = Find(event.attempt)) {
    Join(attempt, event.link, true);
    return;
  }
  ReplyToAbsent(event.link, event.attempt, event.destination_start_id);
}

void CallDestination::Reduce(const CancelArrived& event) {
  Attempt* attempt = Find(event.attempt);
  if (attempt == nullptr) {
    ReplyToAbsent(event.link, event.attempt, event.destination_start_id);
    return;
  }
  if (attempt->state == AttemptState::kQueued) {
    SetLink(attempt, event.link, true);
    Refuse(attempt, {NotRunReason::kCancelled});
    return;
  }
  if (attempt->state != AttemptState::kRunning || attempt->request.once) {
    Join(attempt, event.link, true);
    return;
  }
  SetLink(attempt, event.link, true);
  context_->Emit(CancelUpstream{attempt->request.id});
  EndUnknown(attempt);
  StartWaiting();
}

void CallDestination::Join(Attempt* attempt, LinkId link, bool fetches) {
  SetLink(attempt, link, fetches);
  switch (attempt->state) {
    case AttemptState::kQueued:
      timers_.Schedule(attempt,
                       std::min(attempt->deadline, attempt->fetch_due));
      return;
    case AttemptState::kClaiming:
    case AttemptState::kRunning:
      ScheduleRunning(attempt);
      return;
    case AttemptState::kAnswering:
    case AttemptState::kHeld:
      Bind(attempt);
      return;
  }
}

void CallDestination::ReplyToAbsent(LinkId link,
                                    const AttemptId& id,
                                    std::uint64_t start_id) {
  if (start_id != context_->self.start_id) {
    // The start that was meant may have run it.
    context_->Emit(ReplyUnknown{link, id});
    return;
  }
  const MonoTime keep_until =
      context_->now.mono + context_->options.order_memory;
  const bool remembered =
      tombstones_.Add(id, AttemptFate::kNotRun, std::nullopt, keep_until);
  if (!remembered) {
    context_->Emit(ReplyUnknown{link, id});
    return;
  }
  context_->Emit(
      ReplyNotRun{link, id, NotRunReason::kCancelled, Milliseconds(0)});
}

void CallDestination::SetLink(Attempt* attempt, LinkId link, bool fetches) {
  ClearLink(attempt);
  attempt->link = link;
  attempt->orphan_due = MonoTime::max();
  attempt->fetch_due =
      fetches ? context_->now.mono + kFetchWait : MonoTime::max();
  links_[link] = attempt->request.id;
}

void CallDestination::ClearLink(Attempt* attempt) {
  if (attempt->link) {
    links_.erase(*attempt->link);
  }
  attempt->link.reset();
  attempt->fetch_due = MonoTime::max();
  attempt->bound = false;
  attempt->taken = false;
}

void CallDestination::Bind(Attempt* attempt) {
  if (!attempt->link || attempt->bound) {
    return;
  }
  attempt->bound = true;
  attempt->fetch_due = MonoTime::max();
  attempt->taken = attempt->state == AttemptState::kHeld;
  context_->Emit(BindAnswer{*attempt->link, attempt->request.id});
}

void CallDestination::Reduce(const LinkLost& event) {
  const auto it = links_.find(event.link);
  if (it == links_.end()) {
    return;
  }
  Attempt* attempt = Find(it->second);
  ClearLink(attempt);
  switch (attempt->state) {
    case AttemptState::kQueued:
      Refuse(attempt, {NotRunReason::kCancelled});
      return;
    case AttemptState::kClaiming:
    case AttemptState::kRunning:
    case AttemptState::kAnswering:
      attempt->orphan_due = context_->now.mono + kOrphanGrace;
      ScheduleRunning(attempt);
      return;
    case AttemptState::kHeld:
      timers_.Schedule(attempt,
                       context_->now.mono + context_->options.answer_hold);
      return;
  }
}

// The upstream.

void CallDestination::Reduce(const UpstreamShed& event) {
  Attempt* attempt = Find(event.attempt);
  if (attempt == nullptr || attempt->state != AttemptState::kRunning) {
    return;
  }
  Refuse(attempt, {NotRunReason::kOverloaded, event.retry_after});
  StartWaiting();
}

void CallDestination::Reduce(const UpstreamUnreached& event) {
  Attempt* attempt = Find(event.attempt);
  if (attempt == nullptr || attempt->state != AttemptState::kRunning) {
    return;
  }
  Refuse(attempt, {NotRunReason::kUnreachable, kUnreachedPause});
  StartWaiting();
}

void CallDestination::Reduce(const UpstreamAnswering& event) {
  Attempt* attempt = Find(event.attempt);
  if (attempt == nullptr || attempt->state != AttemptState::kRunning) {
    return;
  }
  attempt->state = AttemptState::kAnswering;
  Bind(attempt);
  ScheduleRunning(attempt);
}

void CallDestination::Reduce(const UpstreamFinished& event) {
  Reduce(UpstreamAnswering{event.attempt, 0});
  Attempt* attempt = Find(event.attempt);
  if (attempt == nullptr || attempt->state != AttemptState::kAnswering) {
    return;
  }
  ReleaseSlot(attempt);
  attempt->state = AttemptState::kHeld;
  attempt->taken = attempt->bound;
  const bool brief = attempt->taken && !attempt->request.once;
  timers_.Schedule(attempt,
                   context_->now.mono +
                       (brief ? kTakenHold : context_->options.answer_hold));
  StartWaiting();
}

void CallDestination::Reduce(const UpstreamBroken& event) {
  Attempt* attempt = Find(event.attempt);
  if (attempt == nullptr || !attempt->is_started()) {
    return;
  }
  EndUnknown(attempt);
  StartWaiting();
}

// Ends.

void CallDestination::Refuse(Attempt* attempt, const Refusal& refusal) {
  if (attempt->link) {
    context_->Emit(ReplyNotRun{*attempt->link, attempt->request.id,
                               refusal.reason, refusal.retry_after});
  }
  if (attempt->is_waiting()) {
    admission_.Remove(attempt);
  }
  ReleaseSlot(attempt);
  Forget(attempt, AttemptFate::kNotRun);
}

void CallDestination::EndUnknown(Attempt* attempt) {
  if (attempt->link) {
    context_->Emit(ReplyUnknown{*attempt->link, attempt->request.id});
  }
  ReleaseSlot(attempt);
  Forget(attempt, AttemptFate::kRan);
}

void CallDestination::ReleaseSlot(Attempt* attempt) {
  if (!attempt->holds_slot()) {
    return;
  }
  const bool ran = attempt->state == AttemptState::kAnswering;
  admission_.Release(*attempt, ran ? context_->now.mono - attempt->started_at
                                   : Nanoseconds(0));
}

void CallDestination::Forget(Attempt* attempt, AttemptFate fate) {
  ClearLink(attempt);
  Remember(attempt->request, fate);
  context_->Emit(ReleaseAttempt{attempt->request.id});
  attempts_.erase(AttemptId(attempt->request.id));
}

void CallDestination::Remember(const AttemptRequest& request,
                               AttemptFate fate) {
  const Milliseconds memory = context_->options.order_memory;
  if (request.expires_at == WallTime{}) {
    tombstones_.Add(request.id, fate, std::nullopt,
                    context_->now.mono + memory);
    return;
  }
  const Milliseconds left = std::clamp(request.expires_at - context_->now.wall,
                                       Milliseconds(0), memory);
  const Milliseconds errors = 3 * context_->options.clock_error;
  tombstones_.Add(request.id, fate, request.expires_at,
                  context_->now.mono + left + errors + kMemoryMargin);
}

void CallDestination::Drain() {
  while (Attempt* attempt = admission_.TakeAny()) {
    Refuse(attempt, {NotRunReason::kDraining});
  }
}

// Time.

void CallDestination::Tick() {
  tombstones_.Expire(context_->now.mono);
  while (Attempt* attempt = timers_.PopDue(context_->now.mono)) {
    Expire(attempt);
  }
  StartWaiting();
}

void CallDestination::Expire(Attempt* attempt) {
  const MonoTime now = context_->now.mono;
  if (attempt->state == AttemptState::kHeld) {
    Forget(attempt, AttemptFate::kRan);
    return;
  }
  if (attempt->link && now >= attempt->fetch_due) {
    context_->Emit(ReplyStillRunning{*attempt->link, attempt->request.id});
    ClearLink(attempt);
  }
  if (attempt->state != AttemptState::kQueued) {
    ExpireRunning(attempt);
    return;
  }
  if (now >= attempt->deadline) {
    Refuse(attempt, {NotRunReason::kDeadline});
    return;
  }
  timers_.Schedule(attempt, attempt->deadline);
}

void CallDestination::ExpireRunning(Attempt* attempt) {
  const MonoTime now = context_->now.mono;
  const bool over = now >= std::min(attempt->deadline, attempt->orphan_due);
  if (over && !attempt->request.once &&
      attempt->state == AttemptState::kRunning) {
    context_->Emit(CancelUpstream{attempt->request.id});
    EndUnknown(attempt);
    return;
  }
  ScheduleRunning(attempt);
}

void CallDestination::ScheduleRunning(Attempt* attempt) {
  MonoTime due = attempt->fetch_due;
  if (!attempt->request.once && attempt->state == AttemptState::kRunning) {
    due = std::min({due, attempt->deadline, attempt->orphan_due});
  }
  if (due == MonoTime::max()) {
    timers_.Cancel(attempt);
    return;
  }
  timers_.Schedule(attempt, due);
}

Attempt* CallDestination::Find(const AttemptId& id) const {
  const auto it = attempts_.find(id);
  return it == attempts_.end() ? nullptr : it->second.get();
}

}  // namespace cassiabend
