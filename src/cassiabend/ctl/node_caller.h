#pragma once

#include <functional>
#include <string>
#include <vector>

#include "cassiabend/base/clock.h"
#include "cassiabend/core/member.h"
#include "cassiabend/rpc/admin_client.h"

namespace cassiabend {

/// \brief Asks the nodes that the user named, one after the other.
class NodeCaller {
 public:
  using Ask = std::function<CommitResult(AdminClient& client)>;

  /// \param timeout Longest time for everything that this object asks.
  NodeCaller(std::vector<NodeId> nodes,
             std::string token,
             Milliseconds timeout);

  /// \brief Asks for something that changes nothing: the first node that
  /// answers decides.
  /// \throws RpcError when none answers.
  [[nodiscard]] CommitResult Read(const Ask& ask);

  /// \brief Asks for a change. Once a request may have reached a node, the
  /// same request is sent again until an answer tells the outcome or the time
  /// is over: then the result is `kOutcomeUnknown`.
  /// \throws RpcError when no node could be reached, so nothing was changed.
  [[nodiscard]] CommitResult Change(const Ask& ask);

  [[nodiscard]] Milliseconds time_left() const;

 private:
  [[nodiscard]] Milliseconds AttemptTimeout() const;

  std::vector<NodeId> nodes_;
  std::string token_;
  SystemClock clock_;
  MonoTime end_;
};

}  // namespace cassiabend
