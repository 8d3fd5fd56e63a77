#pragma once

#include "cassiabend/base/random.h"
#include "cassiabend/core/balancer.h"
#include "cassiabend/core/call_events.h"
#include "cassiabend/core/dispatch_gate.h"

namespace cassiabend {

/// \returns Whether another upstream may accept what one refused for `reason`.
[[nodiscard]] bool IsRetriable(NotRunReason reason) noexcept;
/// \returns Whether a refusal is transient: it shows only that one node or
/// upstream is starting or stopping.
[[nodiscard]] bool IsTransient(NotRunReason reason) noexcept;
/// \returns Whether another attempt is safe even if this one may have run. If
/// the order has a key, its claim prevents a second run, and the node that ran
/// the first may return its answer.
[[nodiscard]] bool MayRepeat(const AttemptRequest& request) noexcept;
/// \returns The outcome that the balancer records for a refusal.
[[nodiscard]] AttemptOutcome OutcomeOf(NotRunReason reason) noexcept;
/// \returns The retry delay for the caller: that of the refusal plus a random
/// time, so that callers who were refused together do not retry together; 0 if
/// waiting does not help.
[[nodiscard]] Milliseconds RetryAfterOf(const Refusal& refusal, Random* random);

}  // namespace cassiabend
