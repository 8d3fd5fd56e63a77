#include "cassiabend/core/queueing/team_shares.h"

#include <algorithm>

namespace cassiabend {
namespace {

/// Teams from which on those that have used no more than the floor are dropped:
/// they count as unknown ones do.
constexpr std::size_t kMaxTeams = 1'024;

}  // namespace

void TeamShares::Enter(const std::string& team) {
  if (used_.size() >= kMaxTeams) {
    std::erase_if(used_,
                  [this](const auto& it) { return it.second <= floor_; });
  }
  double& used = used_[team];
  used = std::max(used, floor_);
}

void TeamShares::Charge(const std::string& team,
                        std::uint64_t weight,
                        Nanoseconds cost,
                        double least) {
  floor_ = std::max(floor_, least);
  used_[team] = UsedBy(team) + PartOf(weight, cost);
}

void TeamShares::Refund(const std::string& team,
                        std::uint64_t weight,
                        Nanoseconds cost) {
  const auto it = used_.find(team);
  if (it != used_.end()) {
    it->second -= PartOf(weight, cost);
  }
}

double TeamShares::UsedBy(const std::string& team) const {
  const auto it = used_.find(team);
  return it == used_.end() ? floor_ : it->second;
}

}  // namespace cassiabend
