// Placement by expected completion.

#include <algorithm>

#include "cassiabend/core/balancer.h"
#include "cassiabend/core/placement/region_exit.h"

namespace cassiabend {
namespace {

/// Upstreams of one level whose costs are compared: known loads are stale, so
/// nodes that all compared many would overload the same one.
constexpr std::size_t kMaxComparedUpstreams = 3;
/// Largest random increase of a cost, as a share of it.
constexpr double kCostJitter = 0.1;
/// Factor on the cost of an upstream in slow start, where calls take longer.
constexpr double kSlowStartCostFactor = 2.0;
constexpr double kPermille = 1'000.0;

/// \brief The best upstream so far.
struct Candidate {
  Upstream* upstream = nullptr;
  double cost = 0.0;
  double load = 0.0;
};

}  // namespace

Upstream* Balancer::PickByCompletion(MonoTime now,
                                     const UpstreamQuery& query,
                                     Service* service,
                                     Random* random) {
  cost_model_.SetCall(query.service, query.request_class, query.objective);
  const bool has_left =
      std::ranges::any_of(query.tried, [](const RefPtr<Upstream>& it) {
        return it->locality_ == Locality::kOtherRegion;
      });
  const bool knows_far = service->loads.Knows(now, Locality::kOtherRegion);
  RegionExit::Near near{.is_full = !query.tried.empty()};
  Candidate best;
  for (const Level& level : service->levels) {
    RegionExit::Near seen = near;
    seen.is_full = seen.is_full || best.upstream == nullptr ||
                   best.load >= RegionExit::kFullLoad;
    const RegionExit exit(seen, has_left, knows_far);
    std::size_t index = random->Below(level.size());
    const std::size_t limit = std::min(level.size(), kMaxComparedUpstreams);
    for (std::size_t i = 0; i < limit; ++i) {
      Upstream* it = level[index];
      index = index + 1 == level.size() ? 0 : index + 1;
      if (!IsUsable(now, query, service, it)) {
        continue;
      }
      const bool is_far = it->locality_ == Locality::kOtherRegion;
      near.has_upstream = near.has_upstream || !is_far;
      if (now < it->shed_until_) {
        continue;
      }
      UpstreamExpectation expected = ExpectationOf(now, *service, *it);
      const std::optional<double> load =
          is_far ? exit.LoadToCompare(expected.load) : expected.load;
      if (!load) {
        continue;
      }
      expected.load = *load;
      double cost = cost_model_.Cost(now, it->locality_, it->member_.slots,
                                     it->stats_, expected);
      cost *= 1.0 + kCostJitter * random->NextDouble();
      if (!PassesSlowStart(now, *it, random)) {
        cost *= kSlowStartCostFactor;
      }
      if (best.upstream == nullptr || cost < best.cost) {
        best = {it, cost, *load};
      }
    }
  }
  return best.upstream;
}

UpstreamExpectation Balancer::ExpectationOf(
    MonoTime now,
    const Service& service,
    const Upstream& upstream) const noexcept {
  const UpstreamStats& stats = upstream.stats_;
  std::optional<Nanoseconds> age;
  if (stats.load_reported_at != MonoTime{}) {
    age = now - stats.load_reported_at;
  }
  const double slots = std::max(upstream.member_.slots, 1U);
  // Attempts sent since the report that have ended weigh on it no more.
  const double own =
      std::min(stats.sent_since_load, upstream.outstanding_) / slots;
  return {.service_time_factor = stats.speed.At(now),
          .load = own + service.loads.At(now, upstream.locality_,
                                         stats.load_permille / kPermille, age)};
}

void Balancer::RecordTold(MonoTime now,
                          std::uint16_t load_permille,
                          std::uint16_t time_percent,
                          Upstream* upstream) {
  if (options_.place_by_completion == 0) {
    return;
  }
  upstream->stats_.speed.RecordTold(now, time_percent);
  Service* service = upstream->indexed_
                         ? FindService(upstream->member_.service,
                                       upstream->member_.upstream_version)
                         : nullptr;
  if (service != nullptr) {
    service->loads.Record(now, upstream->locality_, load_permille / kPermille);
  }
}

std::span<const Balancer::Level> Balancer::LastResortLevels(
    const Service& service) const noexcept {
  const std::span<const Level> levels(service.levels);
  const std::span<const Level> near =
      levels.first(static_cast<std::size_t>(Locality::kOtherRegion));
  const bool has_near =
      std::ranges::any_of(near, [](const Level& it) { return !it.empty(); });
  return options_.place_by_completion != 0 && has_near ? near : levels;
}

}  // namespace cassiabend
