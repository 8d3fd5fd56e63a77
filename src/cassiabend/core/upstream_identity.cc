#include "cassiabend/core/upstream_identity.h"

#include <utility>

namespace cassiabend {

ReportNews UpstreamIdentity::Take(MonoTime now,
                                  Milliseconds silence,
                                  const UpstreamReport& report) {
  // An instance id that was learned by a probe has no start time yet.
  const bool same_start =
      report.instance == instance_ && (!started_at_ || !report.started_at ||
                                       *started_at_ == *report.started_at);
  if (same_start) {
    if (sequence_ && report.sequence && *report.sequence <= *sequence_) {
      return ReportNews::kStale;
    }
  } else if (IsEarlierStart(now, silence, report)) {
    return ReportNews::kStale;
  }
  if (!same_start) {
    started_at_.reset();
    sequence_.reset();
  }
  instance_ = report.instance;
  started_at_ = report.started_at ? report.started_at : started_at_;
  sequence_ = report.sequence ? report.sequence : sequence_;
  heard_at_ = now;
  return same_start ? ReportNews::kSameStart : ReportNews::kNewStart;
}

bool UpstreamIdentity::IsEarlierStart(MonoTime now,
                                      Milliseconds silence,
                                      const UpstreamReport& report) const {
  if (instance_.empty()) {
    return false;
  }
  if (report.phase == UpstreamPhase::kLeft) {
    // A start that was never known has nothing to withdraw.
    return true;
  }
  const bool earlier =
      started_at_ && report.started_at && *report.started_at < *started_at_;
  return earlier && heard_at_ && now - *heard_at_ < silence;
}

void UpstreamIdentity::Learn(MonoTime now, std::string instance) {
  if (instance == instance_) {
    return;
  }
  Forget();
  instance_ = std::move(instance);
  heard_at_ = now;
}

void UpstreamIdentity::Forget() noexcept {
  instance_.clear();
  started_at_.reset();
  sequence_.reset();
  heard_at_.reset();
}

}  // namespace cassiabend
