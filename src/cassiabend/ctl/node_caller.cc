#include "cassiabend/ctl/node_caller.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace cassiabend {
namespace {

constexpr Milliseconds kShortestAttempt{50};

/// \brief Whether the answer says that the store's head does not hold the
/// change.
bool DeniesChange(CommitCode code) noexcept {
  return code == CommitCode::kConflict || code == CommitCode::kInvalid ||
         code == CommitCode::kNotFound;
}

}  // namespace

NodeCaller::NodeCaller(NodeCallerOptions options)
    : options_(std::move(options)), end_(clock_.Now().mono + options_.timeout) {
  if (options_.repeats) {
    in_doubt_at_ = clock_.Now().mono;
  }
}

Milliseconds NodeCaller::time_left() const {
  return std::chrono::duration_cast<Milliseconds>(end_ - clock_.Now().mono);
}

CommitResult NodeCaller::Read(const Ask& ask) {
  for (const NodeId& it : options_.nodes) {
    try {
      AdminClient client(it.ip, it.peer_port, options_.token, AttemptTimeout());
      return ask(client);
    } catch (const RpcError& ex) {
      failure_ = ex;
    }
  }
  throw RpcError(*failure_);
}

CommitResult NodeCaller::Change(const Ask& ask) {
  while (true) {
    for (const NodeId& it : options_.nodes) {
      if (std::optional<CommitResult> result = ChangeAt(it, ask)) {
        return *std::move(result);
      }
    }
    if (!in_doubt_at_) {
      throw RpcError(*failure_);
    }
    if (time_left() <= options_.repeat_pause) {
      break;
    }
    std::this_thread::sleep_for(options_.repeat_pause);
  }
  CommitResult out;
  out.code = CommitCode::kOutcomeUnknown;
  out.reason = failure_->what();
  return out;
}

std::optional<CommitResult> NodeCaller::ChangeAt(const NodeId& node,
                                                 const Ask& ask) {
  std::optional<AdminClient> client;
  try {
    client.emplace(node.ip, node.peer_port, options_.token, AttemptTimeout());
  } catch (const RpcError& ex) {
    failure_ = ex;
    return std::nullopt;
  }
  try {
    CommitResult result = ask(*client);
    if (IsFinal(result.code)) {
      return result;
    }
    failure_.emplace("ask the node", ToString(node), result.reason);
    if (result.code != CommitCode::kOutcomeUnknown) {
      return std::nullopt;
    }
  } catch (const RpcError& ex) {
    failure_ = ex;
  }
  in_doubt_at_ = clock_.Now().mono;
  return std::nullopt;
}

bool NodeCaller::IsFinal(CommitCode code) const {
  if (code == CommitCode::kOk) {
    return true;
  }
  if (!in_doubt_at_) {
    return code != CommitCode::kOutcomeUnknown;
  }
  // An earlier request may still be under way at another node. Until that is
  // over, its absence from the head proves nothing.
  return DeniesChange(code) &&
         clock_.Now().mono - *in_doubt_at_ >= options_.settle_time;
}

Milliseconds NodeCaller::AttemptTimeout() const {
  return std::clamp(time_left(), kShortestAttempt, options_.attempt_timeout);
}

}  // namespace cassiabend
