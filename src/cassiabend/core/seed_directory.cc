#include "cassiabend/core/seed_directory.h"

#include <algorithm>
#include <utility>

namespace cassiabend {
namespace {

constexpr Milliseconds kCheckPeriod{60'000};
/// Pause before the fleet's key is checked and after a conflicting write.
constexpr Milliseconds kShortPause{300};
constexpr std::size_t kSeedsPerZone = 4;
constexpr std::size_t kFleetSeedsPerZone = 2;
constexpr std::size_t kFleetSeedLimit = 32;

bool Contains(const std::vector<NodeId>& ids, const NodeId& id) {
  return std::ranges::find(ids, id) != ids.end();
}

}  // namespace

std::string FormatSeeds(const std::vector<NodeId>& seeds) {
  std::string text;
  for (const NodeId& id : seeds) {
    text += ToString(id) + "\n";
  }
  return text;
}

std::vector<NodeId> ParseSeeds(std::string_view text) {
  std::vector<NodeId> seeds;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    NodeId id;
    if (ParseNodeId(text.substr(0, end), &id)) {
      seeds.push_back(std::move(id));
    }
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return seeds;
}

void SeedDirectory::Tick(const FleetContext& context,
                         const Membership& membership,
                         bool enabled) {
  if (enabled != enabled_) {
    enabled_ = enabled;
    pending_.Abandon();
    next_at_ = context.now();
    fleet_key_ = false;
  }
  if (!enabled_) {
    return;
  }
  if (pending_.IsOverdueAt(context.now())) {
    pending_.Abandon();
  }
  if (pending_.active() || context.now() < next_at_) {
    return;
  }
  next_at_ = context.now() + context.random().Jitter(kCheckPeriod, 0.3);
  writing_ = false;
  key_ = fleet_key_ ? std::string(kFleetSeedKey)
                    : kSeedPrefix + membership.self().zone;
  pending_.Start(context, StoreGet{key_}, kStoreCallTimeout);
}

bool SeedDirectory::OnReply(const FleetContext& context,
                            const StoreReplied& replied,
                            const DisseminationTree& tree,
                            const Membership& membership) {
  if (!pending_.Finish(replied.id.sequence)) {
    return false;
  }
  const StoreReply& reply = replied.reply;
  if (writing_ || reply.status != StoreStatus::kOk) {
    writing_ = false;
    if (reply.status == StoreStatus::kConflict) {
      next_at_ = context.now() + context.random().Jitter(kShortPause, 0.5);
    } else if (reply.status == StoreStatus::kOk && !fleet_key_) {
      fleet_key_ = true;
      next_at_ = context.now() + context.random().Jitter(kShortPause, 0.5);
    } else {
      fleet_key_ = false;
    }
    return true;
  }
  const std::vector<NodeId> present =
      reply.entry ? ParseSeeds(reply.entry->value) : std::vector<NodeId>{};
  seen_peers_.insert(seen_peers_.end(), present.begin(), present.end());
  const std::vector<NodeId> desired = DesiredSeeds(tree, membership, present);
  if (desired != present) {
    writing_ = true;
    pending_.Start(
        context,
        StoreCompareAndSwap{key_, reply.entry ? reply.entry->revision : 0,
                            FormatSeeds(desired), 0},
        kStoreCallTimeout);
    return true;
  }
  if (!fleet_key_) {
    next_at_ = context.now() + context.random().Jitter(kShortPause, 0.5);
  }
  fleet_key_ = !fleet_key_;
  return true;
}

void SeedDirectory::OnStoreRestored(const FleetContext& context) {
  pending_.Abandon();
  fleet_key_ = false;
  next_at_ = context.now() + context.random().Jitter(kShortPause, 0.5);
}

std::vector<NodeId> SeedDirectory::TakeSeenPeers() {
  return std::exchange(seen_peers_, {});
}

std::vector<NodeId> SeedDirectory::DesiredSeeds(
    const DisseminationTree& tree,
    const Membership& membership,
    const std::vector<NodeId>& present) const {
  // Addresses of live members stay, so that readers do not overwrite each
  // other. Addresses of unknown members are left for the readers of their own
  // zone to replace.
  std::vector<NodeId> desired;
  std::map<std::string, std::size_t> counts;
  const std::string& own_zone = membership.self().zone;
  const std::size_t limit = fleet_key_ ? kFleetSeedsPerZone : kSeedsPerZone;
  const auto add = [&](const NodeId& id, const std::string& zone) {
    if (counts[zone] < limit && !Contains(desired, id)) {
      ++counts[zone];
      desired.push_back(id);
    }
  };
  for (const NodeId& id : present) {
    const MemberEntry* entry = membership.Find(id);
    if (id == membership.self().id) {
      add(id, own_zone);
    } else if (entry != nullptr && IsLive(entry->member.status)) {
      add(id, entry->member.zone);
    } else if (entry == nullptr && fleet_key_ &&
               desired.size() < kFleetSeedLimit) {
      desired.push_back(id);
    }
  }
  add(membership.self().id, own_zone);
  for (const NodeId& id : tree.roots()) {
    add(id, own_zone);
  }
  if (!fleet_key_) {
    for (const NodeId& id : membership.LiveInZone()) {
      add(id, own_zone);
    }
  }
  return desired;
}

}  // namespace cassiabend
