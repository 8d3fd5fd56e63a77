#include "cassiabend/core/dispatch_gate.h"

#include <algorithm>

namespace cassiabend {
namespace {

/// Retry delay of a refusal that ends with the next confirmation of the head.
constexpr Milliseconds kConfirmationPause{1'000};

bool IsFresh(const CallContext& context) {
  if (!context.confirmed_at) {
    return false;
  }
  const Nanoseconds age = context.now.mono - *context.confirmed_at;
  return age <= context.options.freshness_limit;
}

}  // namespace

std::optional<Refusal> CheckNoisyWork(const CallContext& context,
                                      const NoisyWork& work) {
  if (!context.snapshot || context.config_number() < work.config_number ||
      !IsFresh(context)) {
    return Refusal{NotRunReason::kStaleConfiguration, kConfirmationPause};
  }
  if (context.snapshot->SiteByName(work.site) == nullptr) {
    return Refusal{NotRunReason::kUnknownSite};
  }
  const Milliseconds error = context.options.clock_error;
  const WallTime from = context.now.wall - error;
  const WallTime to = context.now.wall + work.longest_job + error;
  // An empty range overlaps no window, so it is at least one clock step long.
  const auto until = context.snapshot->QuietUntil(
      work.site, from, std::max(to, from + Milliseconds(1)));
  if (!until) {
    return std::nullopt;
  }
  const Milliseconds wait = *until + error - context.now.wall;
  return Refusal{NotRunReason::kQuietWindow, std::max(wait, Milliseconds(1))};
}

std::optional<Refusal> CheckSite(const CallContext& context,
                                 const AttemptRequest& request) {
  NoisyWork work{request.site, request.longest_job, request.config_number};
  const Route* route =
      context.snapshot ? context.snapshot->RouteByName(request.route) : nullptr;
  if (route != nullptr && route->noisy) {
    const bool moved = !route->site.empty() && route->site != request.site;
    if (!request.noisy || moved) {
      return Refusal{NotRunReason::kStaleConfiguration, kConfirmationPause};
    }
    work.longest_job = std::max(work.longest_job, route->longest_job);
  }
  if (!request.noisy) {
    return std::nullopt;
  }
  return CheckNoisyWork(context, work);
}

bool IsExpired(const CallContext& context, const AttemptRequest& request) {
  return request.expires_at != WallTime{} &&
         context.now.wall > request.expires_at + context.options.clock_error;
}

std::optional<Refusal> CheckDispatch(const CallContext& context,
                                     const Attempt& attempt,
                                     Nanoseconds needed) {
  if (context.now.mono >= attempt.deadline ||
      IsExpired(context, attempt.request)) {
    return Refusal{NotRunReason::kDeadline};
  }
  if (!context.MayStart(needed)) {
    return Refusal{NotRunReason::kDraining};
  }
  return CheckSite(context, attempt.request);
}

}  // namespace cassiabend
