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
constexpr std::size_t kNewsPerBeat = 3;
constexpr std::int64_t kNewsBeats = 2;
/// Sends of one update to each other zone.
constexpr std::uint32_t kSendsToOuterZone = 4;
/// Odd factor that spreads start ids over all bits of the digest's seed.
constexpr std::uint64_t kDigestFactor = 0x9E3779B97F4A7C15ULL;
/// Maximum number of records gossiped after a comparison of two lists.
constexpr std::size_t kRelayLimit = 50;

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

Member Membership::Shown(const MemberEntry& entry) const {
  Member shown = entry.member;
  if (shown.status == MemberStatus::kAlive &&
      unreachable_zones_.contains(shown.zone)) {
    shown.status = MemberStatus::kSuspect;
  }
  return shown;
}

std::vector<Member> Membership::Statements() const {
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

void Membership::StateSelf(const FleetContext& context, Member statement) {
  statement.revision = self_.revision;
  if (statement == self_) {
    return;
  }
  ++statement.revision;
  view_version_ += ChangesView(self_, statement) ? 1 : 0;
  ReplaceInDigest(&self_, statement);
  self_ = std::move(statement);
  QueueUpdate(context, self_);
  context.Emit(MembersChanged{{self_}});
}

void Membership::Merge(const FleetContext& context,
                       std::span<const Member> statements,
                       Relay relay) {
  std::vector<Member> changed;
  for (const Member& it : statements) {
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
    changed.push_back(Shown(entry));
    if (relay == Relay::kYes) {
      QueueUpdate(context, entry.member);
    }
  }
  if (!changed.empty()) {
    context.Emit(MembersChanged{std::move(changed)});
  }
}

void Membership::MergeSelf(const FleetContext& context,
                           const Member& statement) {
  const Member own = self_;
  if (statement.start_id > own.start_id) {
    // An earlier process at this address had a greater start id.
    self_.start_id = statement.start_id + 1;
    self_.revision = 0;
  } else if (statement.start_id < own.start_id) {
    QueueUpdate(context, self_);
    return;
  } else if (Supersedes(statement, own)) {
    self_.revision = statement.revision + 1;
  } else {
    return;
  }
  ++view_version_;
  ReplaceInDigest(&own, self_);
  QueueUpdate(context, self_);
  context.Emit(MembersChanged{{self_}});
}

bool Membership::MergeOther(const FleetContext& context, Member statement) {
  const MemberEntry* known = Find(statement.id);
  if (known != nullptr && !Supersedes(statement, known->member)) {
    return false;
  }
  const bool dies = statement.status == MemberStatus::kDead &&
                    known != nullptr && IsLive(known->member.status);
  if (dies && !MayRemove(context, statement)) {
    statement.status = MemberStatus::kSuspect;
    if (!Supersedes(statement, known->member)) {
      return false;
    }
  }
  if (dies && statement.status == MemberStatus::kDead) {
    NoteRemoval(context, statement);
  }
  Put(context, statement);
  return true;
}

void Membership::Put(const FleetContext& context, const Member& statement) {
  const auto [it, inserted] = entries_.try_emplace(statement.id);
  MemberEntry& entry = it->second;
  const bool restarted =
      !inserted && entry.member.start_id != statement.start_id;
  if (inserted || entry.member.zone != statement.zone) {
    entry.rank = RendezvousWeight(statement.zone, ToString(statement.id));
  }
  if (restarted) {
    entry.mark = {};
    entry.heard_at.reset();
    entry.confirmed_age.reset();
  }
  if (inserted || restarted || entry.member.status != statement.status) {
    entry.status_since = context.now();
  }
  view_version_ += inserted || ChangesView(entry.member, statement) ? 1 : 0;
  if (!inserted) {
    CountLive(entry.member, -1);
  }
  CountLive(statement, 1);
  ReplaceInDigest(inserted ? nullptr : &entry.member, statement);
  zone_size_ += inserted && statement.zone == self_.zone ? 1 : 0;
  entry.member = statement;
  const bool first_of_zone = statement.zone != self_.zone &&
                             outer_updates_.try_emplace(statement.zone).second;
  if (first_of_zone) {
    UpdateQueue& queue = outer_updates_[statement.zone];
    queue.Add(self_.id);
    for (const NodeId& live : LiveInZone()) {
      queue.Add(live);
    }
  }
}

void Membership::ReplaceInDigest(const Member* before, const Member& after) {
  if (before != nullptr) {
    live_digest_ ^= DigestOf(*before);
  }
  live_digest_ ^= DigestOf(after);
}

void Membership::CountLive(const Member& member, int step) {
  if (!member.service.empty() && IsLive(member.status)) {
    live_counts_[{member.service, member.zone}] += step;
  }
}

void Membership::QueueUpdate(const FleetContext& context,
                             const Member& statement) {
  zone_updates_.Add(statement.id);
  std::erase(news_, statement.id);
  news_.push_front(statement.id);
  if (news_.size() > kNewsPerBeat) {
    news_.pop_back();
  }
  news_until_ = context.now() + context.options().beat_period * kNewsBeats;
  if (statement.zone != self_.zone) {
    return;
  }
  for (auto& [zone, queue] : outer_updates_) {
    queue.Add(statement.id);
  }
}

UpdateQueue* Membership::QueueFor(const NodeId& to) {
  const MemberEntry* entry = Find(to);
  if (entry == nullptr || entry->member.zone == self_.zone) {
    return &zone_updates_;
  }
  return &outer_updates_[entry->member.zone];
}

void Membership::TakeHeader(const FleetContext& context,
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
    context.Emit(MemberLoadReported{datagram.from, datagram.load_permille});
  }
}

void Membership::Suspect(const FleetContext& context, const NodeId& id) {
  const MemberEntry* entry = Find(id);
  if (entry == nullptr || entry->member.status != MemberStatus::kAlive) {
    return;
  }
  Member statement = entry->member;
  statement.status = MemberStatus::kSuspect;
  Merge(context, std::span(&statement, 1));
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
      changed.push_back(Shown(entry));
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
      for (auto& [zone, queue] : outer_updates_) {
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

void Membership::RestartSuspicions(const FleetContext& context) {
  for (auto& [id, entry] : entries_) {
    if (entry.member.status == MemberStatus::kSuspect) {
      entry.status_since = context.now();
    }
  }
}

bool Membership::MayRemove(const FleetContext& context, const Member& member) {
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

void Membership::NoteRemoval(const FleetContext& context,
                             const Member& member) {
  if (!member.service.empty()) {
    removals_[{member.service, member.zone}].push_back(context.now());
  }
}

void Membership::RelayMissing(const FleetContext& context,
                              std::span<const Member> statements) {
  std::map<NodeId, const Member*> theirs;
  for (const Member& it : statements) {
    theirs[it.id] = &it;
  }
  std::size_t relayed = 0;
  for (const auto& [id, entry] : entries_) {
    const auto it = theirs.find(id);
    const bool missing =
        it == theirs.end() || Supersedes(entry.member, *it->second);
    if (missing && relayed < kRelayLimit) {
      ++relayed;
      QueueUpdate(context, entry.member);
    }
  }
}

std::vector<Member> Membership::News(const FleetContext& context) const {
  std::vector<Member> news;
  if (context.now() > news_until_) {
    return news;
  }
  for (const NodeId& id : news_) {
    const MemberEntry* entry = Find(id);
    if (entry != nullptr || id == self_.id) {
      news.push_back(entry == nullptr ? self_ : entry->member);
    }
  }
  return news;
}

std::vector<Member> Membership::TakeUpdates(const NodeId& to, bool with_self) {
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
  if (with_self) {
    add(self_);
  }
  const MemberEntry* receiver = Find(to);
  if (receiver != nullptr && receiver->member.status != MemberStatus::kAlive) {
    // Tells the receiver how it is seen here, so that it can refute it.
    add(receiver->member);
  }
  UpdateQueue* queue = QueueFor(to);
  const bool outer = queue != &zone_updates_;
  const std::uint32_t max_sends =
      outer ? kSendsToOuterZone
            : kExtraSends +
                  static_cast<std::uint32_t>(std::bit_width(zone_size_));
  queue->Take(max_sends, [&](const NodeId& id) {
    const MemberEntry* entry = Find(id);
    return add(entry == nullptr ? self_ : entry->member);
  });
  return updates;
}

}  // namespace cassiabend
