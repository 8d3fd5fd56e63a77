#include "cassiabend/core/attempt_links.h"

#include <algorithm>

namespace cassiabend {

std::optional<AttemptId> AttemptLinks::Find(LinkId link) const {
  const auto it = attempts_.find(link);
  if (it == attempts_.end()) {
    return std::nullopt;
  }
  return it->second;
}

bool AttemptLinks::Add(Attempt* attempt, const AttemptLink& link) {
  const auto known = std::ranges::find(attempt->links, link.requested_id,
                                       &AttemptLink::requested_id);
  if (known != attempt->links.end()) {
    attempts_.erase(known->link);
    *known = link;
  } else if (MakeRoom(attempt)) {
    attempt->links.push_back(link);
  } else {
    return false;
  }
  attempt->orphan_due = MonoTime::max();
  attempts_[link.link] = attempt->request.id;
  return true;
}

void AttemptLinks::Remove(Attempt* attempt, LinkId link) {
  const auto it = std::ranges::find(attempt->links, link, &AttemptLink::link);
  if (it == attempt->links.end()) {
    return;
  }
  attempt->links.erase(it);
  attempts_.erase(link);
}

bool AttemptLinks::MakeRoom(Attempt* attempt) {
  if (attempt->links.size() < kMaxLinksPerAttempt) {
    return true;
  }
  const auto it = std::ranges::find(attempt->links, true, &AttemptLink::bound);
  if (it == attempt->links.end()) {
    return false;
  }
  Remove(attempt, it->link);
  return true;
}

void AttemptLinks::RemoveAll(Attempt* attempt) {
  for (const AttemptLink& it : attempt->links) {
    attempts_.erase(it.link);
  }
  attempt->links.clear();
}

}  // namespace cassiabend
