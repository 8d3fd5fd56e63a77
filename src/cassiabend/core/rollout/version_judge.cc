#include "cassiabend/core/rollout/version_judge.h"

#include <algorithm>
#include <cmath>

namespace cassiabend {
namespace {

/// Standard deviations by which a new version must be worse.
constexpr double kConfidence = 3.0;
/// Standard deviations by which the old version may be worse than it appears.
constexpr double kOldConfidence = 2.0;
/// Failures that are too few to say anything.
constexpr std::uint32_t kMinFailures = 4;
constexpr double kFailureFactor = 2.0;
/// Share of failures that is tolerated beyond the old version's.
constexpr double kFailureMargin = 0.02;
/// Fewest answers of each version whose times are compared.
constexpr std::uint32_t kMinTimes = 6;
/// Binary logarithm of the tolerated ratio of times, 2.5.
const double kTimeRatioLog = std::log2(2.5);
/// Variance that the width of the buckets of times adds.
constexpr double kBucketVariance = 0.25;

struct Interval {
  double low = 0;
  double high = 1;
};

/// \returns The Wilson score interval of a proportion.
Interval ProportionInterval(double n, double hits, double z) {
  if (n <= 0) {
    return {};
  }
  const double p = hits / n;
  const double centre = p + z * z / (2 * n);
  const double width = z * std::sqrt(p * (1 - p) / n + z * z / (4 * n * n));
  const double scale = 1 + z * z / n;
  return {(centre - width) / scale, (centre + width) / scale};
}

bool FailsMore(const VersionCounts& new_version,
               const VersionCounts& old_version) {
  if (new_version.failures < kMinFailures) {
    return false;
  }
  const Interval fresh = ProportionInterval(new_version.answers(),
                                            new_version.failures, kConfidence);
  const Interval old = ProportionInterval(old_version.answers(),
                                          old_version.failures, kOldConfidence);
  return fresh.low > kFailureFactor * old.high + kFailureMargin;
}

struct LogTime {
  double mean = 0;
  /// Variance of the mean.
  double variance = 0;
};

LogTime LogTimeOf(const VersionCounts& counts) {
  const double n = counts.successes();
  double sum = 0;
  double squares = 0;
  for (std::size_t i = 0; i < VersionCounts::kBuckets; ++i) {
    const auto at = static_cast<double>(i);
    sum += at * counts.times.at(i);
    squares += at * at * counts.times.at(i);
  }
  const double mean = sum / n;
  const double variance = std::max(squares / n - mean * mean, kBucketVariance);
  return {mean, variance / n};
}

bool TakesLonger(const VersionCounts& new_version,
                 const VersionCounts& old_version) {
  if (new_version.successes() < kMinTimes ||
      old_version.successes() < kMinTimes) {
    return false;
  }
  const LogTime fresh = LogTimeOf(new_version);
  const LogTime old = LogTimeOf(old_version);
  const double doubt = kConfidence * std::sqrt(fresh.variance + old.variance);
  return fresh.mean - old.mean - doubt > kTimeRatioLog;
}

}  // namespace

VersionFault FindFault(const VersionCounts& new_version,
                       const VersionCounts& old_version) {
  if (FailsMore(new_version, old_version)) {
    return VersionFault::kFailures;
  }
  return TakesLonger(new_version, old_version) ? VersionFault::kTimes
                                               : VersionFault::kNone;
}

}  // namespace cassiabend
