#include "cassiabend/core/rollout/version_gate.h"

#include <algorithm>
#include <utility>

#include "cassiabend/base/hash.h"
#include "cassiabend/core/rollout/version_judge.h"

namespace cassiabend {
namespace {

/// Most request classes that are counted apart; further ones share a count.
constexpr std::size_t kMaxClasses = 8;
constexpr std::string_view kOtherClasses = "other";
/// Failures seen by one node that keep its calls from a version, if they are at
/// least this part of its answers.
constexpr std::uint32_t kHaltFailures = 4;
constexpr std::uint32_t kHaltPart = 3;
/// Time for which an upstream may still send the answer of a call that counts
/// as ended.
constexpr Milliseconds kAnswerTail{500};
/// Buckets of times above the old version's median from which a call that still
/// runs is slow, and the answers from which that median is known.
constexpr std::size_t kOpenSlowBuckets = 3;
constexpr std::uint32_t kMinTimes = 6;

bool IsCandidate(const Member& member) noexcept {
  return !member.service.empty() &&
         member.upstream_state == UpstreamState::kServing &&
         (member.status == MemberStatus::kAlive ||
          member.status == MemberStatus::kSuspect);
}

std::uint64_t CanaryRank(const NodeId& id) {
  return Hash64(id.ip, id.peer_port);
}

bool PrecedesAsCanary(const NodeId& a, const NodeId& b) {
  return std::pair(CanaryRank(a), a) < std::pair(CanaryRank(b), b);
}

}  // namespace

VersionGate::VersionGate(const CallOptions& options, const NodeId& self)
    : enabled_(options.gate_versions != 0),
      vouch_limit_(options.rollout_vouch_limit),
      first_credit_(
          static_cast<std::uint32_t>(CanaryRank(self) % kWholeShare)) {}

bool VersionGate::Service::UsesOld(MonoTime now) const {
  const std::string& target = known->rollout.order.target_version;
  return now - old_ended_at < kAnswerTail ||
         std::ranges::any_of(running, [&target](const auto& it) {
           return it.first != target && it.second > 0;
         });
}

bool VersionGate::Service::Serves(std::string_view version) const {
  return versions.find(version) != versions.end();
}

std::string_view VersionGate::Service::OldVersion() const {
  const std::string& target = known->rollout.order.target_version;
  if (established != target && Serves(established)) {
    return established;
  }
  std::string_view best;
  std::size_t most = 0;
  for (const auto& [version, upstreams] : versions) {
    if (version != target && !version.empty() && upstreams.size() > most) {
      best = version;
      most = upstreams.size();
    }
  }
  return best;
}

void VersionGate::Update(Member* member) {
  if (!enabled_) {
    return;
  }
  Stated& stated = members_[member->id];
  const Stated before = stated;
  if (member->upstream_version.empty() && stated.service == member->service) {
    member->upstream_version = stated.version;
  }
  stated = {member->service, member->upstream_version, IsCandidate(*member)};
  if (before.serves) {
    Remove(member->id, before);
  }
  if (stated.serves) {
    Add(member->id, stated);
  } else {
    ForgetGone();
  }
}

/// \brief Forgets the versions of members that no longer serve once they are
/// more than those that do. Until then one that comes back is known.
void VersionGate::ForgetGone() {
  constexpr std::size_t kRemembered = 64;
  if (members_.size() > 2 * serving_ + kRemembered) {
    std::erase_if(members_, [](const auto& it) { return !it.second.serves; });
  }
}

void VersionGate::Remove(const NodeId& id, const Stated& stated) {
  const auto service = services_.find(stated.service);
  const auto version = service->second.versions.find(stated.version);
  std::erase(version->second, id);
  if (version->second.empty()) {
    service->second.versions.erase(version);
  }
  --serving_;
  Elect(&service->second);
}

void VersionGate::Add(const NodeId& id, const Stated& stated) {
  Service& service = services_[stated.service];
  std::vector<NodeId>& upstreams = service.versions[stated.version];
  upstreams.insert(std::ranges::lower_bound(upstreams, id, PrecedesAsCanary),
                   id);
  ++serving_;
  Elect(&service);
}

/// \brief Chooses the established version anew where the former has left, or
/// has less than half as many upstreams as another: a node that has just
/// started learns of the upstreams in any order.
void VersionGate::Elect(Service* service) {
  std::string_view best;
  std::size_t most = 0;
  for (const auto& [version, upstreams] : service->versions) {
    if (!version.empty() && upstreams.size() > most) {
      best = version;
      most = upstreams.size();
    }
  }
  const auto established = service->versions.find(service->established);
  const bool stays = !service->established.empty() &&
                     established != service->versions.end() &&
                     2 * established->second.size() >= most;
  if (!stays && !best.empty()) {
    service->established = best;
  }
}

void VersionGate::Update(MonoTime now,
                         const std::vector<RolloutNews>& rollouts) {
  if (!enabled_) {
    return;
  }
  for (const RolloutNews& it : rollouts) {
    Service& service = services_[it.rollout.order.service];
    std::optional<Known>& known = service.known;
    if (known && Supersedes(known->rollout, it.rollout)) {
      continue;
    }
    const bool is_other_order =
        !known || known->rollout.order_revision != it.rollout.order_revision;
    if (is_other_order) {
      service.classes.clear();
      service.is_halted = false;
      service.credit = first_credit_;
    }
    if (is_other_order || known->rollout != it.rollout) {
      known = Known{it.rollout, std::nullopt};
    }
    if (it.vouched_age) {
      const MonoTime at = now - *it.vouched_age;
      known->vouched_at = std::max(known->vouched_at.value_or(at), at);
    }
    if (it.rollout.phase == RolloutPhase::kCompleted) {
      service.established = it.rollout.order.target_version;
    }
  }
}

VersionChoice VersionGate::Choose(MonoTime now,
                                  std::string_view service,
                                  bool is_first) {
  const auto it = enabled_ ? services_.find(service) : services_.end();
  if (it == services_.end()) {
    return {};
  }
  Service& found = it->second;
  if (!found.known) {
    return {.version = found.established, .canaries = {}, .fallback = {}};
  }
  const Rollout& rollout = found.known->rollout;
  switch (rollout.phase) {
    case RolloutPhase::kCompleted:
      return {.version = rollout.order.target_version,
              .canaries = {},
              .fallback = {}};
    case RolloutPhase::kRolledBack:
      return {.version = found.OldVersion(), .canaries = {}, .fallback = {}};
    case RolloutPhase::kRunning:
      break;
  }
  return ChooseRunning(now, &found, is_first);
}

VersionChoice VersionGate::ChooseRunning(MonoTime now,
                                         Service* service,
                                         bool is_first) const {
  const Rollout& rollout = service->known->rollout;
  const std::string_view target = rollout.order.target_version;
  const std::string_view old = service->OldVersion();
  if (old.empty()) {
    // Nothing but the target version serves, so there is nothing to move from.
    return {.version = target, .canaries = {}, .fallback = {}};
  }
  const bool is_vouched = service->known->vouched_at &&
                          now - *service->known->vouched_at <= vouch_limit_;
  if (rollout.share_permille >= kWholeShare) {
    return is_vouched ? VersionChoice{.version = target,
                                      .canaries = {},
                                      .fallback = {}}
                      : VersionChoice{
                            .version = old, .canaries = {}, .fallback = target};
  }
  const VersionChoice keep{.version = old, .canaries = {}, .fallback = {}};
  const auto upstreams = service->versions.find(target);
  if (!is_first || !is_vouched || service->is_halted ||
      upstreams == service->versions.end()) {
    return keep;
  }
  service->credit += rollout.share_permille;
  if (service->credit < kWholeShare) {
    return keep;
  }
  service->credit -= kWholeShare;
  const std::vector<NodeId>& all = upstreams->second;
  const std::size_t n =
      (all.size() * rollout.share_permille + kWholeShare - 1) / kWholeShare;
  return {
      .version = target, .canaries = std::span(all).first(n), .fallback = old};
}

void VersionGate::RecordStart(MonoTime now,
                              const Member& member,
                              std::string_view request_class) {
  const auto it = enabled_ ? services_.find(member.service) : services_.end();
  if (it == services_.end()) {
    return;
  }
  Service& service = it->second;
  ++service.running[member.upstream_version];
  if (!service.known || !service.known->rollout.is_running()) {
    return;
  }
  ClassUse& use = ClassOf(request_class, &service);
  const std::string& target = service.known->rollout.order.target_version;
  (member.upstream_version == target ? use.open_new : use.open_old).insert(now);
}

VersionGate::ClassUse& VersionGate::ClassOf(std::string_view request_class,
                                            Service* service) {
  const bool has_room = service->classes.size() < kMaxClasses ||
                        service->classes.contains(request_class);
  return service
      ->classes[std::string(has_room ? request_class : kOtherClasses)];
}

void VersionGate::RecordEnd(MonoTime now,
                            MonoTime started_at,
                            const Member& member,
                            std::string_view request_class,
                            VersionOutcome outcome,
                            Milliseconds time) {
  const auto it = enabled_ ? services_.find(member.service) : services_.end();
  if (it == services_.end()) {
    return;
  }
  Service& service = it->second;
  const auto running = service.running.find(member.upstream_version);
  if (running != service.running.end() && --running->second == 0) {
    service.running.erase(running);
  }
  if (!service.known) {
    return;
  }
  const Rollout& rollout = service.known->rollout;
  const bool is_new = member.upstream_version == rollout.order.target_version;
  if (!is_new) {
    service.old_ended_at = now;
  }
  if (!rollout.is_running()) {
    return;
  }
  ClassUse& use = ClassOf(request_class, &service);
  std::multiset<MonoTime>& open = is_new ? use.open_new : use.open_old;
  const auto call = open.find(started_at);
  if (call == open.end()) {
    // It was counted as slow, or began before the order.
    return;
  }
  open.erase(call);
  if (outcome == VersionOutcome::kNeutral) {
    return;
  }
  VersionCounts& version =
      is_new ? use.counts.new_version : use.counts.old_version;
  if (outcome == VersionOutcome::kAnswered) {
    version.AddSuccess(time);
    return;
  }
  ++version.failures;
  if (is_new) {
    HaltIfFailing(&service);
  }
}

void VersionGate::CountOpen(MonoTime now, ClassUse* use) {
  if (use->counts.old_version.successes() < kMinTimes) {
    return;
  }
  const std::size_t bucket =
      std::min(MedianBucket(use->counts.old_version) + kOpenSlowBuckets,
               VersionCounts::kBuckets - 1);
  const Milliseconds limit(std::int64_t{1} << (bucket - 1));
  const auto count = [&](std::multiset<MonoTime>* open,
                         VersionCounts* version) {
    while (!open->empty() && now - *open->begin() >= limit) {
      open->erase(open->begin());
      version->AddSuccess(limit);
    }
  };
  count(&use->open_old, &use->counts.old_version);
  count(&use->open_new, &use->counts.new_version);
}

VersionCounts VersionGate::Sum(const Service& service,
                               VersionCounts VersionComparison::*version) {
  VersionCounts sum;
  for (const auto& [name, it] : service.classes) {
    sum += it.counts.*version;
  }
  return sum;
}

/// \brief Keeps calls from the target version if it fails many calls of this
/// node, as the old version does not.
void VersionGate::HaltIfFailing(Service* service) {
  const VersionCounts fresh = Sum(*service, &VersionComparison::new_version);
  const VersionCounts old = Sum(*service, &VersionComparison::old_version);
  const bool fails = fresh.failures >= kHaltFailures &&
                     fresh.failures * kHaltPart >= fresh.answers();
  const bool old_fails =
      old.failures * kHaltPart >= std::max(old.answers(), 1U);
  service->is_halted = service->is_halted || (fails && !old_fails);
}

std::vector<VersionUse> VersionGate::Uses(MonoTime now) {
  std::vector<VersionUse> out;
  for (auto& [name, service] : services_) {
    if (!service.known || !service.known->rollout.is_running()) {
      continue;
    }
    VersionUse use;
    use.service = name;
    use.order_revision = service.known->rollout.order_revision;
    use.step = service.known->rollout.step;
    use.uses_old = service.UsesOld(now);
    for (auto& [request_class, it] : service.classes) {
      CountOpen(now, &it);
      use.classes.push_back({Hash64(request_class, 0), it.counts});
    }
    out.push_back(std::move(use));
  }
  return out;
}

}  // namespace cassiabend
