#include "cassiabend/core/upstream_identity.h"

#include <utility>

namespace cassiabend {

HeartbeatKind UpstreamIdentity::OnHeartbeat(
    MonoTime now,
    Milliseconds silence,
    const UpstreamHeartbeat& heartbeat) {
  // An instance id that was learned by a probe has no start time yet.
  const bool same_start = heartbeat.instance == instance_ &&
                          (!started_at_ || !heartbeat.started_at ||
                           *started_at_ == *heartbeat.started_at);
  if (same_start) {
    if (sequence_ && heartbeat.sequence && *heartbeat.sequence <= *sequence_) {
      return HeartbeatKind::kStale;
    }
  } else if (IsEarlierStart(now, silence, heartbeat)) {
    return HeartbeatKind::kStale;
  }
  if (!same_start) {
    started_at_.reset();
    sequence_.reset();
  }
  instance_ = heartbeat.instance;
  started_at_ = heartbeat.started_at ? heartbeat.started_at : started_at_;
  sequence_ = heartbeat.sequence ? heartbeat.sequence : sequence_;
  last_heartbeat_at_ = now;
  return same_start ? HeartbeatKind::kSameStart : HeartbeatKind::kNewStart;
}

bool UpstreamIdentity::IsEarlierStart(
    MonoTime now,
    Milliseconds silence,
    const UpstreamHeartbeat& heartbeat) const {
  if (instance_.empty()) {
    return false;
  }
  if (heartbeat.phase == UpstreamPhase::kLeft) {
    // A start that was never known has nothing to withdraw.
    return true;
  }
  const bool earlier = started_at_ && heartbeat.started_at &&
                       *heartbeat.started_at < *started_at_;
  return earlier && last_heartbeat_at_ && now - *last_heartbeat_at_ < silence;
}

void UpstreamIdentity::SetInstance(MonoTime now, std::string instance) {
  if (instance == instance_) {
    return;
  }
  Reset();
  instance_ = std::move(instance);
  last_heartbeat_at_ = now;
}

void UpstreamIdentity::Reset() noexcept {
  instance_.clear();
  started_at_.reset();
  sequence_.reset();
  last_heartbeat_at_.reset();
}

}  // namespace cassiabend
