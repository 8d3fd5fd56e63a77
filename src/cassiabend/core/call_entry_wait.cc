#include <algorithm>
#include <vector>

#include "cassiabend/core/call_entry.h"

namespace cassiabend {
namespace {

/// A call waits for its node to be ready for at most this share (1/4) of its
/// caller's time, so that the caller can still try another node.
constexpr int kReadinessShare = 4;

}  // namespace

/// \returns Whether a pipelined call must wait for the earlier requests of its
/// connection. If one of their answers closes the connection, the requests
/// behind it count as unread and the caller sends them again, even those that
/// may run only once.
bool CallEntry::MustWaitTurn(const Call& call) {
  return call.route->repeat == RepeatPolicy::kOnce &&
         call.metadata.order_key.empty();
}

void CallEntry::Reduce(const CallTurn& event) {
  Call* call = Find(event.call);
  if (call == nullptr) {
    return;
  }
  call->waits_turn = false;
  if (call->state == State::kWaitingForTurn) {
    SendFirstAttempt(call);
  }
}

/// \returns Whether a call waits until this node is ready. When most hosts
/// restart one after another, callers have no other node to turn to, and a
/// process that has just started takes a fraction of a second to get its first
/// configuration version.
bool CallEntry::MayAwaitReadiness(const Call& call) const {
  return !context_->ready && !context_->draining &&
         context_->now.mono < ReadinessDeadline(call);
}

/// \returns The time until which a call waits for this node to be ready.
MonoTime CallEntry::ReadinessDeadline(const Call& call) const {
  const Milliseconds limit =
      call.metadata.deadline.value_or(context_->options.default_timeout);
  return std::min(context_->started_at + context_->options.start_wait,
                  call.arrived_at + limit / kReadinessShare);
}

void CallEntry::OnReady() {
  std::vector<Call*> waiting;
  for (const auto& [id, call] : calls_) {
    if (call->state == State::kWaitingForReadiness) {
      waiting.push_back(call.get());
    }
  }
  std::ranges::sort(waiting, {}, &Call::id);
  for (Call* it : waiting) {
    StartCall(it);
  }
}

}  // namespace cassiabend
