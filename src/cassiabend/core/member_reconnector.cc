#include "cassiabend/core/member_reconnector.h"

namespace cassiabend {
namespace {

constexpr Milliseconds kReconnectPeriod{500};
/// Time after its departure for which a member is contacted; restarts take
/// seconds.
constexpr Seconds kReconnectTimeout{30};

}  // namespace

void MemberReconnector::Tick(const FleetContext& context,
                             const DisseminationTree& tree,
                             const Membership& membership) {
  const MonoTime now = context.now();
  if (!tree.is_root() || !IsLive(membership.self().status) || now < next_at_) {
    return;
  }
  next_at_ = now + context.random().Jitter(kReconnectPeriod, 0.2);
  for (const auto& [id, entry] : membership.entries()) {
    if (IsLive(entry.member.status) ||
        entry.member.zone != membership.self().zone ||
        now - entry.status_since > kReconnectTimeout) {
      continue;
    }
    context.Send(id, JoinBody{});
  }
}

}  // namespace cassiabend
