#include "cassiabend/core/member_sync.h"

#include <algorithm>

namespace cassiabend {

void MemberSync::OnDigest(const FleetContext& context,
                          const NodeId& peer,
                          bool equal) {
  if (equal) {
    mismatches_ = 0;
    pause_ = kFirstPause;
    return;
  }
  ++mismatches_;
  if (mismatches_ < kMismatches || context.now() < next_request_at_) {
    return;
  }
  context.Emit(SendMembersRequest{peer});
  mismatches_ = 0;
  next_request_at_ = context.now() + context.random().Jitter(pause_, 0.2);
  pause_ = std::min(pause_ * 2, kLongestPause);
}

}  // namespace cassiabend
