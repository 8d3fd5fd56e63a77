#include "cassiabend/core/placement/traffic_split.h"

namespace cassiabend {

void TrafficSplit::RecordMember(const Member& member) {
  if (member.region == region_ && member.zone == zone_) {
    distances_.erase(member.id.ip);
    return;
  }
  distances_[member.id.ip] = member.region == region_
                                 ? TrafficDistance::kZone
                                 : TrafficDistance::kRegion;
}

void TrafficSplit::Add(TrafficPurpose purpose,
                       const std::string& ip,
                       const Bytes& bytes) noexcept {
  const auto found = distances_.find(ip);
  if (found == distances_.end()) {
    return;
  }
  Bytes& sum = counts_.at(static_cast<std::size_t>(purpose))
                   .at(static_cast<std::size_t>(found->second));
  sum.sent += bytes.sent;
  sum.received += bytes.received;
}

}  // namespace cassiabend
