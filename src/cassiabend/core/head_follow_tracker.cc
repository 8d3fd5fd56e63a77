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
                                    const HeartbeatBody& heartbeat,
                                    bool is_from_reader) {
  if (!heartbeat.followed_age) {
    return;
  }
  followed_at_ = std::max(
      followed_at_,
      std::optional<MonoTime>(context.now() - *heartbeat.followed_age));
  if (is_from_reader &&
      *heartbeat.followed_age <= context.options().follow_limit) {
    witness_at_ = context.now();
  }
}

bool HeadFollowTracker::Update(const FleetContext& context,
                               const DisseminationTree& tree,
                               bool is_reading,
                               std::optional<MonoTime> last_read_at,
                               bool has_other_readers) {
  const MonoTime now = context.now();
  const Milliseconds limit = context.options().follow_limit;
  has_other_readers_ = has_other_readers;
  if (is_reading) {
    const std::optional<MonoTime> shown = std::max(last_read_at, witness_at_);
    followed_at_ = std::max(followed_at_, has_other_readers ? shown : now);
  }
  const bool tree_changed = tree_version_ != tree.version();
  tree_version_ = tree.version();
  if (tree.is_root()) {
    read_head_at_.reset();
    return true;
  }
  if (tree_changed && read_head_at_ && is_reading) {
    // The tree changed, so the zone may have a new reader: its heartbeats get
    // the same time to arrive.
    read_head_at_.reset();
    followed_at_ = now;
  }
  const bool lost = !followed_at_ || now - *followed_at_ > limit;
  if (lost && !read_head_at_) {
    read_head_at_ =
        now + context.random().Jitter(limit / kReadSpreadDivisor / 2, 1.0);
  }
  if (!lost && !is_reading) {
    read_head_at_.reset();
  }
  return read_head_at_ && now >= *read_head_at_;
}

std::optional<MonoTime> HeadFollowTracker::VerifyAloneAt(
    const FleetContext& context,
    std::optional<MonoTime> last_read_at) const {
  if (!has_other_readers_) {
    return std::nullopt;
  }
  const MonoTime shown =
      std::max(last_read_at, witness_at_).value_or(MonoTime{});
  return shown + context.options().follow_limit / 2;
}

}  // namespace cassiabend
