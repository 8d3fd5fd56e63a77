#include "cassiabend/core/membership_prober.h"

#include <algorithm>
#include <utility>

namespace cassiabend {
namespace {

/// Longest time between two ticks; after a longer one the process counts as
/// paused, and missing acks say nothing about its peers.
constexpr Milliseconds kMaxTickGap{1'000};
/// A dead member is pinged once per this many probes, in case it is back.
constexpr std::uint32_t kProbesPerDeadProbe = 5;
constexpr Milliseconds kOtherZonePingPeriod{1'000};
/// Unanswered pings to a zone before it may count as unreachable.
constexpr std::uint32_t kMaxUnansweredPings = 3;
constexpr Milliseconds kPingRetention{10'000};
/// Members of the zone that are pinged at once when this node's record changes.
constexpr std::size_t kAnnounceTargets = 8;

void Shuffle(std::vector<NodeId>* ids, Random& random) {
  for (std::size_t i = ids->size(); i > 1; --i) {
    std::swap((*ids)[i - 1], (*ids)[random.Below(i)]);
  }
}

}  // namespace

void MembershipProber::Tick(const FleetContext& context,
                            const DisseminationTree& tree,
                            Membership* membership) {
  const MonoTime now = context.now();
  if (last_tick_ != MonoTime{} && now - last_tick_ > kMaxTickGap) {
    probe_.reset();
    membership->RestartSuspicionTimeouts(context);
    for (auto& [zone, contact] : contacts_) {
      contact = {now, 0};
    }
  }
  last_tick_ = now;
  ForgetOldPings(now, kPingRetention);
  if (probe_ && !probe_->indirect &&
      now - probe_->started_at >= context.options().probe_timeout) {
    SendIndirectProbes(context, *membership);
  }
  if (now >= next_probe_at_) {
    next_probe_at_ =
        now + context.random().Jitter(context.options().probe_period, 0.1);
    FinishProbe(context, membership);
    StartProbe(context, *membership);
  }
  if (tree.is_root() && now >= next_other_zone_ping_at_) {
    next_other_zone_ping_at_ =
        now + context.random().Jitter(kOtherZonePingPeriod, 0.1);
    PingOtherZone(context, tree, membership);
  }
}

void MembershipProber::FinishProbe(const FleetContext& context,
                                   Membership* membership) {
  if (!probe_) {
    return;
  }
  membership->Suspect(context, probe_->target);
  probe_.reset();
}

void MembershipProber::StartProbe(const FleetContext& context,
                                  const Membership& membership) {
  if (++probes_since_dead_ >= kProbesPerDeadProbe) {
    probes_since_dead_ = 0;
    ProbeDead(context, membership);
  }
  while (true) {
    if (probe_round_.empty()) {
      probe_round_ = membership.LiveInZone();
      Shuffle(&probe_round_, context.random());
    }
    if (probe_round_.empty()) {
      return;
    }
    const NodeId target = std::move(probe_round_.back());
    probe_round_.pop_back();
    const MemberEntry* entry = membership.Find(target);
    if (entry == nullptr || !IsLive(entry->member.status)) {
      continue;
    }
    const std::uint32_t sequence = SendPing(context, target, {});
    probe_ = Probe{target, sequence, context.now(), false};
    return;
  }
}

void MembershipProber::ProbeDead(const FleetContext& context,
                                 const Membership& membership) {
  std::vector<NodeId> dead;
  for (const auto& [id, entry] : membership.entries()) {
    if (entry.member.status == MemberStatus::kDead &&
        entry.member.zone == membership.self().zone) {
      dead.push_back(id);
    }
  }
  if (!dead.empty()) {
    SendPing(context, dead[context.random().Below(dead.size())], {});
  }
}

void MembershipProber::SendIndirectProbes(const FleetContext& context,
                                          const Membership& membership) {
  probe_->indirect = true;
  std::vector<NodeId> helpers = membership.LiveInZone();
  std::erase(helpers, probe_->target);
  Shuffle(&helpers, context.random());
  if (helpers.size() > context.options().indirect_probes) {
    helpers.resize(context.options().indirect_probes);
  }
  for (const NodeId& id : helpers) {
    context.Send(id, PingRequestBody{probe_->sequence, probe_->target});
  }
}

void MembershipProber::PingOtherZone(const FleetContext& context,
                                     const DisseminationTree& tree,
                                     Membership* membership) {
  const auto& zones = tree.all_roots();
  std::set<std::string> unreachable;
  for (const auto& [zone, roots] : zones) {
    const auto it = contacts_.find(zone);
    if (it != contacts_.end() &&
        it->second.unanswered_pings >= kMaxUnansweredPings &&
        context.now() - it->second.heard_at >
            context.options().unreachable_after) {
      unreachable.insert(zone);
    }
  }
  membership->SetUnreachableZones(context, std::move(unreachable));
  auto next = zones.upper_bound(last_pinged_zone_);
  for (std::size_t i = 0; i < zones.size(); ++i, ++next) {
    next = next == zones.end() ? zones.begin() : next;
    if (next->first == membership->self().zone || next->second.empty()) {
      continue;
    }
    last_pinged_zone_ = next->first;
    ZoneContact& contact = contacts_[next->first];
    // Roots that do not answer may be gone: other live members of the zone are
    // tried as well.
    std::vector<NodeId> targets = next->second;
    if (contact.unanswered_pings > 0) {
      for (const auto& [id, entry] : membership->entries()) {
        if (entry.member.zone == next->first && IsLive(entry.member.status)) {
          targets.push_back(id);
        }
      }
    }
    ++contact.unanswered_pings;
    SendPing(context, targets[context.random().Below(targets.size())], {});
    return;
  }
}

std::uint32_t MembershipProber::SendPing(const FleetContext& context,
                                         const NodeId& to,
                                         SentPing ping) {
  ping.sent_at = context.now();
  const std::uint32_t sequence = ++next_sequence_;
  sent_[sequence] = std::move(ping);
  context.Send(to, PingBody{sequence});
  return sequence;
}

void MembershipProber::OnPing(const FleetContext& context,
                              const NodeId& from,
                              const PingBody& body) {
  context.Send(from, AckBody{body.sequence});
}

std::optional<MonoTime> MembershipProber::OnAck(const FleetContext& context,
                                                const AckBody& body) {
  const auto it = sent_.find(body.sequence);
  if (it == sent_.end()) {
    return std::nullopt;
  }
  const SentPing ping = it->second;
  if (!ping.requester.empty()) {
    context.Send(ping.requester, AckBody{ping.requester_sequence});
    sent_.erase(it);
    return ping.sent_at;
  }
  if (probe_ && probe_->sequence == body.sequence) {
    probe_.reset();
  }
  return ping.sent_at;
}

void MembershipProber::OnPingRequest(const FleetContext& context,
                                     const NodeId& from,
                                     const PingRequestBody& body) {
  SendPing(context, body.target, {context.now(), from, body.sequence});
}

void MembershipProber::OnDatagramFromZone(const FleetContext& context,
                                          const std::string& zone) {
  contacts_[zone] = {context.now(), 0};
}

void MembershipProber::Announce(const FleetContext& context,
                                const DisseminationTree& tree,
                                const Membership& membership) {
  std::vector<NodeId> targets = membership.LiveInZone();
  Shuffle(&targets, context.random());
  if (targets.size() > kAnnounceTargets) {
    targets.resize(kAnnounceTargets);
  }
  for (const auto& [zone, roots] : tree.all_roots()) {
    targets.insert(targets.end(), roots.begin(), roots.end());
  }
  for (const NodeId& id : targets) {
    if (id != membership.self().id) {
      SendPing(context, id, {});
    }
  }
}

void MembershipProber::ForgetOldPings(MonoTime now, Milliseconds limit) {
  std::erase_if(
      sent_, [&](const auto& it) { return now - it.second.sent_at > limit; });
}

}  // namespace cassiabend
