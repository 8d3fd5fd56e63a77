#include "cassiabend/core/membership.h"

#include <algorithm>
#include <bit>

namespace cassiabend {
namespace {

/// Sends of one update within the zone, in addition to the binary logarithm of
/// the zone's size.
constexpr std::uint32_t kExtraSends = 2;
/// Number of newest updates that a heartbeat carries, and the heartbeat periods
/// for which it does.
constexpr std::size_t kUpdatesPerHeartbeat = 3;
constexpr std::int64_t kRecentHeartbeats = 2;
/// Sends of one update to each other zone.
constexpr std::uint32_t kSendsPerOtherZone = 4;
/// Odd factor that spreads start ids over all bits of the digest's seed.
constexpr std::uint64_t kDigestFactor = 0x9E3779B97F4A7C15ULL;
/// Maximum number of records gossiped after comparing lists with a peer.
constexpr std::size_t kMaxRelayedRecords = 50;

/// \returns Whether the dissemination tree must be recomputed when record `a`
/// becomes `b`.
bool ChangesView(const Member& a, const Member& b) noexcept {
  return IsLive(a.status) != IsLive(b.status) || a.is_reader != b.is_reader ||
         a.zone != b.zone || a.start_id != b.start_id;
}

/// \returns What a member contributes to the digest of the live members; 0 if
/// it is not live.
std::uint64_t DigestOf(const Member& member) {
  const std::uint64_t seed = member.start_id * kDigestFactor + member.revision;
  return IsLive(member.status) ? Hash64(ToString(member.id), seed) : 0;
}

}  // namespace

Membership::Membership(const Member& self)
    : self_(self), live_digest_(DigestOf(self)) {
  zone_updates_.Add(self.id);
}

const MemberEntry* Membership::Find(const NodeId& id) const noexcept {
  const auto it = entries_.find(id);
  return it == entries_.end() ? nullptr : &it->second;
}

Member Membership::VisibleRecord(const MemberEntry& entry) const {
  Member visible = entry.member;
  if (visible.status == MemberStatus::kAlive &&
      unreachable_zones_.contains(visible.zone)) {
    visible.status = MemberStatus::kSuspect;
  }
  return visible;
}

std::vector<Member> Membership::AllRecords() const {
  std::vector<Member> all{self_};
  all.reserve(entries_.size() + 1);
  for (const auto& [id, entry] : entries_) {
    all.push_back(entry.member);
  }
  return all;
}

std::vector<NodeId> Membership::LiveInZone() const {
  std::vector<NodeId> live;
  for (const auto& [id, entry] : entries_) {
    if (entry.member.zone == self_.zone && IsLive(entry.member.status)) {
      live.push_back(id);
    }
  }
  return live;
}

void Membership::UpdateOwnRecord(const FleetContext& context, Member record) {
  record.revision = self_.revision;
  if (record == self_) {
    return;
  }
  ++record.revision;
  view_version_ += ChangesView(self_, record) ? 1 : 0;
  UpdateDigest(&self_, record);
  self_ = std::move(record);
  QueueUpdate(context, self_);
  context.Emit(MembersChanged{{self_}});
}

void Membership::Merge(const FleetContext& context,
                       std::span<const Member> records,
                       Relay relay) {
  std::vector<Member> changed;
  for (const Member& it : records) {
    if (it.id.empty()) {
      continue;
    }
    if (it.id == self_.id) {
      MergeSelf(context, it);
      continue;
    }
    if (!MergeOther(context, it)) {
      continue;
    }
    const MemberEntry& entry = entries_.at(it.id);
    changed.push_back(VisibleRecord(entry));
    if (relay == Relay::kYes) {
      QueueUpdate(context, entry.member);
    }
  }
  if (!changed.empty()) {
    context.Emit(MembersChanged{std::move(changed)});
  }
}

void Membership::MergeSelf(const FleetContext& context, const Member& record) {
  const Member own = self_;
  if (record.start_id > own.start_id) {
    // An earlier process at this address had a greater start id.
    self_.start_id = record.start_id + 1;
    self_.revision = 0;
  } else if (record.start_id < own.start_id) {
    QueueUpdate(context, self_);
    return;
  } else if (Supersedes(record, own)) {
    self_.revision = record.revision + 1;
  } else {
    return;
  }
  ++view_version_;
  UpdateDigest(&own, self_);
  QueueUpdate(context, self_);
  context.Emit(MembersChanged{{self_}});
}

bool Membership::MergeOther(const FleetContext& context, Member record) {
  const MemberEntry* known = Find(record.id);
  if (known != nullptr && !Supersedes(record, known->member)) {
    return false;
  }
  const bool dies = record.status == MemberStatus::kDead && known != nullptr &&
                    IsLive(known->member.status);
  if (dies && !IsRemovalAllowed(context, record)) {
    record.status = MemberStatus::kSuspect;
    if (!Supersedes(record, known->member)) {
      return false;
    }
  }
  if (dies && record.status == MemberStatus::kDead) {
    RecordRemoval(context, record);
  }
  UpsertRecord(context, record);
  return true;
}

void Membership::UpsertRecord(const FleetContext& context,
                              const Member& record) {
  const auto [it, inserted] = entries_.try_emplace(record.id);
  MemberEntry& entry = it->second;
  const bool restarted = !inserted && entry.member.start_id != record.start_id;
  if (inserted || entry.member.zone != record.zone) {
    entry.rank = RendezvousWeight(record.zone, ToString(record.id));
  }
  if (restarted) {
    entry.mark = {};
    entry.heard_at.reset();
    entry.confirmed_age.reset();
  }
  if (inserted || restarted || entry.member.status != record.status) {
    entry.status_since = context.now();
  }
  view_version_ += inserted || ChangesView(entry.member, record) ? 1 : 0;
  if (!inserted) {
    AdjustLiveCount(entry.member, -1);
  }
  AdjustLiveCount(record, 1);
  UpdateDigest(inserted ? nullptr : &entry.member, record);
  zone_size_ += inserted && record.zone == self_.zone ? 1 : 0;
  entry.member = record;
  const bool first_of_zone =
      record.zone != self_.zone &&
      other_zone_updates_.try_emplace(record.zone).second;
  if (first_of_zone) {
    UpdateQueue& queue = other_zone_updates_[record.zone];
    queue.Add(self_.id);
    for (const NodeId& live : LiveInZone()) {
      queue.Add(live);
    }
  }
}

void Membership::UpdateDigest(const Member* before, const Member& after) {
  if (before != nullptr) {
    live_digest_ ^= DigestOf(*before);
  }
  live_digest_ ^= DigestOf(after);
}

void Membership::AdjustLiveCount(const Member& member, int step) {
  if (!member.service.empty() && IsLive(member.status)) {
    live_counts_[{member.service, member.zone}] += step;
  }
}

void Membership::QueueUpdate(const FleetContext& context,
                             const Member& record) {
  zone_updates_.Add(record.id);
  std::erase(recent_updates_, record.id);
  recent_updates_.push_front(record.id);
  if (recent_updates_.size() > kUpdatesPerHeartbeat) {
    recent_updates_.pop_back();
  }
  recent_updates_until_ =
      context.now() + context.options().beat_period * kRecentHeartbeats;
  if (record.zone != self_.zone) {
    return;
  }
  for (auto& [zone, queue] : other_zone_updates_) {
    queue.Add(record.id);
  }
}

UpdateQueue* Membership::QueueFor(const NodeId& to) {
  const MemberEntry* entry = Find(to);
  if (entry == nullptr || entry->member.zone == self_.zone) {
    return &zone_updates_;
  }
  return &other_zone_updates_[entry->member.zone];
}

void Membership::OnDatagramHeader(const FleetContext& context,
                                  const Datagram& datagram) {
  const auto it = entries_.find(datagram.from);
  if (it == entries_.end() ||
      it->second.member.start_id != datagram.from_start_id) {
    return;
  }
  MemberEntry& entry = it->second;
  if (datagram.mark.number >= entry.mark.number) {
    entry.mark = datagram.mark;
    entry.confirmed_age = datagram.confirmed_age;
  }
  entry.heard_at = context.now();
  entry.load_permille = datagram.load_permille;
  if (!entry.member.service.empty()) {
    context.Emit(MemberLoadReported{datagram.from, datagram.load_permille,
                                    datagram.time_percent});
  }
}

void Membership::Suspect(const FleetContext& context, const NodeId& id) {
  const MemberEntry* entry = Find(id);
  if (entry == nullptr || entry->member.status != MemberStatus::kAlive) {
    return;
  }
  Member record = entry->member;
  record.status = MemberStatus::kSuspect;
  Merge(context, std::span(&record, 1));
}

void Membership::SetUnreachableZones(const FleetContext& context,
                                     std::set<std::string> zones) {
  if (zones == unreachable_zones_) {
    return;
  }
  const std::set<std::string> before = std::move(unreachable_zones_);
  unreachable_zones_ = std::move(zones);
  std::vector<Member> changed;
  for (const auto& [id, entry] : entries_) {
    const std::string& zone = entry.member.zone;
    if (before.contains(zone) != unreachable_zones_.contains(zone)) {
      changed.push_back(VisibleRecord(entry));
    }
  }
  if (!changed.empty()) {
    context.Emit(MembersChanged{std::move(changed)});
  }
}

void Membership::Tick(const FleetContext& context) {
  const MonoTime now = context.now();
  std::vector<Member> dead;
  for (auto it = entries_.begin(); it != entries_.end();) {
    const MemberEntry& entry = it->second;
    const Nanoseconds age = now - entry.status_since;
    if (!IsLive(entry.member.status) && age > context.options().forget_after) {
      zone_updates_.Remove(it->first);
      for (auto& [zone, queue] : other_zone_updates_) {
        queue.Remove(it->first);
      }
      zone_size_ -= entry.member.zone == self_.zone ? 1 : 0;
      it = entries_.erase(it);
      continue;
    }
    if (entry.member.status == MemberStatus::kSuspect &&
        entry.member.zone == self_.zone &&
        age > context.options().suspicion_timeout) {
      dead.push_back(entry.member);
      dead.back().status = MemberStatus::kDead;
    }
    ++it;
  }
  Merge(context, dead);
}

void Membership::RestartSuspicionTimeouts(const FleetContext& context) {
  for (auto& [id, entry] : entries_) {
    if (entry.member.status == MemberStatus::kSuspect) {
      entry.status_since = context.now();
    }
  }
}

bool Membership::IsRemovalAllowed(const FleetContext& context,
                                  const Member& member) {
  if (member.service.empty()) {
    return true;
  }
  std::deque<MonoTime>& times = removals_[{member.service, member.zone}];
  const MonoTime since = context.now() - context.options().removal_interval;
  while (!times.empty() && times.front() < since) {
    times.pop_front();
  }
  // Members that are live now or were removed within the interval.
  const std::size_t count =
      times.size() +
      static_cast<std::size_t>(live_counts_[{member.service, member.zone}]);
  const std::size_t allowed = std::max<std::size_t>(
      1, count * context.options().removal_permille / 1'000);
  return times.size() < allowed;
}

void Membership::RecordRemoval(const FleetContext& context,
                               const Member& member) {
  if (!member.service.empty()) {
    removals_[{member.service, member.zone}].push_back(context.now());
  }
}

void Membership::RelayMissing(const FleetContext& context,
                              std::span<const Member> records) {
  std::map<NodeId, const Member*> peer_records;
  for (const Member& it : records) {
    peer_records[it.id] = &it;
  }
  std::size_t relayed = 0;
  for (const auto& [id, entry] : entries_) {
    const auto it = peer_records.find(id);
    const bool missing =
        it == peer_records.end() || Supersedes(entry.member, *it->second);
    if (missing && relayed < kMaxRelayedRecords) {
      ++relayed;
      QueueUpdate(context, entry.member);
    }
  }
}

std::vector<Member> Membership::RecentUpdates(
    const FleetContext& context) const {
  std::vector<Member> updates;
  if (context.now() > recent_updates_until_) {
    return updates;
  }
  for (const NodeId& id : recent_updates_) {
    const MemberEntry* entry = Find(id);
    if (entry != nullptr || id == self_.id) {
      updates.push_back(entry == nullptr ? self_ : entry->member);
    }
  }
  return updates;
}

std::vector<Member> Membership::PiggybackUpdates(const NodeId& to,
                                                 bool include_self) {
  std::vector<Member> updates;
  std::size_t bytes = kDatagramBaseBytes;
  const auto add = [&](const Member& member) {
    if (bytes + EncodedBytesBound(member) > kDatagramLimitBytes) {
      return false;
    }
    updates.push_back(member);
    bytes += EncodedBytesBound(member);
    return true;
  };
  if (include_self) {
    add(self_);
  }
  const MemberEntry* receiver = Find(to);
  if (receiver != nullptr && receiver->member.status != MemberStatus::kAlive) {
    // Sends the receiver its record as held here, so that it can refute it.
    add(receiver->member);
  }
  UpdateQueue* queue = QueueFor(to);
  const bool other_zone = queue != &zone_updates_;
  const std::uint32_t max_sends =
      other_zone ? kSendsPerOtherZone
                 : kExtraSends +
                       static_cast<std::uint32_t>(std::bit_width(zone_size_));
  queue->SelectForSend(max_sends, [&](const NodeId& id) {
    const MemberEntry* entry = Find(id);
    return add(entry == nullptr ? self_ : entry->member);
  });
  return updates;
}

}  // namespace cassiabend
