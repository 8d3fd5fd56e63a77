#include "cassiabend/core/join.h"

#include <algorithm>

#include "cassiabend/core/seed_directory.h"

namespace cassiabend {
namespace {

/// Number of addresses contacted at the same time.
constexpr std::size_t kParallelContacts = 2;
constexpr Milliseconds kContactPeriod{1'500};
/// Maximum number of members that a node asks for their lists after joining.
constexpr std::uint32_t kMaxContactsAfterJoin = 6;
/// An answer with at most one in so many of the known members comes from a peer
/// at its rate limit and is not a whole list.
constexpr std::size_t kShortListDivisor = 2;

bool KnowsLiveMember(const Membership& membership) {
  return std::ranges::any_of(membership.entries(), [](const auto& it) {
    return IsLive(it.second.member.status);
  });
}

}  // namespace

void Join::Tick(const FleetContext& context,
                const DisseminationTree& tree,
                const Membership& membership) {
  if (!IsLive(membership.self().status)) {
    return;
  }
  if (joined_ && !KnowsLiveMember(membership)) {
    joined_ = false;
  }
  if (!joined_) {
    DiscoverPeers(context, membership);
    return;
  }
  const MonoTime now = context.now();
  if (contacts_left_ > 0 && now >= next_contact_at_) {
    --contacts_left_;
    next_contact_at_ = now + context.random().Jitter(kContactPeriod, 0.5);
    std::vector<NodeId> live = membership.LiveInZone();
    if (!live.empty()) {
      Contact(context, live[context.random().Below(live.size())]);
    }
  }
  SyncWithOtherZone(context, tree, membership);
}

void Join::DiscoverPeers(const FleetContext& context,
                         const Membership& membership) {
  const MonoTime now = context.now();
  if (now >= next_contact_at_) {
    next_contact_at_ = now + context.random().Jitter(kContactPeriod, 0.5);
    std::vector<NodeId> peers = context.options().seeds;
    peers.insert(peers.end(), store_peers_.begin(), store_peers_.end());
    // Members that contacted this node first take precedence.
    const std::vector<NodeId> live = membership.LiveInZone();
    if (!live.empty()) {
      peers = live;
    }
    ContactSome(context, peers, membership);
  }
  if (context.options().member_lease > Seconds(0)) {
    // `MemberDirectory` lists the peers instead.
    return;
  }
  if (!next_read_at_) {
    next_read_at_ =
        now + context.random().Jitter(context.options().join_jitter / 2, 1.0);
  }
  if (seed_read_.IsOverdueAt(now)) {
    seed_read_.Abandon();
    next_read_at_ =
        backoff_.NextAttemptTime(context, context.options().store_retry_limit);
  }
  if (seed_read_.active() || now < *next_read_at_) {
    return;
  }
  const std::string key = zone_key_read_ ? std::string(kFleetSeedKey)
                                         : kSeedPrefix + membership.self().zone;
  seed_read_.Start(context, StoreGet{key}, kStoreCallTimeout);
}

bool Join::OnReply(const FleetContext& context,
                   const StoreReplied& replied,
                   const Membership& membership) {
  if (!seed_read_.Finish(replied.id.sequence)) {
    return false;
  }
  next_read_at_ =
      backoff_.NextAttemptTime(context, context.options().store_retry_limit);
  if (replied.reply.status != StoreStatus::kOk) {
    return true;
  }
  // If the addresses of the zone do not help, those of the fleet are next.
  zone_key_read_ = !zone_key_read_;
  if (!replied.reply.entry) {
    return true;
  }
  store_peers_ = ParseSeeds(replied.reply.entry->value);
  ContactSome(context, store_peers_, membership);
  return true;
}

void Join::OnMembers(const FleetContext& context,
                     const MembersReplied& answer,
                     Membership* membership) {
  if (!answer.members) {
    return;
  }
  const bool sync = answer.peer == sync_peer_;
  const std::size_t known = membership->entries().size();
  membership->Merge(context, *answer.members, sync ? Relay::kYes : Relay::kNo);
  const bool whole = answer.members->size() > known / kShortListDivisor;
  if (joined_ && contacts_left_ == 0 && whole) {
    membership->RelayMissing(context, *answer.members);
  }
  if (!joined_) {
    joined_ = KnowsLiveMember(*membership);
    backoff_.Reset();
    contacts_left_ = kMaxContactsAfterJoin;
    next_contact_at_ =
        context.now() + context.random().Jitter(kContactPeriod / 2, 0.5);
  } else if (!sync && membership->entries().size() == known) {
    contacts_left_ = 0;
  }
}

void Join::OnPeersListed(const FleetContext& context,
                         std::vector<NodeId> peers,
                         const Membership& membership) {
  if (peers.empty()) {
    return;
  }
  store_peers_ = std::move(peers);
  ContactSome(context, store_peers_, membership);
}

void Join::ContactUnknown(const FleetContext& context,
                          const std::vector<NodeId>& peers,
                          const Membership& membership) {
  std::vector<NodeId> unknown;
  for (const NodeId& id : peers) {
    if (membership.Find(id) == nullptr) {
      unknown.push_back(id);
    }
  }
  ContactSome(context, unknown, membership);
}

void Join::Contact(const FleetContext& context, const NodeId& peer) const {
  context.Send(peer, JoinBody{});
  context.Emit(SendMembersRequest{peer});
}

void Join::ContactSome(const FleetContext& context,
                       const std::vector<NodeId>& peers,
                       const Membership& membership) const {
  std::vector<NodeId> left = peers;
  std::erase(left, membership.self().id);
  for (std::size_t i = 0; i < kParallelContacts && !left.empty(); ++i) {
    const auto it = left.begin() + static_cast<std::ptrdiff_t>(
                                       context.random().Below(left.size()));
    Contact(context, *it);
    left.erase(it);
  }
}

void Join::SyncWithOtherZone(const FleetContext& context,
                             const DisseminationTree& tree,
                             const Membership& membership) {
  const Nanoseconds period = context.options().member_sync_period;
  if (!next_sync_at_) {
    next_sync_at_ = context.now() + context.random().Jitter(period / 2, 1.0);
  }
  if (!tree.is_root() || context.now() < *next_sync_at_) {
    return;
  }
  next_sync_at_ = context.now() + context.random().Jitter(period, 0.3);
  std::vector<NodeId> peers;
  for (const auto& [zone, roots] : tree.all_roots()) {
    if (zone != membership.self().zone) {
      peers.insert(peers.end(), roots.begin(), roots.end());
    }
  }
  if (peers.empty()) {
    return;
  }
  sync_peer_ = peers[context.random().Below(peers.size())];
  context.Emit(SendMembersRequest{sync_peer_});
}

}  // namespace cassiabend
