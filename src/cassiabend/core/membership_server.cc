#include "cassiabend/core/membership_server.h"

#include <algorithm>

namespace cassiabend {
namespace {

constexpr Milliseconds kListPause{200};
constexpr std::int64_t kListBurst = 5;
constexpr Milliseconds kIntroductionPause{20};
constexpr std::int64_t kIntroductionBurst = 20;
/// Members of the zone in an answer beyond the rate limit; other zones' roots
/// are added.
constexpr std::size_t kShortListSize = 12;

}  // namespace

std::vector<Member> MembershipServer::Answer(const FleetContext& context,
                                             const Membership& membership,
                                             const DisseminationTree& tree) {
  if (TryAcquireToken(context.now(), kListPause, kListBurst,
                      &lists_busy_until_)) {
    return membership.AllRecords();
  }
  std::vector<NodeId> ids = membership.LiveInZone();
  while (ids.size() > kShortListSize) {
    std::swap(ids[context.random().Below(ids.size())], ids.back());
    ids.pop_back();
  }
  for (const auto& [zone, roots] : tree.all_roots()) {
    ids.insert(ids.end(), roots.begin(), roots.end());
  }
  std::vector<Member> members{membership.self()};
  for (const NodeId& id : ids) {
    if (const MemberEntry* entry = membership.Find(id)) {
      members.push_back(entry->member);
    }
  }
  return members;
}

bool MembershipServer::AllowIntroductionRequest(const FleetContext& context) {
  return TryAcquireToken(context.now(), kIntroductionPause, kIntroductionBurst,
                         &introductions_busy_until_);
}

bool MembershipServer::TryAcquireToken(MonoTime now,
                                       Milliseconds pause,
                                       std::int64_t burst,
                                       MonoTime* busy_until) {
  *busy_until = std::max(*busy_until, now);
  if (*busy_until - now >= pause * burst) {
    return false;
  }
  *busy_until += pause;
  return true;
}

}  // namespace cassiabend
