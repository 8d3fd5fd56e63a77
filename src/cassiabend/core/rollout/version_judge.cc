#include "cassiabend/core/rollout/version_judge.h"

#include <algorithm>
#include <cmath>

namespace cassiabend {
namespace {

/// Standard deviations by which a new version must be worse.
constexpr double kConfidence = 3.0;
/// Standard deviations by which the old version may be worse than it appears.
constexpr double kOldConfidence = 2.0;
/// Bad answers that are too few to say anything.
constexpr std::uint32_t kMinBad = 4;
constexpr double kBadFactor = 2.0;
/// Share of failures that is tolerated beyond the old version's.
constexpr double kFailureMargin = 0.02;
/// Fewest answers of each version whose times are compared.
constexpr std::uint32_t kMinTimes = 6;
/// Binary logarithm of the tolerated ratio of times, 2.5.
constexpr double kTimeRatioLog = 1.321928094887362;
/// Buckets above that of the old version's median from which an answer is slow:
/// it takes more than twice as long as the median, at least.
constexpr std::size_t kSlowBuckets = 2;
/// Share of bad answers, failures and slow ones, that is tolerated beyond the
/// old version's.
constexpr double kBadMargin = 0.08;
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

/// \brief How many of some answers are bad.
struct BadShare {
  std::uint32_t answers = 0;
  std::uint32_t bad = 0;
};

/// \returns Whether the share of bad answers has more than doubled, and grown
/// by `margin`.
bool IsWorse(const BadShare& new_share,
             const BadShare& old_share,
             double margin) {
  if (new_share.bad < kMinBad) {
    return false;
  }
  const Interval fresh =
      ProportionInterval(new_share.answers, new_share.bad, kConfidence);
  const Interval old =
      ProportionInterval(old_share.answers, old_share.bad, kOldConfidence);
  return fresh.low > kBadFactor * old.high + margin;
}

/// \returns The failures, and the answers from a bucket of times on.
BadShare ShareFrom(const VersionCounts& counts, std::size_t bucket) {
  BadShare out{counts.answers(), counts.failures};
  for (std::size_t i = bucket; i < VersionCounts::kBuckets; ++i) {
    out.bad += counts.times.at(i);
  }
  return out;
}

/// \brief Finds a version of which some answers are much slower.
bool IsOftenSlow(const VersionCounts& new_version,
                 const VersionCounts& old_version) {
  if (old_version.successes() < kMinTimes) {
    return false;
  }
  const std::size_t limit = MedianBucket(old_version) + kSlowBuckets;
  return IsWorse(ShareFrom(new_version, limit), ShareFrom(old_version, limit),
                 kBadMargin);
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

std::size_t MedianBucket(const VersionCounts& counts) {
  std::uint32_t below = 0;
  std::size_t i = 0;
  while (i + 1 < VersionCounts::kBuckets &&
         2 * (below + counts.times.at(i)) < counts.successes()) {
    below += counts.times.at(i++);
  }
  return i;
}

VersionFault FindFault(const VersionCounts& new_version,
                       const VersionCounts& old_version) {
  if (IsWorse({new_version.answers(), new_version.failures},
              {old_version.answers(), old_version.failures}, kFailureMargin)) {
    return VersionFault::kFailures;
  }
  return TakesLonger(new_version, old_version) ||
                 IsOftenSlow(new_version, old_version)
             ? VersionFault::kTimes
             : VersionFault::kNone;
}

}  // namespace cassiabend
