#include "cassiabend/core/head_following.h"

#include <algorithm>

namespace cassiabend {
namespace {

/// Nodes that lose their reader together read the head within the limit over
/// this number, and those that come later may hear of an earlier one.
constexpr int kSpreadPart = 3;

}  // namespace

std::optional<Milliseconds> HeadFollowing::AgeAt(MonoTime now) const {
  if (!followed_at_) {
    return std::nullopt;
  }
  return std::chrono::ceil<Milliseconds>(now - *followed_at_);
}

void HeadFollowing::OnBeat(const FleetContext& context,
                           const HeartbeatBody& beat) {
  if (!beat.followed_age) {
    return;
  }
  const MonoTime at = context.now() - *beat.followed_age;
  followed_at_ = followed_at_ ? std::max(*followed_at_, at) : at;
}

bool HeadFollowing::Update(const FleetContext& context,
                           const DisseminationTree& tree,
                           bool follows) {
  const MonoTime now = context.now();
  const Milliseconds limit = context.options().follow_limit;
  if (follows) {
    followed_at_ = now;
  }
  const bool moved = tree_version_ != tree.version();
  tree_version_ = tree.version();
  if (tree.is_root()) {
    reads_from_.reset();
    return true;
  }
  if (moved && reads_from_ && follows) {
    // The zone has another reader now: it has the same time to be heard.
    reads_from_.reset();
  }
  const bool lost = !followed_at_ || now - *followed_at_ > limit;
  if (lost && !reads_from_) {
    reads_from_ = now + context.random().Jitter(limit / kSpreadPart / 2, 1.0);
  }
  if (!lost && !follows) {
    reads_from_.reset();
  }
  return reads_from_ && now >= *reads_from_;
}

}  // namespace cassiabend
