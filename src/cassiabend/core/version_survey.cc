#include "cassiabend/core/version_survey.h"

#include <iterator>

namespace cassiabend {

void VersionSurvey::Start(const FleetContext& context) {
  ends_at_ = context.now() + kSurveyTime;
}

void VersionSurvey::Tick(const FleetContext& context,
                         const Membership& membership,
                         const VersionMark& mark) {
  if (!ends_at_ || context.now() >= *ends_at_) {
    ends_at_.reset();
    return;
  }
  const auto& entries = membership.entries();
  auto it = entries.upper_bound(cursor_);
  int pings = 0;
  for (std::size_t n = 0; n < entries.size() && pings < kPingsPerTick; ++n) {
    if (it == entries.end()) {
      it = entries.begin();
    }
    cursor_ = it->first;
    if (IsBehind(it->second, mark)) {
      context.Send(it->first, PingBody{0});
      ++pings;
    }
    std::advance(it, 1);
  }
}

bool VersionSurvey::IsBehind(const MemberEntry& entry,
                             const VersionMark& mark) {
  return IsLive(entry.member.status) && entry.mark.number < mark.number;
}

}  // namespace cassiabend
