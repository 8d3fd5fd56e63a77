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

/// \brief The reply to a status request.
struct StatusFinished {
  FleetStatus status;
};

using AdminReply = std::
    variant<CommitFinished, HistoryFinished, VersionFinished, StatusFinished>;
using AdminReplies = PendingReplies<AdminReply>;

/// \brief Objects that the KJ thread and the Asio thread share.
struct AdminBridge {
  std::shared_ptr<EventPoster> poster;
  AdminCallbacks callbacks;
  /// Sends the reply to a request; called on the Asio thread.
  std::function<void(AdminRequestId id, AdminReply reply)> send_reply;
};

/// \brief State of the service on the KJ thread. Shared with the calls, which
/// may outlive the server.
struct AdminState {
  std::vector<OperatorToken> operators;
  std::shared_ptr<AdminReplies> replies;
};

/// \param bridge Must outlive the KJ thread.
/// \returns The implementation of schema/admin.capnp; used on the KJ thread.
[[nodiscard]] schema::Admin::Client NewAdminService(
    AdminBridge* bridge,
    std::shared_ptr<AdminState> state);

}  // namespace cassiabend
