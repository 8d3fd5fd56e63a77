// Large request bodies, which wait for the network links, and calls that are
// made for runs at this host's upstream.

#include <algorithm>
#include <optional>

#include "cassiabend/core/call_entry.h"
#include "cassiabend/core/large_answer.h"
#include "cassiabend/core/link_queue.h"

namespace cassiabend {
namespace {

/// Least time between offering a body and its last byte.
constexpr Milliseconds kMinBodyTime{5};

}  // namespace

bool CallEntry::MustOfferBody(const Call& call,
                              const Upstream& upstream) const {
  return context_->options.offer_bodies != 0 &&
         call.metadata.body_bytes > kLargeAnswerBytes &&
         upstream.member().id != context_->self.id;
}

std::optional<Refusal> CallEntry::CheckOwnLink(const Call& call) const {
  LinkQueue link;
  link.OnLoadChanged(context_->link);
  const Nanoseconds needed =
      link.SendTime(context_->link.waiting_bytes + call.metadata.body_bytes);
  const Milliseconds limit =
      LinkTimeLimit(ObjectiveLeft(call), Remaining(call));
  if (needed <= limit) {
    return std::nullopt;
  }
  return Refusal{NotRunReason::kOverloaded,
                 std::chrono::ceil<Milliseconds>(needed - limit)};
}

void CallEntry::Reduce(const BodyWanted& event) {
  Call* call = Find(event.call, event.attempt);
  if (call == nullptr || call->state != State::kOffered) {
    return;
  }
  if (Remaining(*call) <= kMinBodyTime) {
    return;
  }
  SetTimesLeft(call);
  call->sent_at = context_->now.mono;
  SendVerb(call, AttemptVerb::kRun);
}

void CallEntry::RecogniseInnerCall(Call* call) const {
  CallMetadata& metadata = call->metadata;
  if (context_->options.inner_calls == 0 || metadata.depth > 0) {
    return;
  }
  metadata.depth =
      context_->running_requests.DepthOf(metadata.request_id).value_or(0);
}

}  // namespace cassiabend
