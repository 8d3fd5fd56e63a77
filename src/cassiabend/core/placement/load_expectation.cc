#include "cassiabend/core/placement/load_expectation.h"

#include <algorithm>
#include <cmath>

namespace cassiabend {
namespace {

/// Weight of the newest report in a mean.
constexpr double kNewestWeight = 0.15;

double RemainingWeight(Nanoseconds age, Milliseconds half_life) noexcept {
  return std::exp2(-static_cast<double>(age.count()) /
                   static_cast<double>(Nanoseconds(half_life).count()));
}

}  // namespace

void LoadExpectation::Record(MonoTime now,
                             Locality locality,
                             double load) noexcept {
  Mean& mean = means_.at(static_cast<std::size_t>(locality));
  const double forgotten =
      mean.at ? 1.0 - RemainingWeight(now - *mean.at, kMeanHalfLife) : 1.0;
  const double weight = std::max(kNewestWeight, forgotten);
  mean.load += (load - mean.load) * weight;
  mean.at = now;
}

double LoadExpectation::MeanAt(MonoTime now, Locality locality) const noexcept {
  double expected = 0.0;
  bool is_known = false;
  for (std::size_t i = 0; i <= static_cast<std::size_t>(locality); ++i) {
    const Mean& mean = means_.at(i);
    if (!mean.at) {
      continue;
    }
    const Nanoseconds stale =
        std::max<Nanoseconds>(now - *mean.at - kKnownFor, Nanoseconds(0));
    const double weight =
        is_known ? RemainingWeight(stale, kMeanHalfLife) : 1.0;
    expected += (mean.load - expected) * weight;
    is_known = true;
  }
  return expected;
}

double LoadExpectation::At(MonoTime now,
                           Locality locality,
                           double told,
                           std::optional<Nanoseconds> age) const noexcept {
  const double mean = MeanAt(now, locality);
  return age ? mean + (told - mean) * RemainingWeight(*age, kReportHalfLife)
             : mean;
}

}  // namespace cassiabend
