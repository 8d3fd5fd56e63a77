#include "cassiabend/core/attempt_tombstones.h"

#include <algorithm>

namespace cassiabend {

std::optional<AttemptFate> AttemptTombstones::Find(const AttemptId& id) const {
  const auto it = entries_.find(id);
  if (it == entries_.end()) {
    return std::nullopt;
  }
  return it->second.fate;
}

bool AttemptTombstones::Add(const AttemptId& id,
                            AttemptFate fate,
                            std::optional<WallTime> expires_at,
                            MonoTime keep_until) {
  const auto known = entries_.find(id);
  if (known != entries_.end()) {
    return known->second.fate == fate;
  }
  if (!expires_at && unbounded_ >= limit_ / 2) {
    return false;
  }
  if (entries_.size() >= limit_ && !MakeRoom()) {
    return false;
  }
  Entry& entry = entries_[id];
  entry.id = id;
  entry.fate = fate;
  entry.expires_at = expires_at;
  if (expires_at) {
    bounded_timers_.Schedule(&entry, keep_until);
  } else {
    ++unbounded_;
    unbounded_timers_.Schedule(&entry, keep_until);
  }
  return true;
}

void AttemptTombstones::Expire(MonoTime now) {
  while (Entry* entry = bounded_timers_.PopDue(now)) {
    entries_.erase(AttemptId(entry->id));
  }
  while (Entry* entry = unbounded_timers_.PopDue(now)) {
    --unbounded_;
    entries_.erase(AttemptId(entry->id));
  }
}

bool AttemptTombstones::MakeRoom() {
  Entry* oldest = bounded_timers_.PopDue(MonoTime::max());
  if (oldest == nullptr) {
    return false;
  }
  forgotten_until_ = std::max(forgotten_until_, *oldest->expires_at);
  entries_.erase(AttemptId(oldest->id));
  return true;
}

}  // namespace cassiabend
