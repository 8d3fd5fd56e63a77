#include "cassiabend/ctl/node_caller.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace cassiabend {
namespace {

constexpr Milliseconds kMinAttemptTimeout{50};

/// \returns Whether a result with this code means that the store's head does
/// not contain the change.
bool ReportsNotCommitted(CommitCode code) noexcept {
  return code == CommitCode::kConflict || code == CommitCode::kInvalid ||
         code == CommitCode::kNotFound;
}

}  // namespace

NodeCaller::NodeCaller(NodeCallerOptions options)
    : options_(std::move(options)),
      deadline_(clock_.Now().mono + options_.timeout) {
  if (options_.is_resend) {
    in_doubt_at_ = clock_.Now().mono;
  }
}

Milliseconds NodeCaller::time_left() const {
  return std::chrono::duration_cast<Milliseconds>(deadline_ -
                                                  clock_.Now().mono);
}

CommitResult NodeCaller::Read(const Request& request) {
  for (const NodeId& it : options_.nodes) {
    try {
      AdminClient client(it.ip, it.peer_port, options_.token, AttemptTimeout());
      return request(client);
    } catch (const RpcError& ex) {
      last_error_ = ex;
    }
  }
  throw RpcError(*last_error_);
}

CommitResult NodeCaller::Change(const Request& request) {
  while (true) {
    for (const NodeId& it : options_.nodes) {
      if (std::optional<CommitResult> result = SendChange(it, request)) {
        return *std::move(result);
      }
    }
    if (!in_doubt_at_) {
      throw RpcError(*last_error_);
    }
    if (time_left() <= options_.retry_pause) {
      break;
    }
    std::this_thread::sleep_for(options_.retry_pause);
  }
  CommitResult out;
  out.code = CommitCode::kOutcomeUnknown;
  out.reason = last_error_->what();
  return out;
}

std::optional<CommitResult> NodeCaller::SendChange(const NodeId& node,
                                                   const Request& request) {
  std::optional<AdminClient> client;
  try {
    client.emplace(node.ip, node.peer_port, options_.token, AttemptTimeout());
  } catch (const RpcError& ex) {
    last_error_ = ex;
    return std::nullopt;
  }
  try {
    CommitResult result = request(*client);
    if (IsFinal(result.code)) {
      return result;
    }
    last_error_.emplace("ask the node", ToString(node), result.reason);
    if (result.code != CommitCode::kOutcomeUnknown) {
      return std::nullopt;
    }
  } catch (const RpcError& ex) {
    last_error_ = ex;
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
  // An earlier request may still be in progress on another node. Until it can
  // no longer take effect, the absence of the change from the head proves
  // nothing.
  return ReportsNotCommitted(code) &&
         clock_.Now().mono - *in_doubt_at_ >= options_.settle_time;
}

Milliseconds NodeCaller::AttemptTimeout() const {
  return std::clamp(time_left(), kMinAttemptTimeout, options_.attempt_timeout);
}

}  // namespace cassiabend
