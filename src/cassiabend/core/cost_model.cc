#include "cassiabend/core/cost_model.h"

#include <algorithm>
#include <cmath>

namespace cassiabend {
namespace {

/// Weight of the newest sample in a moving average.
constexpr double kNewestWeight = 0.125;
/// Weight of the newest sample in the averages of a class, which get far more
/// samples.
constexpr double kNewestClassWeight = 0.03;
/// Time in which observations of an upstream lose half of their weight.
constexpr double kHalfLifeMs = 3'000.0;
/// Age from which a reported load is ignored.
constexpr Milliseconds kLoadLifetime{1'500};
/// Bounds of one sample of `UpstreamStats::relative_service_time`: a single
/// long call says little.
constexpr double kMinRelativeServiceTime = 0.3;
constexpr double kMaxRelativeServiceTime = 20.0;
/// Load, as a share of the slots, from which calls begin to queue behind each
/// other.
constexpr double kQueueingLoad = 0.7;
/// Cost of a failure in service times of the class: the call must be repeated,
/// and its caller may not wait that long.
constexpr double kFailureCostFactor = 4.0;
constexpr double kBytesPerKilobyte = 1'000.0;
/// Size of the headers of the request and the answer, including those that
/// nodes add.
constexpr double kHeaderKilobytes = 1.2;
/// Share of the objective within which time counts less, and the weight of that
/// time: an answer well within its objective gains little by coming sooner.
constexpr double kDiscountedShare = 0.55;
constexpr double kDiscountedWeight = 0.3;
constexpr double kPermille = 1'000.0;
/// Classes beyond this number share one set of averages, so that names chosen
/// by operators cannot grow the table without bound.
constexpr std::size_t kMaxClasses = 4'096;

double ToMs(Nanoseconds time) noexcept {
  return std::chrono::duration<double, std::milli>(time).count();
}

void UpdateAverage(double sample, double weight, double* average) noexcept {
  *average = *average == 0.0 ? sample : *average + (sample - *average) * weight;
}

/// \returns The remaining weight, 0 to 1, of an observation made at `at`; 0 if
/// there is none.
double RemainingWeight(MonoTime now, MonoTime at) noexcept {
  return at == MonoTime{} ? 0.0 : std::exp2(-ToMs(now - at) / kHalfLifeMs);
}

}  // namespace

void CostModel::SetCall(std::string_view service,
                        std::string_view request_class,
                        Milliseconds objective) {
  class_averages_ = *AveragesOf(service, request_class);
  key_.assign(service);
  const auto found = services_.find(key_);
  service_mean_ms_ =
      found == services_.end() ? class_averages_.service_ms : found->second;
  discounted_ms_ = ToMs(objective) * kDiscountedShare;
}

double CostModel::Cost(MonoTime now,
                       Locality locality,
                       std::uint32_t slots,
                       const UpstreamStats& stats) const {
  const double remaining = RemainingWeight(now, stats.observed_at);
  const double reported = now - stats.load_reported_at < kLoadLifetime
                              ? stats.load_permille / kPermille
                              : 0.0;
  const double size = std::max(slots, 1U);
  return Cost(now, locality, slots, stats,
              {.service_time_factor =
                   1.0 + (stats.relative_service_time - 1.0) * remaining,
               .load = reported + stats.sent_since_load / size});
}

double CostModel::Cost(MonoTime now,
                       Locality locality,
                       std::uint32_t slots,
                       const UpstreamStats& stats,
                       const UpstreamExpectation& expected) const {
  const double remaining = RemainingWeight(now, stats.observed_at);
  const double load = expected.load;
  const double size = std::max(slots, 1U);
  // With a free slot, calls rarely wait; without, each waits for those ahead.
  const double contention =
      std::clamp((load - kQueueingLoad) / (1.0 - kQueueingLoad), 0.0, 1.0) /
      size;
  const double wait =
      std::max(load - 1.0 + 1.0 / size, contention) * service_mean_ms_;
  const double time =
      network_ms_.at(static_cast<std::size_t>(locality)) +
      (class_averages_.service_ms + wait) * expected.service_time_factor +
      stats.failure_rate * remaining * kFailureCostFactor *
          class_averages_.service_ms;
  const double counted = std::min(time, discounted_ms_) * kDiscountedWeight +
                         std::max(time - discounted_ms_, 0.0);
  return counted + (class_averages_.kilobytes + kHeaderKilobytes) *
                       TransferMsPerKilobyte(locality);
}

double CostModel::TransferMsPerKilobyte(Locality locality) const noexcept {
  switch (locality) {
    case Locality::kSameZone:
      return 0.0;
    case Locality::kSameRegion:
      return ToMs(transfer_costs_.same_region_kilobyte);
    case Locality::kOtherRegion:
      return ToMs(transfer_costs_.other_region_kilobyte);
  }
  return 0.0;
}

double CostModel::RecordAnswer(MonoTime now,
                               std::string_view service,
                               std::string_view request_class,
                               Locality locality,
                               Nanoseconds latency,
                               const DestinationTimes& times,
                               UpstreamStats* stats) {
  const double service_ms = std::max(ToMs(times.service), 0.5);
  ClassAverages* averages = AveragesOf(service, request_class);
  const double before = averages->service_ms;
  UpdateAverage(service_ms, kNewestClassWeight, &averages->service_ms);
  UpdateAverage(service_ms, kNewestClassWeight,
                &services_[std::string(service)]);
  UpdateAverage(std::max(ToMs(latency - times.time_at_node), 0.0),
                kNewestWeight,
                &network_ms_.at(static_cast<std::size_t>(locality)));
  const double ratio = before > 0.0 ? service_ms / before : 1.0;
  RecordRelativeServiceTime(now, ratio, stats);
  stats->failure_rate -= stats->failure_rate * kNewestWeight;
  RecordLoad(now, times.load_permille, stats);
  return ratio;
}

void CostModel::RecordRelativeServiceTime(MonoTime now,
                                          double sample,
                                          UpstreamStats* stats) noexcept {
  const double remaining = RemainingWeight(now, stats->observed_at);
  stats->relative_service_time =
      1.0 + (stats->relative_service_time - 1.0) * remaining;
  stats->failure_rate *= remaining;
  stats->relative_service_time +=
      (std::clamp(sample, kMinRelativeServiceTime, kMaxRelativeServiceTime) -
       stats->relative_service_time) *
      kNewestWeight;
  stats->observed_at = now;
}

void CostModel::RecordFailure(MonoTime now, UpstreamStats* stats) noexcept {
  RecordRelativeServiceTime(now, stats->relative_service_time, stats);
  stats->failure_rate += (1.0 - stats->failure_rate) * kNewestWeight;
}

void CostModel::RecordLoad(MonoTime now,
                           std::uint16_t load_permille,
                           UpstreamStats* stats) noexcept {
  stats->load_permille = load_permille;
  stats->load_reported_at = now;
  stats->sent_since_load = 0;
}

void CostModel::RecordAnswerSize(std::string_view service,
                                 std::string_view request_class,
                                 std::uint64_t bytes) {
  UpdateAverage(static_cast<double>(bytes) / kBytesPerKilobyte,
                kNewestClassWeight,
                &AveragesOf(service, request_class)->kilobytes);
}

CostModel::ClassAverages* CostModel::AveragesOf(
    std::string_view service,
    std::string_view request_class) {
  key_.assign(service).append(1, '\0').append(request_class);
  if (!classes_.contains(key_) && classes_.size() >= kMaxClasses) {
    key_.clear();
  }
  return &classes_[key_];
}

}  // namespace cassiabend
