#include "cassiabend/core/teams/caller_identity.h"

namespace cassiabend {

const Team* TeamOf(const Snapshot& snapshot,
                   const CallMetadata& call) noexcept {
  return call.key ? snapshot.TeamByKey(*call.key) : nullptr;
}

CallerIdentity IdentifyCaller(const Snapshot& snapshot,
                              const Route& route,
                              const CallMetadata& call) noexcept {
  if (!snapshot.has_teams()) {
    return {};
  }
  if (route.is_public) {
    return {CallerKind::kAnyone};
  }
  if (const Team* team = TeamOf(snapshot, call)) {
    return {CallerKind::kTeam, team};
  }
  return {CallerKind::kUnknown};
}

std::uint32_t TeamPriorityOf(const CallerIdentity& caller,
                             const Route& route) noexcept {
  if (caller.kind == CallerKind::kUnchecked) {
    return 0;
  }
  return caller.team == nullptr
             ? route.priority
             : caller.team->priority.value_or(route.priority);
}

}  // namespace cassiabend
