#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "cassiabend/base/clock.h"
#include "cassiabend/base/error.h"
#include "cassiabend/core/member.h"
#include "cassiabend/rpc/admin_client.h"

namespace cassiabend {

/// \brief Nodes and timeouts of a `NodeCaller`.
struct NodeCallerOptions {
  /// Addresses of the nodes' administration API, tried in this order.
  std::vector<NodeId> nodes;
  /// The operator's token.
  std::string token;
  /// Maximum duration of all requests of one caller together.
  Milliseconds timeout{30'000};
  /// Maximum duration of one request to one node.
  Milliseconds attempt_timeout{12'000};
  /// Time after which a request whose answer was lost can no longer take
  /// effect. It must exceed the longest time that a node spends on one change.
  Milliseconds settle_time{12'000};
  /// Whether an earlier run may already have sent the same change.
  bool is_resend = false;
  /// Pause before all nodes are tried again.
  Milliseconds retry_pause{200};
};

/// \brief Sends requests to the nodes that the user named, one after the other.
class NodeCaller {
 public:
  using Request = std::function<CommitResult(AdminClient& client)>;

  explicit NodeCaller(NodeCallerOptions options);

  [[nodiscard]] Milliseconds time_left() const;

  /// \brief Sends a request that changes nothing.
  /// \returns The result of the first node that answers.
  /// \throws RpcError when no node answers.
  [[nodiscard]] CommitResult Read(const Request& request);

  /// \brief Sends a change. Once a request may have taken effect without an
  /// answer that confirms it, the same request is sent again until an answer
  /// gives the outcome or the time is over.
  /// \returns The outcome; `kOutcomeUnknown` when the time is over.
  /// \throws RpcError when no node could be reached, so nothing was changed.
  [[nodiscard]] CommitResult Change(const Request& request);

 private:
  /// \brief Sends a change to one node.
  /// \returns The outcome; unset when the node's answer does not settle it.
  std::optional<CommitResult> SendChange(const NodeId& node,
                                         const Request& request);
  /// \returns Whether an answer with this code settles the outcome of the
  /// change.
  [[nodiscard]] bool IsFinal(CommitCode code) const;
  [[nodiscard]] Milliseconds AttemptTimeout() const;

  NodeCallerOptions options_;
  SystemClock clock_;
  MonoTime deadline_;
  /// When the last request with an unknown outcome ended; unset for none.
  std::optional<MonoTime> in_doubt_at_;
  /// The error of the last request that failed.
  std::optional<RpcError> last_error_;
};

}  // namespace cassiabend
