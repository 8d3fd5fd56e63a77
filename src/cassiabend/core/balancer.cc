#include "cassiabend/core/balancer.h"

#include <algorithm>

namespace cassiabend {
namespace {

/// Upstreams of one level that a random pick examines before it gives up.
constexpr std::size_t kMaxExaminedUpstreams = 8;
/// Upstreams of one level whose costs are compared. Known loads are stale, so
/// nodes that all compared many upstreams would overload the same one.
constexpr std::size_t kMaxComparedUpstreams = 3;
/// Largest random increase of a cost, as a share of it.
constexpr double kCostJitter = 0.1;
/// Factor on the cost of an upstream in slow start, where calls take longer.
constexpr double kSlowStartCostFactor = 2.0;
/// Share of busy slots from which an upstream counts as saturated.
constexpr std::uint32_t kSaturatedPermille = 950;
/// Age from which a reported load is ignored.
constexpr Milliseconds kLoadReportLifetime{5'000};
/// Upper bound of a reported load in a score, so that no report outweighs this
/// node's own observations.
constexpr std::uint32_t kMaxReportedLoadPermille = 1'000;
/// Bounds of the back-off from a shedding upstream.
constexpr Milliseconds kMinShedPause{20};
constexpr Milliseconds kMaxShedPause{1'000};
/// Back-off from an upstream that accepts no work or cannot be reached.
constexpr Milliseconds kUnavailablePause{1'000};
/// Score of an idle upstream, in thousandths of its slots.
constexpr double kIdleScore = 200.0;
/// Bounds of the ratio of an upstream's latency to its service's average.
constexpr double kMinLatencyRatio = 0.5;
constexpr double kMaxLatencyRatio = 4.0;
/// The newest latency has the weight 1 / kLatencyWindow in an average.
constexpr int kLatencyWindow = 8;

void UpdateAverage(Nanoseconds sample, Nanoseconds* average) noexcept {
  if (*average == Nanoseconds(0)) {
    *average = sample;
    return;
  }
  *average += (sample - *average) / kLatencyWindow;
}

bool IsCandidate(const Member& member) noexcept {
  return !member.service.empty() &&
         member.upstream_state == UpstreamState::kServing &&
         (member.status == MemberStatus::kAlive ||
          member.status == MemberStatus::kSuspect);
}

bool WasTried(const UpstreamQuery& query, const Upstream* upstream) noexcept {
  for (const RefPtr<Upstream>& it : query.tried) {
    if (it.get() == upstream) {
      return true;
    }
  }
  return false;
}

}  // namespace

Balancer::Balancer(const CallOptions& options, const Member& self)
    : options_(options),
      self_(self),
      cost_model_(
          {.same_region_kilobyte = Microseconds(options.region_kilobyte_us),
           .other_region_kilobyte = Microseconds(options.beyond_kilobyte_us)}) {
}

std::size_t Balancer::ejected() const noexcept {
  std::size_t n = 0;
  for (const auto& [name, service] : services_) {
    n += service.ejection.ejected();
  }
  return n;
}

RefPtr<Upstream> Balancer::Pick(MonoTime now,
                                const UpstreamQuery& query,
                                Random* random) {
  Service* service = FindService(query.service, query.version);
  if (service == nullptr) {
    return nullptr;
  }
  if (options_.place_by_time != 0) {
    Upstream* cheapest = options_.place_by_completion != 0
                             ? PickByCompletion(now, query, service, random)
                             : PickLowestCost(now, query, service, random);
    return cheapest != nullptr ? cheapest
                               : PickLastResort(query, *service, random);
  }
  Upstream* fallback = nullptr;
  for (const Level& level : service->levels) {
    Upstream* chosen = PickInLevel(now, query, service, level, random);
    if (chosen == nullptr) {
      continue;
    }
    if (!IsSaturated(now, *chosen)) {
      return chosen;
    }
    fallback = fallback == nullptr ? chosen : fallback;
  }
  if (fallback == nullptr) {
    fallback = PickLastResort(query, *service, random);
  }
  return fallback;
}

RefPtr<Upstream> Balancer::PickHome(MonoTime now,
                                    const UpstreamQuery& query,
                                    std::string_view key) {
  Service* service = FindService(query.service, query.version);
  if (service == nullptr) {
    return nullptr;
  }
  Upstream* best = nullptr;
  std::pair<bool, std::uint64_t> best_rank{false, 0};
  for (const Level& level : service->levels) {
    for (Upstream* it : level) {
      if (WasTried(query, it)) {
        continue;
      }
      const std::pair<bool, std::uint64_t> rank{
          IsUsable(now, query, service, it),
          Hash64(key, NodeIdHasher()(it->member_.id))};
      if (best == nullptr || rank > best_rank) {
        best = it;
        best_rank = rank;
      }
    }
  }
  return best;
}

RefPtr<Upstream> Balancer::PickAmong(MonoTime now,
                                     const UpstreamQuery& query,
                                     std::span<const NodeId> ids,
                                     Random* random) {
  Service* service = FindService(query.service, query.version);
  if (service == nullptr || ids.empty()) {
    return nullptr;
  }
  cost_model_.SetCall(query.service, query.request_class, query.objective);
  Upstream* best = nullptr;
  double best_cost = 0;
  std::size_t index = random->Below(ids.size());
  const std::size_t limit = std::min(ids.size(), kMaxExaminedUpstreams);
  for (std::size_t i = 0; i < limit; ++i) {
    const auto found = upstreams_.find(ids[index]);
    index = index + 1 == ids.size() ? 0 : index + 1;
    if (found == upstreams_.end()) {
      continue;
    }
    Upstream* it = found->second.get();
    if (!it->indexed_ || !IsUsable(now, query, service, it) ||
        now < it->shed_until_) {
      continue;
    }
    const double cost =
        cost_model_.Cost(now, it->locality_, it->member_.slots, it->stats_);
    if (best == nullptr || cost < best_cost) {
      best = it;
      best_cost = cost;
    }
  }
  return best;
}

bool Balancer::IsSaturated(MonoTime now,
                           const Upstream& upstream) const noexcept {
  const std::uint64_t slots = std::max(upstream.member_.slots, 1U);
  const bool reported_full =
      now - upstream.load_reported_at_ < kLoadReportLifetime &&
      upstream.reported_load_permille_ >= kSaturatedPermille;
  return now < upstream.shed_until_ || reported_full ||
         upstream.outstanding_ * 1000ULL >= slots * kSaturatedPermille;
}

void Balancer::Update(MonoTime now, const Member& member) {
  RefPtr<Upstream>& slot = upstreams_[member.id];
  if (slot && slot->member_.start_id != member.start_id) {
    Unindex(slot.get());
    slot = nullptr;
  }
  if (!slot) {
    slot = new Upstream(member);
  }
  Upstream* upstream = slot.get();
  const Locality locality = LocalityOf(member);
  const bool moved =
      upstream->member_.service != member.service ||
      upstream->member_.upstream_version != member.upstream_version ||
      upstream->locality_ != locality;
  if (moved || !IsCandidate(member)) {
    Unindex(upstream);
  }
  const bool served =
      upstream->member_.upstream_state == UpstreamState::kServing;
  const bool serves = member.upstream_state == UpstreamState::kServing;
  if (!served && serves) {
    upstream->serving_since_ = now;
  }
  upstream->member_ = member;
  upstream->locality_ = locality;
  if (IsCandidate(member)) {
    Index(upstream);
  } else if (member.status == MemberStatus::kDead ||
             member.status == MemberStatus::kLeft) {
    upstreams_.erase(member.id);
  }
}

void Balancer::UpdateLoad(MonoTime now,
                          const NodeId& id,
                          std::uint16_t load_permille,
                          std::uint16_t time_percent) {
  const auto it = upstreams_.find(id);
  if (it == upstreams_.end()) {
    return;
  }
  it->second->reported_load_permille_ = load_permille;
  it->second->load_reported_at_ = now;
  CostModel::RecordLoad(now, load_permille, &it->second->stats_);
  RecordTold(now, load_permille, time_percent, it->second.get());
}

void Balancer::RecordEnd(MonoTime now,
                         AttemptOutcome outcome,
                         Nanoseconds latency,
                         Milliseconds retry_after,
                         Upstream* upstream) {
  --upstream->outstanding_;
  const bool failed = outcome == AttemptOutcome::kServerError ||
                      outcome == AttemptOutcome::kFailed ||
                      outcome == AttemptOutcome::kSilent ||
                      outcome == AttemptOutcome::kUnreached;
  if (failed) {
    CostModel::RecordFailure(now, &upstream->stats_);
  }
  Service* service = FindService(upstream->member_.service,
                                 upstream->member_.upstream_version);
  if (service == nullptr || !upstream->indexed_) {
    return;
  }
  switch (outcome) {
    case AttemptOutcome::kAnswered:
      UpdateAverage(latency, &upstream->latency_);
      UpdateAverage(latency, &service->latency);
      service->ejection.RecordSuccess(&upstream->ejection_);
      return;
    case AttemptOutcome::kShed:
      upstream->shed_until_ =
          now + std::clamp(retry_after, kMinShedPause, kMaxShedPause);
      return;
    case AttemptOutcome::kUnavailable:
      upstream->unavailable_until_ = now + kUnavailablePause;
      return;
    case AttemptOutcome::kNeutral:
      return;
    case AttemptOutcome::kUnreached:
      upstream->unavailable_until_ = now + kUnavailablePause;
      service->ejection.RecordFailure(now, service->size, &upstream->ejection_);
      return;
    case AttemptOutcome::kSilent:
      service->ejection.RecordSilence(now, &upstream->ejection_);
      [[fallthrough]];
    case AttemptOutcome::kServerError:
    case AttemptOutcome::kFailed:
      service->ejection.RecordFailure(now, service->size, &upstream->ejection_);
      return;
  }
}

Locality Balancer::LocalityOf(const Member& member) const noexcept {
  if (member.region != self_.region) {
    return Locality::kOtherRegion;
  }
  return member.zone == self_.zone ? Locality::kSameZone
                                   : Locality::kSameRegion;
}

std::string Balancer::KeyOf(std::string_view service,
                            std::string_view version) const {
  constexpr char kSeparator = '\n';
  std::string key(service);
  if (options_.gate_versions != 0) {
    key.push_back(kSeparator);
    key.append(version);
  }
  return key;
}

Balancer::Service* Balancer::FindService(std::string_view service,
                                         std::string_view version) {
  const auto it = services_.find(KeyOf(service, version));
  return it == services_.end() ? nullptr : &it->second;
}

void Balancer::Index(Upstream* upstream) {
  if (upstream->indexed_) {
    return;
  }
  const EjectionLimits limits{options_.ejection_failures,
                              options_.ejection_time,
                              options_.ejection_permille};
  Service& service = services_
                         .try_emplace(KeyOf(upstream->member_.service,
                                            upstream->member_.upstream_version),
                                      limits)
                         .first->second;
  const auto level = static_cast<std::size_t>(upstream->locality_);
  service.levels.at(level).push_back(upstream);
  ++service.size;
  upstream->indexed_ = true;
}

void Balancer::Unindex(Upstream* upstream) {
  if (!upstream->indexed_) {
    return;
  }
  const auto it = services_.find(
      KeyOf(upstream->member_.service, upstream->member_.upstream_version));
  Service& service = it->second;
  std::erase(service.levels.at(static_cast<std::size_t>(upstream->locality_)),
             upstream);
  service.ejection.Remove(&upstream->ejection_);
  upstream->indexed_ = false;
  if (--service.size == 0) {
    services_.erase(it);
  }
}

bool Balancer::IsUsable(MonoTime now,
                        const UpstreamQuery& query,
                        Service* service,
                        Upstream* upstream) {
  return upstream->member_.status == MemberStatus::kAlive &&
         now >= upstream->unavailable_until_ &&
         !service->ejection.IsAvoided(now, &upstream->ejection_) &&
         !WasTried(query, upstream);
}

Upstream* Balancer::PickRandom(MonoTime now,
                               const UpstreamQuery& query,
                               Service* service,
                               const Level& level,
                               Random* random) {
  std::size_t index = random->Below(level.size());
  const std::size_t limit = std::min(level.size(), kMaxExaminedUpstreams);
  Upstream* slow_starting = nullptr;
  for (std::size_t i = 0; i < limit; ++i) {
    Upstream* it = level[index];
    index = index + 1 == level.size() ? 0 : index + 1;
    if (!IsUsable(now, query, service, it)) {
      continue;
    }
    if (PassesSlowStart(now, *it, random)) {
      return it;
    }
    slow_starting = it;
  }
  return slow_starting;
}

Upstream* Balancer::PickLowestCost(MonoTime now,
                                   const UpstreamQuery& query,
                                   Service* service,
                                   Random* random) {
  cost_model_.SetCall(query.service, query.request_class, query.objective);
  Upstream* best = nullptr;
  double best_cost = 0;
  for (const Level& level : service->levels) {
    std::size_t index = random->Below(level.size());
    const std::size_t limit = std::min(level.size(), kMaxComparedUpstreams);
    for (std::size_t i = 0; i < limit; ++i) {
      Upstream* it = level[index];
      index = index + 1 == level.size() ? 0 : index + 1;
      if (!IsUsable(now, query, service, it) || now < it->shed_until_) {
        continue;
      }
      double cost =
          cost_model_.Cost(now, it->locality_, it->member_.slots, it->stats_);
      // Keeps nodes with the same data from all picking the same upstream.
      cost *= 1.0 + kCostJitter * random->NextDouble();
      if (!PassesSlowStart(now, *it, random)) {
        cost *= kSlowStartCostFactor;
      }
      if (best == nullptr || cost < best_cost) {
        best = it;
        best_cost = cost;
      }
    }
  }
  return best;
}

void Balancer::RecordTimes(MonoTime now,
                           std::string_view request_class,
                           Nanoseconds latency,
                           const DestinationTimes& times,
                           Upstream* upstream) {
  const double ratio = cost_model_.RecordAnswer(
      now, upstream->member_.service, request_class, upstream->locality_,
      latency, times, &upstream->stats_);
  if (options_.place_by_completion != 0) {
    upstream->stats_.speed.RecordMeasured(now, ratio);
  }
  RecordTold(now, times.load_permille, times.time_percent, upstream);
}

Upstream* Balancer::PickInLevel(MonoTime now,
                                const UpstreamQuery& query,
                                Service* service,
                                const Level& level,
                                Random* random) {
  if (level.empty()) {
    return nullptr;
  }
  Upstream* first = PickRandom(now, query, service, level, random);
  if (first == nullptr || level.size() == 1) {
    return first;
  }
  Upstream* second = PickRandom(now, query, service, level, random);
  const bool take_second =
      Score(now, *service, *second) < Score(now, *service, *first);
  return take_second ? second : first;
}

Upstream* Balancer::PickLastResort(const UpstreamQuery& query,
                                   const Service& service,
                                   Random* random) const {
  for (const Level& level : LastResortLevels(service)) {
    std::size_t index = random->Below(level.size());
    const std::size_t limit = std::min(level.size(), kMaxExaminedUpstreams);
    for (std::size_t i = 0; i < limit; ++i) {
      Upstream* it = level[index];
      index = index + 1 == level.size() ? 0 : index + 1;
      if (!WasTried(query, it)) {
        return it;
      }
    }
  }
  return nullptr;
}

bool Balancer::PassesSlowStart(MonoTime now,
                               const Upstream& upstream,
                               Random* random) const {
  if (!upstream.serving_since_ ||
      now - *upstream.serving_since_ >= options_.slow_start) {
    return true;
  }
  const Nanoseconds age = now - *upstream.serving_since_;
  const double share =
      static_cast<double>(age.count()) /
      static_cast<double>(Nanoseconds(options_.slow_start).count());
  constexpr double kMinShare = 0.1;
  return random->NextDouble() < std::max(share, kMinShare);
}

double Balancer::Score(MonoTime now,
                       const Service& service,
                       const Upstream& upstream) const noexcept {
  const double slots = std::max(upstream.member_.slots, 1U);
  const double observed = upstream.outstanding_ * 1000.0 / slots;
  double reported = 0;
  if (now - upstream.load_reported_at_ < kLoadReportLifetime) {
    reported = std::min<std::uint32_t>(upstream.reported_load_permille_,
                                       kMaxReportedLoadPermille);
  }
  double ratio = 1.0;
  if (service.latency > Nanoseconds(0) && upstream.latency_ > Nanoseconds(0)) {
    ratio = static_cast<double>(upstream.latency_.count()) /
            static_cast<double>(service.latency.count());
  }
  const double penalty = now < upstream.shed_until_ ? 1'000.0 : 0.0;
  return (kIdleScore + observed + reported / 2 + penalty) *
         std::clamp(ratio, kMinLatencyRatio, kMaxLatencyRatio);
}

}  // namespace cassiabend
