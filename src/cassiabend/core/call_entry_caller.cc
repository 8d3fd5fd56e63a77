// Identifies the callers of calls by their keys.

#include <algorithm>
#include <vector>

#include "cassiabend/core/call_entry.h"
#include "cassiabend/core/teams/unknown_key.h"

namespace cassiabend {
namespace {

/// A call waits for its key to be known for at most this share (1/4) of its
/// caller's time, so that the caller can still come back.
constexpr int kKeyWaitShare = 4;
/// Most calls that wait for their keys to be known; others are judged at once.
constexpr std::size_t kMaxAwaitingKey = 256;
/// Retry delay of a refusal that ends with the next confirmation of the head.
constexpr Milliseconds kConfirmationPause{1'000};

}  // namespace

const Route* CallEntry::FindRoute(const Call& call) const {
  const CallMetadata& metadata = call.metadata;
  std::string_view team_name = metadata.team;
  if (call.snapshot->has_teams()) {
    const Team* team = TeamOf(*call.snapshot, metadata);
    team_name = team == nullptr ? std::string_view() : team->name;
  }
  return call.snapshot->FindRoute(
      {team_name, metadata.host, metadata.path, metadata.method});
}

/// \brief Finds out who makes a call. A team that was found by a key replaces
/// the stated one.
/// \returns Why the caller is not served; unset when it is.
std::optional<Refusal> CallEntry::Identify(Call* call) const {
  CallMetadata& metadata = call->metadata;
  call->caller = IdentifyCaller(*call->snapshot, *call->route, metadata);
  switch (call->caller.kind) {
    case CallerKind::kUnchecked:
      if (metadata.team.empty()) {
        metadata.team = call->route->team;
      }
      return std::nullopt;
    case CallerKind::kUnknown:
      return Refusal{NotRunReason::kUnknownKey};
    case CallerKind::kTeam:
      metadata.team = call->caller.team->name;
      break;
    case CallerKind::kAnyone:
      metadata.team.clear();
      break;
  }
  const Milliseconds limit = context_->options.keyed_call_age;
  const bool is_current =
      limit == Milliseconds(0) || call->caller.kind != CallerKind::kTeam ||
      (context_->confirmed_at &&
       context_->now.mono - *context_->confirmed_at <= limit);
  if (!is_current) {
    return Refusal{NotRunReason::kStaleConfiguration, kConfirmationPause};
  }
  return std::nullopt;
}

MonoTime CallEntry::KeyDeadline(const Call& call) const {
  const CallOptions& options = context_->options;
  const Milliseconds limit =
      call.metadata.deadline.value_or(options.default_timeout);
  return call.arrived_at +
         std::min(options.unknown_key_wait, limit / kKeyWaitShare);
}

void CallEntry::OnUnknownKey(Call* call) {
  const MonoTime now = context_->now.mono;
  const bool may_wait = awaiting_key_.size() < kMaxAwaitingKey;
  switch (JudgeUnknownKey({.now = now,
                           .arrived_at = call->arrived_at,
                           .wait_until = may_wait ? KeyDeadline(*call) : now,
                           .confirmed_at = context_->confirmed_at,
                           .age_limit = context_->options.unknown_key_age})) {
    case UnknownKeyAction::kRefuse:
      // The stated team is not known to be the caller's.
      call->metadata.team.clear();
      FinishNotRun(call, {NotRunReason::kUnknownKey});
      return;
    case UnknownKeyAction::kRefuseAsStale:
      call->metadata.team.clear();
      FinishNotRun(call,
                   {NotRunReason::kStaleConfiguration, kConfirmationPause});
      return;
    case UnknownKeyAction::kWait:
      call->state = State::kWaitingForKey;
      awaiting_key_.insert(call->id);
      Schedule(call);
      return;
  }
}

void CallEntry::OnVersionNews() {
  const std::vector<CallId> waiting(awaiting_key_.begin(), awaiting_key_.end());
  for (const CallId it : waiting) {
    StartCall(Find(it));
  }
}

}  // namespace cassiabend
