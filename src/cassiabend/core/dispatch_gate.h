#pragma once

#include <optional>

#include "cassiabend/core/attempt.h"
#include "cassiabend/core/call_context.h"

namespace cassiabend {

/// \brief Why work must not start, and when a retry may succeed.
struct Refusal {
  NotRunReason reason = NotRunReason::kOverloaded;
  /// 0 if waiting does not help.
  Milliseconds retry_after{0};

  [[nodiscard]] bool operator==(const Refusal&) const = default;
};

/// \brief Noisy work that is about to start at a site.
struct NoisyWork {
  std::string_view site;
  Seconds longest_job{0};
  /// Configuration version by which the work was routed.
  VersionNumber config_number = 0;
};

/// \brief Checks noisy work against the version in force, its freshness and
/// the quiet windows of the site, at the time of `context.now`.
/// \returns Why it must not start; unset when it may.
[[nodiscard]] std::optional<Refusal> CheckNoisyWork(const CallContext& context,
                                                    const NoisyWork& work);

/// \returns Whether the time has passed after which no copy of an attempt may
/// start.
[[nodiscard]] bool IsExpired(const CallContext& context,
                             const AttemptRequest& request);

/// \brief Checks an attempt against its route in the version in force here,
/// which may be newer than the version by which it was routed.
/// \returns Why it must not start; unset when it may.
[[nodiscard]] std::optional<Refusal> CheckSite(const CallContext& context,
                                               const AttemptRequest& request);

/// \brief Checks everything that may prevent an attempt from starting, at the
/// moment of its dispatch.
/// \param needed Time that the attempt is expected to take.
/// \returns Why it must not start; unset when it may.
[[nodiscard]] std::optional<Refusal> CheckDispatch(const CallContext& context,
                                                   const Attempt& attempt,
                                                   Nanoseconds needed);

}  // namespace cassiabend
