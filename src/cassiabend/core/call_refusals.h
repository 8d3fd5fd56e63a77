#pragma once

#include "cassiabend/base/random.h"
#include "cassiabend/core/balancer.h"
#include "cassiabend/core/call_events.h"
#include "cassiabend/core/dispatch_gate.h"

namespace cassiabend {

/// \returns Whether another upstream may take what one refused for `reason`.
[[nodiscard]] bool IsRetriable(NotRunReason reason) noexcept;
/// \returns Whether a refusal says no more than that one node or upstream comes
/// or goes.
[[nodiscard]] bool IsPassing(NotRunReason reason) noexcept;
/// \returns Whether another attempt is safe though this one may have run. The
/// claim of an order's key lets no second one run, and the node that ran the
/// first may hand back its answer.
[[nodiscard]] bool MayRepeat(const AttemptRequest& request) noexcept;
/// \returns What a refusal says of the upstream.
[[nodiscard]] AttemptOutcome OutcomeOf(NotRunReason reason) noexcept;
/// \returns The time after which a caller is told to come back, at or after the
/// one that the refusal names, so that callers who were refused together do not
/// come back together; 0 when waiting does not help.
[[nodiscard]] Milliseconds RetryAfterOf(const Refusal& refusal, Random* random);

}  // namespace cassiabend
