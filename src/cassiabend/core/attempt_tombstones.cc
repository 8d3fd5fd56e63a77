#include "cassiabend/core/attempt_tombstones.h"

#include <algorithm>

namespace cassiabend {

std::optional<TombstoneKind> AttemptTombstones::Find(
    const AttemptId& id) const {
  const auto it = entries_.find(id);
  if (it == entries_.end()) {
    return std::nullopt;
  }
  return it->second.kind;
}

bool AttemptTombstones::Add(const AttemptId& id,
                            TombstoneKind kind,
                            std::optional<WallTime> expires_at,
                            MonoTime keep_until) {
  const auto known = entries_.find(id);
  if (known != entries_.end()) {
    return known->second.kind == kind;
  }
  if (!expires_at && pinned_ >= limit_ / 2) {
    return false;
  }
  if (entries_.size() >= limit_ && !EvictOldest()) {
    return false;
  }
  Entry& entry = entries_[id];
  entry.id = id;
  entry.kind = kind;
  entry.expires_at = expires_at;
  if (expires_at) {
    evictable_timers_.Schedule(&entry, keep_until);
  } else {
    ++pinned_;
    pinned_timers_.Schedule(&entry, keep_until);
  }
  return true;
}

void AttemptTombstones::Expire(MonoTime now) {
  while (Entry* entry = evictable_timers_.PopDue(now)) {
    entries_.erase(AttemptId(entry->id));
  }
  while (Entry* entry = pinned_timers_.PopDue(now)) {
    --pinned_;
    entries_.erase(AttemptId(entry->id));
  }
}

bool AttemptTombstones::EvictOldest() {
  Entry* oldest = evictable_timers_.PopDue(MonoTime::max());
  if (oldest == nullptr) {
    return false;
  }
  evicted_until_ = std::max(evicted_until_, *oldest->expires_at);
  entries_.erase(AttemptId(oldest->id));
  return true;
}

}  // namespace cassiabend
