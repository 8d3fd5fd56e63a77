// How an attempt ends at its destination node.

#include <vector>

#include "cassiabend/core/call_destination.h"

namespace cassiabend {

void CallDestination::Refuse(Attempt* attempt,
                             const Refusal& refusal,
                             bool reached_upstream) {
  for (const AttemptConnection& it : attempt->connections) {
    ReplyNotRun reply{it.id,
                      it.requested_id,
                      refusal.reason,
                      refusal.retry_after,
                      reached_upstream,
                      TimesOf(*attempt)};
    AddRefusalDetails(attempt->request,
                      std::chrono::floor<Milliseconds>(attempt->deadline -
                                                       context_->now.mono),
                      &reply);
    context_->Emit(std::move(reply));
  }
  if (attempt->is_waiting()) {
    admission_.Remove(attempt);
  }
  if (const auto order = OrderOf(attempt->request)) {
    order_claims_.Release(*order);
  }
  EndAttempt(attempt, TombstoneKind::kNotRun);
}

void CallDestination::EndAsUnknown(Attempt* attempt) {
  for (const AttemptConnection& it : attempt->connections) {
    context_->Emit(ReplyUnknown{it.id, it.requested_id});
  }
  EndAttempt(attempt, TombstoneKind::kRan);
}

void CallDestination::ReleaseSlot(Attempt* attempt) {
  if (!attempt->holds_slot) {
    return;
  }
  attempt->holds_slot = false;
  if (context_->options.inner_calls != 0 && attempt->started_at != MonoTime{}) {
    context_->running_requests.Remove(attempt->request.request_id);
  }
  const bool ran = attempt->state == AttemptState::kAnswering;
  admission_.Release(*attempt, ran ? context_->now.mono - attempt->started_at
                                   : Nanoseconds(0));
}

void CallDestination::EndAttempt(Attempt* attempt, TombstoneKind kind) {
  ReleaseSlot(attempt);
  held_ -= attempt->state == AttemptState::kHeld ? 1 : 0;
  context_->Emit(ReleaseAttempt{attempt->request.id});
  table_.Erase(attempt, kind);
}

Nanoseconds CallDestination::TimeNeeded(
    const std::string& request_class) const {
  const ServiceTime& time = admission_.ServiceTimeOf(request_class);
  const bool is_known =
      time.mean() > Nanoseconds(0) && link_.LargeBytesOf(request_class) == 0;
  return is_known ? time.mean_plus_deviation() : kNeverServed;
}

bool CallDestination::HasStoppedAccepting() const noexcept {
  const Nanoseconds mean = admission_.service_time().mean();
  return !context_->MayStart(mean > Nanoseconds(0) ? mean : kNeverServed);
}

void CallDestination::RefuseWaiting(NotRunReason reason) {
  for (const BodyOffer& it : bodies_.TakeAll()) {
    RefuseOffer(it, {reason});
  }
  std::vector<Attempt*> waiting;
  for (const auto& [id, attempt] : table_.attempts()) {
    if (attempt->state == AttemptState::kQueued ||
        attempt->state == AttemptState::kClaiming) {
      waiting.push_back(attempt.get());
    }
  }
  for (Attempt* it : waiting) {
    Refuse(it, {reason});
  }
}

}  // namespace cassiabend
