// Large request bodies that entry nodes offer before they send them.

#include "cassiabend/core/call_destination.h"

namespace cassiabend {
namespace {

/// Pause until the first sign of progress to an entry node whose body waits.
constexpr Milliseconds kFirstProgress{700};

}  // namespace

void CallDestination::Reduce(const LinkLoadChanged& event) {
  link_.OnLoadChanged(event);
  bodies_.set_rate(event.idle_bytes_per_second);
}

void CallDestination::Reduce(const BodyOffered& event) {
  const AttemptArrived arrived =
      Localise(AttemptArrived{event.connection, event.request});
  const AttemptRequest& request = arrived.request;
  if (const auto refusal = CheckIdentity(request)) {
    RefuseArrival(arrived, *refusal);
    return;
  }
  UpdateNewWorkSlots();
  if (const auto refusal = CheckCapacity(request)) {
    RefuseArrival(arrived, *refusal);
    return;
  }
  if (const auto refusal = CheckBody(request)) {
    RefuseArrival(arrived, *refusal);
    return;
  }
  bodies_.Add({event.connection, request, BodyBeginBy(request),
               context_->now.mono + kFirstProgress});
  HandleOffers();
}

MonoTime CallDestination::BodyBeginBy(const AttemptRequest& request) const {
  return context_->now.mono +
         LinkTimeLimit(request.objective, request.deadline) -
         admission_.ServiceTimeOf(request.request_class).mean() -
         bodies_.TransferTime(request.body_bytes);
}

std::optional<Refusal> CallDestination::CheckBody(
    const AttemptRequest& request) const {
  const MonoTime begin_by = BodyBeginBy(request);
  const MonoTime begins = context_->now.mono +
                          bodies_.ArrivalTime(request, begin_by) -
                          bodies_.TransferTime(request.body_bytes);
  if (begins <= begin_by) {
    return std::nullopt;
  }
  return Refusal{NotRunReason::kOverloaded,
                 std::chrono::ceil<Milliseconds>(begins - begin_by)};
}

void CallDestination::RefuseOffer(const BodyOffer& offer,
                                  const Refusal& refusal) {
  RefuseArrival({offer.connection, offer.request}, refusal);
}

void CallDestination::HandleOffers() {
  if (bodies_.size() == 0) {
    return;
  }
  const MonoTime now = context_->now.mono;
  for (const BodyOffer& it : bodies_.TakeLate(now)) {
    RefuseOffer(it, {NotRunReason::kOverloaded,
                     std::chrono::ceil<Milliseconds>(
                         bodies_.TransferTime(bodies_.bytes()))});
  }
  for (const BodyOffer& it : bodies_.TakeAdmitted(now)) {
    context_->Emit(ReplyBodyWanted{it.connection, it.request.id});
  }
  for (const ConnectionId it : bodies_.TakeProgressDue(now)) {
    context_->Emit(ReplyProgress{it});
  }
}

}  // namespace cassiabend
