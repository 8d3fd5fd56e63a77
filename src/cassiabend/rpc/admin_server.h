#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cassiabend/core/event_sink.h"
#include "cassiabend/rpc/admin_types.h"

namespace cassiabend {

struct AdminServerOptions {
  std::string ip;
  std::uint16_t port = 0;
  std::vector<OperatorToken> operators;
  std::uint32_t max_connections = 32;
  std::uint32_t max_message_bytes = 16 * 1024 * 1024;
  /// Requests that may wait for the core; further ones are refused as busy.
  std::uint32_t max_waiting = 256;
  /// Longest wait for the core's reply. Above the core's own limit, so that the
  /// core's reply, which gives the reason, arrives first.
  Milliseconds request_timeout{20'000};
};

/// \brief Access to the node's state; called on the thread of `io`.
struct AdminCallbacks {
  std::function<FleetStatus()> status;
  /// \returns The version in force; null before the first one.
  std::function<RefPtr<const Snapshot>()> current_snapshot;
  /// Asks the member `id` to drain.
  /// \returns Whether there is such a member.
  std::function<bool(const NodeId& id)> drain;
};

/// \brief Serves schema/admin.capnp. Requests are posted to the core as events;
/// their outcomes return as effects. The RPC event loop runs on its own thread.
class AdminServer {
 public:
  /// \throws RpcError when the port cannot be opened.
  AdminServer(boost::asio::io_context& io,
              const AdminServerOptions& options,
              AdminCallbacks callbacks,
              EventSink* sink);
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;
  ~AdminServer();

  [[nodiscard]] std::uint16_t port() const noexcept;

  /// \brief Replies to the requests of `CommitFinished`, `HistoryFinished` and
  /// `VersionFinished`; ignores other effects.
  void Execute(const ConfigEffect& effect);

  /// \brief Replaces the operators, for example after a reload of the settings.
  /// No request that is read after the return is authorised by the old ones.
  void SetOperators(std::vector<OperatorToken> operators);

  void Close();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace cassiabend
