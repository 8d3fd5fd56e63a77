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

/// \brief Whom `NodeCaller` asks, and for how long.
struct NodeCallerOptions {
  /// Administration addresses, asked in this order.
  std::vector<NodeId> nodes;
  std::string token;
  /// Longest time for everything that one caller asks.
  Milliseconds timeout{30'000};
  /// Longest time for one request to one node.
  Milliseconds attempt_timeout{12'000};
  /// Time after which a request whose answer was lost has no effect any more.
  /// It is above the longest time that a node spends on one change.
  Milliseconds settle_time{12'000};
  /// Whether an earlier caller may have sent the same change.
  bool is_resend = false;
  /// Pause before the nodes are asked again.
  Milliseconds retry_pause{200};
};

/// \brief Asks the nodes that the user named, one after the other.
class NodeCaller {
 public:
  using Request = std::function<CommitResult(AdminClient& client)>;

  explicit NodeCaller(NodeCallerOptions options);

  [[nodiscard]] Milliseconds time_left() const;

  /// \brief Asks for something that changes nothing: the first node that
  /// answers decides.
  /// \throws RpcError when none answers.
  [[nodiscard]] CommitResult Read(const Request& request);

  /// \brief Asks for a change. Once a request may have had an effect that no
  /// answer tells, the same request is sent again until an answer tells it or
  /// the time is over; then the result is `kOutcomeUnknown`.
  /// \throws RpcError when no node could be reached, so nothing was changed.
  [[nodiscard]] CommitResult Change(const Request& request);

 private:
  /// \brief Sends a change to one node.
  /// \returns The outcome; unset when the node's answer does not tell it.
  std::optional<CommitResult> SendChange(const NodeId& node,
                                         const Request& request);
  [[nodiscard]] bool IsFinal(CommitCode code) const;
  [[nodiscard]] Milliseconds AttemptTimeout() const;

  NodeCallerOptions options_;
  SystemClock clock_;
  MonoTime deadline_;
  /// When the last request ended whose effect is not known; unset for none.
  std::optional<MonoTime> in_doubt_at_;
  /// The newest failure.
  std::optional<RpcError> last_error_;
};

}  // namespace cassiabend
