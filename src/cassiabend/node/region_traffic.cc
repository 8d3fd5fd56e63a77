#include "cassiabend/node/region_traffic.h"

#include <utility>

#include "cassiabend/model/codec.h"

namespace cassiabend {

RegionTraffic::RegionTraffic(std::string region) : region_(std::move(region)) {}

void RegionTraffic::Record(const FleetEffect& effect) {
  if (const auto* changed = std::get_if<MembersChanged>(&effect)) {
    RecordRegions(*changed);
    return;
  }
  const auto* push = std::get_if<SendPush>(&effect);
  if (push != nullptr && other_region_members_.contains(push->to)) {
    bytes_ += SizeOf(push->update);
  }
}

void RegionTraffic::Record(const FleetEvent& event) {
  const auto* answered = std::get_if<PullReplied>(&event);
  if (answered != nullptr && answered->update &&
      other_region_members_.contains(answered->peer)) {
    bytes_ += SizeOf(*answered->update);
  }
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
    if (it.region != region_) {
      other_region_members_.insert(it.id);
    }
  }
}

}  // namespace cassiabend
