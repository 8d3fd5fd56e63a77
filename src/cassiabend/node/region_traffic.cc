#include "cassiabend/node/region_traffic.h"

#include <utility>

#include "cassiabend/model/codec.h"

namespace cassiabend {

RegionTraffic::RegionTraffic(std::string region, TrafficSplit* split)
    : region_(std::move(region)), split_(split) {}

void RegionTraffic::Record(const FleetEffect& effect) {
  if (const auto* changed = std::get_if<MembersChanged>(&effect)) {
    RecordRegions(*changed);
    return;
  }
  const auto* push = std::get_if<SendPush>(&effect);
  if (push == nullptr || !IsCounted(push->to)) {
    return;
  }
  const std::uint64_t size = SizeOf(push->update);
  bytes_ += other_region_members_.contains(push->to) ? size : 0;
  if (split_ != nullptr) {
    split_->RecordSent(TrafficPurpose::kVersions, push->to.ip, size);
  }
}

void RegionTraffic::Record(const FleetEvent& event) {
  const auto* answered = std::get_if<PullReplied>(&event);
  if (answered == nullptr || !answered->update || !IsCounted(answered->peer)) {
    return;
  }
  const std::uint64_t size = SizeOf(*answered->update);
  bytes_ += other_region_members_.contains(answered->peer) ? size : 0;
  if (split_ != nullptr) {
    split_->RecordReceived(TrafficPurpose::kVersions, answered->peer.ip, size);
  }
}

/// \returns Whether bytes exchanged with a node are counted; sizes of others
/// are not needed, and a version may have to be encoded for its size.
bool RegionTraffic::IsCounted(const NodeId& peer) const {
  return other_region_members_.contains(peer) ||
         (split_ != nullptr && split_->IsBeyondZone(peer.ip));
}

std::uint64_t RegionTraffic::SizeOf(const ConfigUpdate& update) {
  if (const auto* delta = std::get_if<DeltaPtr>(&update.body)) {
    return (*delta)->packed().size();
  }
  const auto* full = std::get_if<RefPtr<const Snapshot>>(&update.body);
  return full == nullptr || !*full ? 0 : (*full)->packed().size();
}

void RegionTraffic::RecordRegions(const MembersChanged& changed) {
  for (const Member& it : changed.members) {
    if (split_ != nullptr) {
      split_->RecordMember(it);
    }
    if (it.region != region_) {
      other_region_members_.insert(it.id);
    }
  }
}

}  // namespace cassiabend
