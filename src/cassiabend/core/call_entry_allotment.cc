#include <cmath>
#include <string>

#include "cassiabend/core/call_entry.h"

namespace cassiabend {

std::optional<Refusal> CallEntry::TakeAllotment(Call* call) {
  // Calls that upstreams make carry no key: they belong to calls that were
  // counted. A depth that the caller states says nothing.
  const bool counts = call->metadata.key && !call->route->is_public;
  if (!counts || !allotments_->is_active()) {
    return std::nullopt;
  }
  const Allotments::Decision decision = allotments_->Admit(
      context_->now.mono, call->metadata.team, &context_->random);
  if (decision.refusal == AllotmentRefusal::kNone) {
    call->allotted_at = context_->now.mono;
    return std::nullopt;
  }
  call->detail = std::string(NameOf(decision.refusal)) + ": used " +
                 std::to_string(std::lround(decision.used)) + ", held " +
                 std::to_string(std::lround(decision.held)) + " of " +
                 std::to_string(std::lround(decision.limit));
  return Refusal{NotRunReason::kAllotmentExceeded, decision.retry_after};
}

void CallEntry::ReturnAllotment(const Call& call) {
  if (call.allotted_at && call.upstream_attempts == 0 && !call.may_have_run) {
    allotments_->Return(context_->now.mono, call.metadata.team,
                        *call.allotted_at);
  }
}

}  // namespace cassiabend
