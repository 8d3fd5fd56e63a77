#include "cassiabend/core/dissemination.h"

#include <algorithm>

namespace cassiabend {
namespace {

/// Heartbeat periods between two attaches.
constexpr std::int64_t kAttachPeriodHeartbeats = 3;
/// Heartbeat periods without an attach after which a child is dropped.
constexpr std::int64_t kChildTimeoutHeartbeats = 8;
/// Heartbeat periods without a heartbeat, plus half a period of slack, after
/// which another parent is chosen.
constexpr std::int64_t kParentTimeoutHeartbeats = 2;
/// Heartbeat periods for which the sending time of an attach is remembered.
constexpr std::int64_t kAttachMemoryHeartbeats = 12;
/// Pause before a node that chose another parent tries its own parent again.
constexpr Milliseconds kRetryPause{30'000};
/// Maximum number of children of one node, as a multiple of the fan-out.
constexpr std::size_t kChildLimitPerFanOut = 2;

}  // namespace

void Dissemination::Tick(const FleetContext& context,
                         const DisseminationTree& tree,
                         const Membership& membership,
                         bool reads_store) {
  const MonoTime now = context.now();
  const Milliseconds heartbeat_period = context.options().beat_period;
  ChooseParent(context, tree, membership, reads_store);
  if (parent_ && now >= next_attach_at_) {
    Attach(context);
  }
  std::erase_if(attaches_, [&](const auto& it) {
    return now - it.second > heartbeat_period * kAttachMemoryHeartbeats;
  });
  std::erase_if(children_, [&](const auto& it) {
    const MemberEntry* entry = membership.Find(it.first);
    return now - it.second.attached_at >
               heartbeat_period * kChildTimeoutHeartbeats ||
           (entry != nullptr && !IsLive(entry->member.status));
  });
  if (now >= next_heartbeat_at_) {
    next_heartbeat_at_ = now + context.random().Jitter(heartbeat_period, 0.05);
    SendHeartbeats(context);
  }
}

void Dissemination::ChooseParent(const FleetContext& context,
                                 const DisseminationTree& tree,
                                 const Membership& membership,
                                 bool reads_store) {
  if (reads_store || !IsLive(membership.self().status)) {
    parent_.reset();
    return;
  }
  const Milliseconds parent_timeout =
      context.options().beat_period * kParentTimeoutHeartbeats +
      context.options().beat_period / 2;
  const bool changed = tree.version() != tree_version_;
  const bool silent =
      parent_ && context.now() - heard_parent_at_ > parent_timeout;
  const bool retry = failovers_ > 0 && context.now() >= next_retry_at_;
  if (parent_ && !changed && !silent && !retry) {
    return;
  }
  tree_version_ = tree.version();
  failovers_ = silent && !retry ? failovers_ + 1 : 0;
  if (silent || retry) {
    next_retry_at_ = context.now() + context.random().Jitter(kRetryPause, 0.5);
  }
  const std::vector<NodeId> candidates =
      ParentCandidates(context, tree, membership);
  if (candidates.empty()) {
    parent_.reset();
    return;
  }
  const NodeId& next = candidates[failovers_ % candidates.size()];
  if (parent_ == next && !silent) {
    return;
  }
  parent_ = next;
  heard_parent_at_ = context.now();
  next_attach_at_ = context.now();
}

std::vector<NodeId> Dissemination::ParentCandidates(
    const FleetContext& context,
    const DisseminationTree& tree,
    const Membership& membership) const {
  const NodeId& self = membership.self().id;
  std::vector<NodeId> candidates;
  if (tree.parent()) {
    candidates.push_back(*tree.parent());
  }
  for (const NodeId& id : tree.roots()) {
    candidates.push_back(id);
  }
  if (tree.is_root()) {
    // A root that does not read the store itself attaches to a root of another
    // zone.
    for (const auto& [zone, roots] : tree.all_roots()) {
      if (zone != membership.self().zone) {
        candidates.insert(candidates.end(), roots.begin(), roots.end());
      }
    }
    // Readers come first, then members of this zone. Ties are broken in an
    // order that differs between nodes, which spreads the load; but with
    // `member_lease` all prefer the root that verifies the head, so that its
    // confirmations reach them directly.
    const bool has_leases = context.options().member_lease == Seconds(0);
    std::ranges::sort(candidates, std::greater<>(), [&](const NodeId& id) {
      const MemberEntry* entry = membership.Find(id);
      const bool reader = entry != nullptr && entry->member.is_reader;
      const bool own_zone =
          entry != nullptr && entry->member.zone == membership.self().zone;
      return std::make_tuple(
          reader, own_zone,
          has_leases ? RendezvousWeight(ToString(self), ToString(id))
                     : DisseminationTree::HeadRank(id));
    });
  }
  const std::vector<NodeId> zone = membership.LiveInZone();
  if (!zone.empty()) {
    candidates.push_back(zone[context.random().Below(zone.size())]);
  }
  std::erase(candidates, self);
  return candidates;
}

void Dissemination::Attach(const FleetContext& context) {
  const Milliseconds heartbeat_period = context.options().beat_period;
  next_attach_at_ =
      context.now() +
      context.random().Jitter(heartbeat_period * kAttachPeriodHeartbeats, 0.1);
  const std::uint32_t sequence = ++attach_sequence_;
  attaches_[sequence] = context.now();
  context.Send(*parent_, AttachBody{sequence});
}

void Dissemination::SendHeartbeats(const FleetContext& context) const {
  for (const auto& [id, child] : children_) {
    SendHeartbeat(context, id, child);
  }
}

void Dissemination::SendHeartbeat(const FleetContext& context,
                                  const NodeId& id,
                                  const Child& child) {
  const auto held =
      std::chrono::floor<Milliseconds>(context.now() - child.attached_at);
  context.Send(id, HeartbeatBody{child.sequence, held});
}

void Dissemination::OnAttach(const FleetContext& context,
                             const NodeId& from,
                             const VersionMark& mark,
                             const AttachBody& body) {
  const std::size_t limit = context.options().fan_out * kChildLimitPerFanOut;
  if (!children_.contains(from) && children_.size() >= limit) {
    return;
  }
  const bool known = children_.contains(from);
  const Child& child = children_[from] = {body.sequence, context.now(), mark};
  if (!known) {
    SendHeartbeat(context, from, child);
  }
}

std::optional<MonoTime> Dissemination::OnHeartbeat(const FleetContext& context,
                                                   const NodeId& from,
                                                   const HeartbeatBody& body) {
  if (parent_ == from) {
    heard_parent_at_ = context.now();
  }
  const auto it = attaches_.find(body.sequence);
  if (it == attaches_.end()) {
    return std::nullopt;
  }
  return it->second;
}

void Dissemination::OnChildMark(const NodeId& child, const VersionMark& mark) {
  const auto it = children_.find(child);
  if (it != children_.end()) {
    it->second.mark = mark;
  }
}

void Dissemination::PushNewest(const FleetContext& context,
                               const DisseminationTree& tree,
                               const Membership& membership,
                               const AppliedVersions& versions,
                               const Freshness& freshness,
                               bool as_committer) {
  ConfigUpdate update;
  update.mark = versions.mark();
  update.confirmed_age = freshness.AgeAt(context.now());
  std::set<NodeId> targets;
  for (const auto& [id, child] : children_) {
    targets.insert(id);
  }
  if (as_committer) {
    for (const auto& [zone, roots] : tree.all_roots()) {
      targets.insert(roots.begin(), roots.end());
    }
  }
  targets.erase(membership.self().id);
  for (const NodeId& id : targets) {
    const VersionMark have = MarkOfPeer(membership, id);
    if (have.number >= update.mark.number) {
      continue;
    }
    const DeltaPtr delta =
        have.number == 0 ? versions.LatestDelta() : versions.DeltaFrom(have);
    if (delta != nullptr) {
      update.body = delta;
      context.Emit(SendPush{id, update});
      continue;
    }
    // The mark in the heartbeat's header makes the peer pull at its own pace.
    const auto child = children_.find(id);
    SendHeartbeat(context, id,
                  child == children_.end() ? Child{} : child->second);
  }
}

VersionMark Dissemination::MarkOfPeer(const Membership& membership,
                                      const NodeId& id) const {
  VersionMark mark;
  if (const MemberEntry* entry = membership.Find(id)) {
    mark = entry->mark;
  }
  const auto child = children_.find(id);
  if (child != children_.end()) {
    mark = std::max(mark, child->second.mark);
  }
  return mark;
}

}  // namespace cassiabend
