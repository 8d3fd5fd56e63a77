#include "tools/fake_store_state.h"

#include <algorithm>
#include <utility>

namespace cassiabend {
namespace {

constexpr std::size_t kMaxEvents = 10'000;

}  // namespace

std::optional<StoreEntry> FakeStoreState::Find(const std::string& key) const {
  const auto it = keys_.find(key);
  if (it == keys_.end()) {
    return std::nullopt;
  }
  return StoreEntry{key, it->second.bytes, it->second.revision};
}

StoreRevision FakeStoreState::RevisionOf(const std::string& key) const {
  const auto it = keys_.find(key);
  return it == keys_.end() ? 0 : it->second.revision;
}

bool FakeStoreState::HasLease(LeaseId lease) const {
  return leases_.contains(lease);
}

std::vector<FakeStoreEvent> FakeStoreState::EventsSince(
    const std::string& key,
    StoreRevision from) const {
  std::vector<FakeStoreEvent> out;
  auto it = std::ranges::lower_bound(events_, from, std::ranges::less(),
                                     &FakeStoreEvent::revision);
  for (; it != events_.end(); ++it) {
    if (it->key == key) {
      out.push_back(*it);
    }
  }
  return out;
}

void FakeStoreState::Put(const std::string& key,
                         const std::string& value,
                         LeaseId lease) {
  ++revision_;
  keys_[key] = Value{value, revision_, lease};
  AddEvent(key, value);
}

bool FakeStoreState::Remove(const std::string& key) {
  if (keys_.erase(key) == 0) {
    return false;
  }
  ++revision_;
  AddEvent(key, std::nullopt);
  return true;
}

LeaseId FakeStoreState::GrantLease(Seconds ttl, MonoTime now) {
  const LeaseId id = next_lease_++;
  leases_[id] = Lease{ttl, now + ttl};
  return id;
}

std::optional<Seconds> FakeStoreState::RenewLease(LeaseId lease, MonoTime now) {
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
  for (const auto& [key, value] : keys_) {
    if (value.lease == lease) {
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

void FakeStoreState::Compact() {
  events_.clear();
  compact_revision_ = revision_;
}

void FakeStoreState::AddEvent(const std::string& key,
                              std::optional<std::string> value) {
  events_.push_back({revision_, key, std::move(value)});
  if (events_.size() > kMaxEvents) {
    compact_revision_ = events_.front().revision;
    events_.pop_front();
  }
}

}  // namespace cassiabend
