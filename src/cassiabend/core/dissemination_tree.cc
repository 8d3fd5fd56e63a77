#include "cassiabend/core/dissemination_tree.h"

#include <algorithm>

namespace cassiabend {
namespace {

struct Ranked {
  bool is_reader = false;
  std::uint64_t rank = 0;
  NodeId id;
};

/// \returns Up to `count` roots out of the members in `by_rank`: readers first,
/// then the others.
std::vector<NodeId> PickRoots(const std::vector<Ranked>& by_rank,
                              std::size_t count) {
  std::vector<NodeId> roots;
  for (const bool readers : {true, false}) {
    for (const Ranked& it : by_rank) {
      if (roots.size() < count && it.is_reader == readers) {
        roots.push_back(it.id);
      }
    }
  }
  return roots;
}

Ranked RankOf(const Member& member, std::uint64_t rank) {
  return {member.is_reader, rank, member.id};
}

}  // namespace

void DisseminationTree::Refresh(const FleetOptions& options,
                                const Membership& membership) {
  if (version_ == membership.view_version()) {
    return;
  }
  version_ = membership.view_version();
  const Member& self = membership.self();
  zone_ = self.zone;
  std::map<std::string, std::vector<Ranked>> zones;
  if (IsLive(self.status)) {
    const std::uint64_t rank = RendezvousWeight(self.zone, ToString(self.id));
    zones[self.zone].push_back(RankOf(self, rank));
  }
  for (const auto& [id, entry] : membership.entries()) {
    if (IsLive(entry.member.status)) {
      zones[entry.member.zone].push_back(RankOf(entry.member, entry.rank));
    }
  }
  roots_.clear();
  for (auto& [zone, ranked] : zones) {
    std::ranges::sort(ranked, std::greater<>(), &Ranked::rank);
    roots_[zone] = PickRoots(ranked, options.readers_per_zone);
  }
  std::vector<NodeId> by_rank;
  for (const Ranked& it : zones[zone_]) {
    by_rank.push_back(it.id);
  }
  ComputeOwnPosition(options, membership, by_rank);
  ComputeHeadPlace(self.id);
}

bool DisseminationTree::IsRoot(const NodeId& id) const noexcept {
  return std::ranges::any_of(roots_, [&id](const auto& it) {
    return std::ranges::find(it.second, id) != it.second.end();
  });
}

void DisseminationTree::ComputeHeadPlace(const NodeId& self) {
  head_place_.reset();
  if (!self_is_root_) {
    return;
  }
  const std::uint64_t own = HeadRank(self);
  std::size_t place = 0;
  for (const auto& [zone, roots] : roots_) {
    for (const NodeId& id : roots) {
      place += HeadRank(id) > own ? 1 : 0;
    }
  }
  head_place_ = place;
}

const std::vector<NodeId>& DisseminationTree::RootsOf(
    const std::string& zone) const noexcept {
  static const std::vector<NodeId> none;
  const auto it = roots_.find(zone);
  return it == roots_.end() ? none : it->second;
}

void DisseminationTree::ComputeOwnPosition(const FleetOptions& options,
                                           const Membership& membership,
                                           const std::vector<NodeId>& by_rank) {
  const NodeId& self = membership.self().id;
  std::vector<NodeId> order = roots();
  const std::size_t root_count = order.size();
  for (const NodeId& id : by_rank) {
    const auto end = order.begin() + static_cast<std::ptrdiff_t>(root_count);
    if (std::find(order.begin(), end, id) == end) {
      order.push_back(id);
    }
  }
  const auto position =
      static_cast<std::size_t>(std::ranges::find(order, self) - order.begin());
  const auto rank = static_cast<std::size_t>(std::ranges::find(by_rank, self) -
                                             by_rank.begin());
  self_is_root_ = position < root_count;
  is_reader_candidate_ =
      rank < by_rank.size() && rank < options.reader_candidates;
  parent_.reset();
  if (position >= root_count && position < order.size()) {
    const std::size_t fan_out = std::max<std::uint32_t>(options.fan_out, 1);
    parent_ = order[(position - root_count) / fan_out];
  }
  other_readers_ = 0;
  for (const auto& [id, entry] : membership.entries()) {
    other_readers_ += entry.member.is_reader && entry.member.zone == zone_ &&
                              IsLive(entry.member.status)
                          ? 1
                          : 0;
  }
}

}  // namespace cassiabend
