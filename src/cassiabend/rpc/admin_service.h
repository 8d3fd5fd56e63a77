#pragma once

#include <capnp/capability.h>

#include <functional>
#include <memory>
#include <variant>
#include <vector>

#include "admin.capnp.h"
#include "cassiabend/core/config_events.h"
#include "cassiabend/rpc/admin_server.h"
#include "cassiabend/rpc/event_poster.h"
#include "cassiabend/rpc/pending_replies.h"

namespace cassiabend {

/// \brief The answer to a status request.
struct StatusFinished {
  FleetStatus status;
};

using AdminReply = std::
    variant<CommitFinished, HistoryFinished, VersionFinished, StatusFinished>;
using AdminReplies = PendingReplies<AdminReply>;

/// \brief What the RPC side shares with the Asio side.
struct AdminBridge {
  std::shared_ptr<EventPoster> poster;
  AdminCallbacks callbacks;
  /// Answers a request from the Asio thread.
  std::function<void(AdminRequestId id, AdminReply reply)> answer;
};

/// \brief State of the service; calls may outlast the server.
struct AdminState {
  std::vector<OperatorToken> operators;
  std::shared_ptr<AdminReplies> replies;
};

/// \returns The service of the operators' calls; it lives on the KJ thread.
/// \param bridge Outlives the thread.
[[nodiscard]] schema::Admin::Client NewAdminService(
    AdminBridge* bridge,
    std::shared_ptr<AdminState> state);

}  // namespace cassiabend
