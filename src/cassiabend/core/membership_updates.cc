#include "cassiabend/core/membership_updates.h"

#include <vector>

namespace cassiabend {
namespace {

/// Encoded size of the fixed part of a member and of the pointers and padding
/// of its four text fields.
constexpr std::size_t kMemberBaseBytes = 80;

}  // namespace

std::size_t EncodedBytesBound(const Member& member) noexcept {
  return kMemberBaseBytes + member.id.ip.size() + member.region.size() +
         member.zone.size() + member.service.size();
}

void UpdateQueue::Add(const NodeId& id) {
  Remove(id);
  order_.emplace(0, id);
  sends_.emplace(id, 0);
}

void UpdateQueue::Remove(const NodeId& id) {
  const auto it = sends_.find(id);
  if (it == sends_.end()) {
    return;
  }
  order_.erase({it->second, id});
  sends_.erase(it);
}

void UpdateQueue::Clear() noexcept {
  order_.clear();
  sends_.clear();
}

void UpdateQueue::SelectForSend(
    std::uint32_t max_sends,
    const std::function<bool(const NodeId&)>& fits) {
  std::vector<NodeId> selected;
  for (const auto& [sends, id] : order_) {
    if (!fits(id)) {
      break;
    }
    selected.push_back(id);
  }
  for (const NodeId& id : selected) {
    const auto it = sends_.find(id);
    order_.erase({it->second, id});
    if (++it->second >= max_sends) {
      sends_.erase(it);
      continue;
    }
    order_.emplace(it->second, id);
  }
}

}  // namespace cassiabend
