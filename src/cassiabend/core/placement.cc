#include "cassiabend/core/placement.h"

#include <algorithm>
#include <cmath>

namespace cassiabend {
namespace {

/// Weight of the newest sample in an average.
constexpr double kNewest = 0.125;
/// Weight of the newest sample in the mean of a class, which has far more.
constexpr double kNewestOfClass = 0.03;
/// Time in which what was seen of an upstream loses half of its weight.
constexpr double kHalfLifeMs = 3'000.0;
/// Time after which a stated load says nothing more.
constexpr Milliseconds kLoadLifetime{1'500};
/// Bounds of one sample of slowness: a single long call says little.
constexpr double kLeastSlowness = 0.3;
constexpr double kMostSlowness = 20.0;
/// Load, as a share of the slots, from which calls begin to wait for each
/// other.
constexpr double kBusyLoad = 0.7;
/// What a failure costs, in service times of the class: the call has to be made
/// again, and its caller may not wait that long.
constexpr double kFailurePrice = 4.0;
constexpr double kBytesPerKilobyte = 1'000.0;
/// Heads of the request and the answer, with what nodes add.
constexpr double kHeaderKilobytes = 1.2;
/// Share of the objective up to which time counts little, and how much it
/// counts: an answer well within its objective gains nothing by coming sooner.
constexpr double kCalmShare = 0.55;
constexpr double kCalmWeight = 0.3;
constexpr double kPermille = 1'000.0;
/// Classes beyond this number share one mean, so that names that operators
/// choose cannot grow the table.
constexpr std::size_t kMaxClasses = 4'096;

double ToMs(Nanoseconds time) noexcept {
  return std::chrono::duration<double, std::milli>(time).count();
}

void Average(double sample, double weight, double* average) noexcept {
  *average = *average == 0.0 ? sample : *average + (sample - *average) * weight;
}

/// \returns What is left of the weight of something seen at `at`.
double Fade(MonoTime now, MonoTime at) noexcept {
  return at == MonoTime{} ? 0.0 : std::exp2(-ToMs(now - at) / kHalfLifeMs);
}

}  // namespace

void Placement::StartChoice(std::string_view service,
                            std::string_view request_class,
                            Milliseconds objective) {
  means_ = *MeansOf(service, request_class);
  key_.assign(service);
  const auto found = services_.find(key_);
  any_ms_ = found == services_.end() ? means_.service_ms : found->second;
  calm_ms_ = ToMs(objective) * kCalmShare;
}

double Placement::Cost(MonoTime now,
                       Nearness nearness,
                       std::uint32_t slots,
                       const UpstreamSpeed& speed) const {
  const double fade = Fade(now, speed.seen_at);
  const double slowness = 1.0 + (speed.slowness - 1.0) * fade;
  const double size = std::max(slots, 1U);
  const double stated = now - speed.load_at < kLoadLifetime
                            ? speed.load_permille / kPermille
                            : 0.0;
  const double load = stated + speed.sent_since / size;
  // Below the slots, calls rarely wait; above, each waits for those before it.
  const double crowd =
      std::clamp((load - kBusyLoad) / (1.0 - kBusyLoad), 0.0, 1.0) / size;
  const double wait = std::max(load - 1.0 + 1.0 / size, crowd) * any_ms_;
  const double time = way_ms_.at(static_cast<std::size_t>(nearness)) +
                      (means_.service_ms + wait) * slowness +
                      speed.failures * fade * kFailurePrice * means_.service_ms;
  const double counted =
      std::min(time, calm_ms_) * kCalmWeight + std::max(time - calm_ms_, 0.0);
  return counted + (means_.kilobytes + kHeaderKilobytes) * PriceMs(nearness);
}

double Placement::PriceMs(Nearness nearness) const noexcept {
  switch (nearness) {
    case Nearness::kZone:
      return 0.0;
    case Nearness::kRegion:
      return ToMs(prices_.region_kilobyte);
    case Nearness::kBeyond:
      return ToMs(prices_.beyond_kilobyte);
  }
  return 0.0;
}

void Placement::RecordAnswer(MonoTime now,
                             std::string_view service,
                             std::string_view request_class,
                             Nearness nearness,
                             Nanoseconds latency,
                             const DestinationTimes& times,
                             UpstreamSpeed* speed) {
  const double service_ms = std::max(ToMs(times.service), 0.5);
  ClassMeans* means = MeansOf(service, request_class);
  const double before = means->service_ms;
  Average(service_ms, kNewestOfClass, &means->service_ms);
  Average(service_ms, kNewestOfClass, &services_[std::string(service)]);
  Average(std::max(ToMs(latency - times.time_at_node), 0.0), kNewest,
          &way_ms_.at(static_cast<std::size_t>(nearness)));
  AddSlowness(now, before > 0.0 ? service_ms / before : 1.0, speed);
  speed->failures -= speed->failures * kNewest;
  RecordLoad(now, times.load_permille, speed);
}

void Placement::AddSlowness(MonoTime now,
                            double sample,
                            UpstreamSpeed* speed) noexcept {
  const double fade = Fade(now, speed->seen_at);
  speed->slowness = 1.0 + (speed->slowness - 1.0) * fade;
  speed->failures *= fade;
  speed->slowness +=
      (std::clamp(sample, kLeastSlowness, kMostSlowness) - speed->slowness) *
      kNewest;
  speed->seen_at = now;
}

void Placement::RecordFailure(MonoTime now, UpstreamSpeed* speed) noexcept {
  AddSlowness(now, speed->slowness, speed);
  speed->failures += (1.0 - speed->failures) * kNewest;
}

void Placement::RecordLoad(MonoTime now,
                           std::uint16_t load_permille,
                           UpstreamSpeed* speed) noexcept {
  speed->load_permille = load_permille;
  speed->load_at = now;
  speed->sent_since = 0;
}

void Placement::RecordBytes(std::string_view service,
                            std::string_view request_class,
                            std::uint64_t bytes) {
  Average(static_cast<double>(bytes) / kBytesPerKilobyte, kNewestOfClass,
          &MeansOf(service, request_class)->kilobytes);
}

Placement::ClassMeans* Placement::MeansOf(std::string_view service,
                                          std::string_view request_class) {
  key_.assign(service).append(1, '\0').append(request_class);
  if (!classes_.contains(key_) && classes_.size() >= kMaxClasses) {
    key_.clear();
  }
  return &classes_[key_];
}

}  // namespace cassiabend
