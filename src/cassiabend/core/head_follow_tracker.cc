#include "cassiabend/core/head_follow_tracker.h"

#include <algorithm>

namespace cassiabend {
namespace {

/// Nodes that lose their reader at the same time start to read the head at
/// random times within `follow_limit` divided by this number, so that the later
/// ones may receive the change from an earlier one.
constexpr int kReadSpreadDivisor = 3;

}  // namespace

std::optional<Milliseconds> HeadFollowTracker::AgeAt(MonoTime now) const {
  if (!followed_at_) {
    return std::nullopt;
  }
  return std::chrono::ceil<Milliseconds>(now - *followed_at_);
}

void HeadFollowTracker::OnHeartbeat(const FleetContext& context,
                                    const HeartbeatBody& heartbeat) {
  if (!heartbeat.followed_age) {
    return;
  }
  const MonoTime at = context.now() - *heartbeat.followed_age;
  followed_at_ = followed_at_ ? std::max(*followed_at_, at) : at;
}

bool HeadFollowTracker::Update(const FleetContext& context,
                               const DisseminationTree& tree,
                               bool is_following) {
  const MonoTime now = context.now();
  const Milliseconds limit = context.options().follow_limit;
  if (is_following) {
    followed_at_ = now;
  }
  const bool tree_changed = tree_version_ != tree.version();
  tree_version_ = tree.version();
  if (tree.is_root()) {
    read_head_at_.reset();
    return true;
  }
  if (tree_changed && read_head_at_ && is_following) {
    // The tree changed, so the zone may have a new reader: its heartbeats get
    // the same time to arrive.
    read_head_at_.reset();
  }
  const bool lost = !followed_at_ || now - *followed_at_ > limit;
  if (lost && !read_head_at_) {
    read_head_at_ =
        now + context.random().Jitter(limit / kReadSpreadDivisor / 2, 1.0);
  }
  if (!lost && !is_following) {
    read_head_at_.reset();
  }
  return read_head_at_ && now >= *read_head_at_;
}

}  // namespace cassiabend
