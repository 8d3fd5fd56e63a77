#include "tools/fake_store_state.h"

#include <algorithm>
#include <utility>

namespace cassiabend {
namespace {

constexpr std::size_t kMaxEvents = 10'000;

}  // namespace

std::optional<FakeStoreItem> FakeStoreState::Find(
    const std::string& key) const {
  const auto it = keys_.find(key);
  return it == keys_.end() ? std::nullopt : std::optional(it->second);
}

std::vector<FakeStoreItem> FakeStoreState::List(
    const std::string& prefix,
    const std::string& after) const {
  std::vector<FakeStoreItem> out;
  for (const auto& [key, item] : keys_) {
    if (key.starts_with(prefix) && key > after) {
      out.push_back(item);
    }
  }
  return out;
}

StoreRevision FakeStoreState::RevisionOf(const std::string& key) const {
  const auto it = keys_.find(key);
  return it == keys_.end() ? 0 : it->second.entry.revision;
}

bool FakeStoreState::HasLease(LeaseId lease) const {
  return leases_.contains(lease);
}

std::span<const FakeStoreEvent> FakeStoreState::EventsSince(
    StoreRevision from) const {
  const auto it = std::ranges::lower_bound(events_, from, std::ranges::less(),
                                           &FakeStoreEvent::revision);
  return {it, events_.end()};
}

void FakeStoreState::Put(const std::string& key,
                         const std::string& value,
                         LeaseId lease) {
  ++revision_;
  FakeStoreItem& item = keys_[key];
  item.entry = {key, value, revision_};
  item.created = item.created == 0 ? revision_ : item.created;
  item.lease = lease;
  AddEvent(key, item);
}

bool FakeStoreState::Remove(const std::string& key) {
  if (keys_.erase(key) == 0) {
    return false;
  }
  ++revision_;
  AddEvent(key, std::nullopt);
  return true;
}

LeaseId FakeStoreState::GrantLease(Milliseconds ttl, MonoTime now) {
  const LeaseId id = next_lease_++;
  leases_[id] = Lease{ttl, now + ttl};
  return id;
}

std::optional<Milliseconds> FakeStoreState::RenewLease(LeaseId lease,
                                                       MonoTime now) {
  const auto it = leases_.find(lease);
  if (it == leases_.end()) {
    return std::nullopt;
  }
  it->second.ends_at = now + it->second.ttl;
  return it->second.ttl;
}

bool FakeStoreState::EndLease(LeaseId lease) {
  if (leases_.erase(lease) == 0) {
    return false;
  }
  std::vector<std::string> bound;
  for (const auto& [key, item] : keys_) {
    if (item.lease == lease) {
      bound.push_back(key);
    }
  }
  for (const std::string& it : bound) {
    Remove(it);
  }
  return true;
}

void FakeStoreState::ExpireLeases(MonoTime now) {
  std::vector<LeaseId> ended;
  for (const auto& [id, lease] : leases_) {
    if (lease.ends_at <= now) {
      ended.push_back(id);
    }
  }
  for (const LeaseId it : ended) {
    EndLease(it);
  }
}

void FakeStoreState::ExtendLeases(MonoTime::duration time) {
  for (auto& [id, lease] : leases_) {
    lease.ends_at += time;
  }
}

void FakeStoreState::Compact() {
  events_.clear();
  compact_revision_ = revision_;
}

void FakeStoreState::AddEvent(const std::string& key,
                              std::optional<FakeStoreItem> item) {
  events_.push_back({revision_, key, std::move(item)});
  if (events_.size() > kMaxEvents) {
    compact_revision_ = events_.front().revision;
    events_.erase(events_.begin());
  }
}

}  // namespace cassiabend
