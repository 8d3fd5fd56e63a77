#include "cassiabend/core/call_refusals.h"

#include <algorithm>
#include <array>

namespace cassiabend {
namespace {

/// Retry delay of a refusal that states none.
constexpr Milliseconds kDefaultRetryAfter{100};
/// Largest random time that is added to the retry delay of a refused caller.
constexpr Milliseconds kMaxRetryAfterSpread{1'000};

/// \brief How a refusal for one reason is handled.
struct RefusalRule {
  NotRunReason reason;
  bool retriable;
  bool transient;
  /// Whether a later retry by the caller may succeed.
  bool waiting_helps;
  AttemptOutcome outcome;
};

constexpr std::array<RefusalRule, 18> kRules = {{
    {NotRunReason::kNoRoute, false, false, false, AttemptOutcome::kNeutral},
    {NotRunReason::kNotReady, true, false, true, AttemptOutcome::kUnavailable},
    {NotRunReason::kNoUpstream, true, true, true, AttemptOutcome::kUnavailable},
    {NotRunReason::kOverloaded, true, false, true, AttemptOutcome::kShed},
    {NotRunReason::kShareExceeded, false, false, true,
     AttemptOutcome::kNeutral},
    {NotRunReason::kQuietWindow, false, false, true, AttemptOutcome::kNeutral},
    {NotRunReason::kStaleConfiguration, true, false, true,
     AttemptOutcome::kNeutral},
    {NotRunReason::kUnknownSite, false, false, false, AttemptOutcome::kNeutral},
    {NotRunReason::kDraining, true, true, true, AttemptOutcome::kUnavailable},
    {NotRunReason::kDeadline, true, false, true, AttemptOutcome::kNeutral},
    {NotRunReason::kRestarted, true, true, true, AttemptOutcome::kUnavailable},
    {NotRunReason::kCancelled, true, true, true, AttemptOutcome::kNeutral},
    {NotRunReason::kUnreachable, true, true, true, AttemptOutcome::kUnreached},
    {NotRunReason::kDepthExceeded, false, false, false,
     AttemptOutcome::kNeutral},
    {NotRunReason::kBadRequest, false, false, false, AttemptOutcome::kNeutral},
    {NotRunReason::kStoreUnavailable, true, false, true,
     AttemptOutcome::kNeutral},
    {NotRunReason::kUnknownKey, false, false, false, AttemptOutcome::kNeutral},
    {NotRunReason::kAllotmentExceeded, false, false, true,
     AttemptOutcome::kNeutral},
}};

constexpr bool IsInOrder() {
  for (std::size_t i = 0; i < kRules.size(); ++i) {
    if (static_cast<std::size_t>(kRules[i].reason) != i) {
      return false;
    }
  }
  return true;
}
static_assert(IsInOrder(), "kRules is indexed by the reason");

const RefusalRule& RuleOf(NotRunReason reason) noexcept {
  return kRules.at(static_cast<std::size_t>(reason));
}

}  // namespace

bool IsRetriable(NotRunReason reason) noexcept {
  return RuleOf(reason).retriable;
}

bool IsTransient(NotRunReason reason) noexcept {
  return RuleOf(reason).transient;
}

bool MayRepeat(const AttemptRequest& request) noexcept {
  return !request.once || !request.order_key.empty();
}

AttemptOutcome OutcomeOf(NotRunReason reason) noexcept {
  return RuleOf(reason).outcome;
}

Milliseconds RetryAfterOf(const Refusal& refusal, Random* random) {
  Milliseconds wait = refusal.retry_after;
  if (wait <= Milliseconds(0)) {
    if (!RuleOf(refusal.reason).waiting_helps) {
      return Milliseconds(0);
    }
    wait = kDefaultRetryAfter;
  }
  const Milliseconds spread = std::min(wait / 2, kMaxRetryAfterSpread);
  const auto choices = static_cast<std::uint64_t>(spread.count()) + 1;
  return wait + Milliseconds(random->Below(choices));
}

}  // namespace cassiabend
