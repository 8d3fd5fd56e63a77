#include "cassiabend/core/member_sync.h"

#include <algorithm>

namespace cassiabend {

void MemberSync::OnDigest(const FleetContext& context,
                          const NodeId& peer,
                          bool equal) {
  if (equal) {
    const bool differed = differing_.erase(peer) != 0;
    pause_ = differed ? kInitialPause : pause_;
    return;
  }
  if (differing_.size() >= kMaxPeers) {
    differing_.clear();
  }
  const auto [it, inserted] = differing_.try_emplace(peer);
  Difference& difference = it->second;
  if (inserted) {
    difference.since = context.now();
  }
  ++difference.datagrams;
  if (difference.datagrams < kMinDatagrams ||
      context.now() - difference.since < kMinDifferenceAge ||
      context.now() < next_request_at_) {
    return;
  }
  context.Emit(SendMembersRequest{peer});
  differing_.erase(it);
  next_request_at_ = context.now() + context.random().Jitter(pause_, 0.2);
  pause_ = std::min(pause_ * 2, kMaxPause);
}

}  // namespace cassiabend
