#include "cassiabend/core/rollout/rollout_plan.h"

#include <algorithm>
#include <cmath>

#include "cassiabend/core/rollout/rollout.h"

namespace cassiabend {
namespace {

constexpr double kPermille = 1000.0;
/// Part of the allowed calls that the first share uses.
constexpr double kFirstPart = 0.3;
/// Parts of the duration at which the second and the last share begin.
constexpr double kSecondFrom = 0.5;
constexpr double kLastFrom = 0.62;
constexpr std::uint32_t kSecondShare = 250;
/// Upper bound of the first share.
constexpr std::uint32_t kMaxFirstShare = 200;
/// Time after the order in which the rate of calls is measured.
constexpr Milliseconds kRateTime{1'000};
/// Shortest time at a share before a greater one.
constexpr Milliseconds kMinStepTime{1'000};
/// Part of the duration for which the first share lasts at least, however late
/// it began: slow answers take their time.
constexpr int kMinFirstPart = 5;
/// Answers of a new version by which it can be judged.
constexpr std::uint32_t kMinAnswers = 20;
/// Answers that do when the time runs out.
constexpr std::uint32_t kFewAnswers = 5;
/// Calls per second below which a service is too idle to be judged.
constexpr double kIdleRate = 1.0;

std::uint32_t FirstShare(const ExposureLimits& limits,
                         const RolloutProgress& progress) {
  const double seconds =
      std::chrono::duration<double>(progress.duration).count();
  const double calls = progress.calls_per_s * seconds;
  const double allowed = limits.permille / kPermille * calls + limits.slack;
  const double share =
      kFirstPart * allowed / std::max(calls * kSecondFrom, 1.0);
  return std::clamp<std::uint32_t>(
      static_cast<std::uint32_t>(std::lround(share * kPermille)), 1,
      kMaxFirstShare);
}

}  // namespace

std::optional<std::uint32_t> NextShare(const ExposureLimits& limits,
                                       const RolloutProgress& progress) {
  if (!progress.has_upstreams || progress.share_permille >= kWholeShare) {
    return std::nullopt;
  }
  if (!progress.has_old_upstreams) {
    return kWholeShare;
  }
  if (progress.share_permille == 0) {
    return progress.elapsed >= kRateTime
               ? std::optional(FirstShare(limits, progress))
               : std::nullopt;
  }
  const double part = std::chrono::duration<double>(progress.elapsed) /
                      std::chrono::duration<double>(
                          std::max(progress.duration, Milliseconds(1)));
  const bool is_judged =
      progress.new_answers >= kMinAnswers ||
      (part >= kLastFrom && progress.new_answers >= kFewAnswers) ||
      progress.calls_per_s < kIdleRate;
  if (progress.at_step < kMinStepTime || !is_judged) {
    return std::nullopt;
  }
  if (progress.share_permille < kSecondShare) {
    const bool has_lasted =
        progress.at_step >= progress.duration / kMinFirstPart;
    return part >= kSecondFrom && has_lasted ? std::optional(kSecondShare)
                                             : std::nullopt;
  }
  return part >= kLastFrom ? std::optional(kWholeShare) : std::nullopt;
}

}  // namespace cassiabend
