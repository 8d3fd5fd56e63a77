#include "cassiabend/core/return_greeter.h"

namespace cassiabend {
namespace {

constexpr Milliseconds kGreetPeriod{500};
/// Time after its departure for which a member is contacted; restarts take
/// seconds.
constexpr Seconds kGreetFor{30};

}  // namespace

void ReturnGreeter::Tick(const FleetContext& context,
                         const DisseminationTree& tree,
                         const Membership& membership) {
  const MonoTime now = context.now();
  if (!tree.is_root() || !IsLive(membership.self().status) || now < next_at_) {
    return;
  }
  next_at_ = now + context.random().Jitter(kGreetPeriod, 0.2);
  for (const auto& [id, entry] : membership.entries()) {
    if (IsLive(entry.member.status) ||
        entry.member.zone != membership.self().zone ||
        now - entry.status_since > kGreetFor) {
      continue;
    }
    context.Send(id, JoinBody{});
  }
}

}  // namespace cassiabend
