#include "cassiabend/ctl/node_caller.h"

#include <algorithm>
#include <optional>
#include <thread>
#include <utility>

#include "cassiabend/base/error.h"

namespace cassiabend {
namespace {

constexpr Milliseconds kAttemptTimeout{12'000};
constexpr Milliseconds kRepeatPause{200};
constexpr Milliseconds kShortestAttempt{50};

/// \brief Whether an answer tells the outcome of a change that an earlier
/// request may have brought about.
bool TellsOutcome(CommitCode code) noexcept {
  return code == CommitCode::kOk || code == CommitCode::kConflict ||
         code == CommitCode::kInvalid || code == CommitCode::kNotFound;
}

}  // namespace

NodeCaller::NodeCaller(std::vector<NodeId> nodes,
                       std::string token,
                       Milliseconds timeout)
    : nodes_(std::move(nodes)),
      token_(std::move(token)),
      end_(clock_.Now().mono + timeout) {}

Milliseconds NodeCaller::time_left() const {
  return std::chrono::duration_cast<Milliseconds>(end_ - clock_.Now().mono);
}

Milliseconds NodeCaller::AttemptTimeout() const {
  return std::clamp(time_left(), kShortestAttempt, kAttemptTimeout);
}

CommitResult NodeCaller::Read(const Ask& ask) {
  std::optional<RpcError> last;
  for (const NodeId& it : nodes_) {
    try {
      AdminClient client(it.ip, it.peer_port, token_, AttemptTimeout());
      return ask(client);
    } catch (const RpcError& ex) {
      last = ex;
    }
  }
  throw *last;
}

CommitResult NodeCaller::Change(const Ask& ask) {
  std::optional<RpcError> last;
  bool sent = false;
  do {
    for (const NodeId& it : nodes_) {
      std::optional<AdminClient> client;
      try {
        client.emplace(it.ip, it.peer_port, token_, AttemptTimeout());
      } catch (const RpcError& ex) {
        last = ex;
        continue;
      }
      try {
        CommitResult result = ask(*client);
        if (TellsOutcome(result.code) ||
            (!sent && result.code != CommitCode::kOutcomeUnknown)) {
          return result;
        }
        last.emplace("ask the node", ToString(it), result.reason);
      } catch (const RpcError& ex) {
        last = ex;
      }
      sent = true;
    }
    if (sent) {
      std::this_thread::sleep_for(kRepeatPause);
    }
  } while (sent && time_left() > Milliseconds(0));
  if (!sent) {
    throw *last;
  }
  CommitResult out;
  out.code = CommitCode::kOutcomeUnknown;
  out.reason = last->what();
  return out;
}

}  // namespace cassiabend
