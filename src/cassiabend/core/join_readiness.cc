#include "cassiabend/core/join_readiness.h"

#include <algorithm>
#include <utility>

namespace cassiabend {
namespace {

/// Time after the start during which only a confirmation of the head makes the
/// node ready, so that it finds its peers before it counts them.
constexpr Milliseconds kPeerDiscoveryTime{2'000};

}  // namespace

void JoinReadiness::Update(const FleetContext& context, const Inputs& inputs) {
  if (!started_at_) {
    started_at_ = context.now();
  }
  const bool leaves = !IsLive(inputs.membership.self().status);
  std::string reason;
  if (leaves) {
    reason = "the node is leaving";
  } else if (!ready_) {
    reason = ReasonNotReady(context, inputs);
  }
  ready_ = reason.empty();
  if (reason_ == reason) {
    return;
  }
  reason_ = reason;
  context.Emit(ReadinessChanged{ready_, std::move(reason)});
}

std::string JoinReadiness::ReasonNotReady(const FleetContext& context,
                                          const Inputs& inputs) const {
  const bool store_unreachable = inputs.store_reachable == false;
  if (inputs.versions.newest()) {
    if (IsVersionConfirmed(context, inputs)) {
      return {};
    }
    return "no store read and too few peers vouch for the version held";
  }
  if (inputs.head_state == HeadState::kAbsent) {
    return "the store holds no configuration";
  }
  if (!inputs.joined) {
    return store_unreachable ? "the store is unreachable and no peer answers"
                             : "no configuration yet: looking for peers";
  }
  return store_unreachable
             ? "the store is unreachable and no peer has a configuration"
             : "no configuration yet: waiting for peers";
}

bool JoinReadiness::IsVersionConfirmed(const FleetContext& context,
                                       const Inputs& inputs) const {
  const std::optional<MonoTime> confirmed = inputs.freshness.confirmed_at();
  if (confirmed &&
      *confirmed + context.options().join_confirmation_age >= *started_at_) {
    return true;
  }
  if (context.now() - *started_at_ < kPeerDiscoveryTime || !inputs.joined) {
    return false;
  }
  const std::string& zone = inputs.membership.self().zone;
  std::uint32_t in_zone = 0;
  std::uint32_t elsewhere = 0;
  std::uint32_t reporting_in_zone = 0;
  std::uint32_t reporting_elsewhere = 0;
  for (const auto& [id, entry] : inputs.membership.entries()) {
    if (!IsLive(entry.member.status)) {
      continue;
    }
    const bool reports = entry.heard_at && entry.mark.number > 0;
    if (reports && !inputs.versions.Covers(entry.mark)) {
      return false;
    }
    const bool same_zone = entry.member.zone == zone;
    (same_zone ? in_zone : elsewhere) += 1;
    (same_zone ? reporting_in_zone : reporting_elsewhere) += reports ? 1 : 0;
  }
  const std::uint32_t known = in_zone > 0 ? in_zone : elsewhere;
  const std::uint32_t reporting =
      in_zone > 0 ? reporting_in_zone : reporting_elsewhere;
  return known > 0 &&
         reporting >= std::min(known, context.options().join_quorum);
}

}  // namespace cassiabend
