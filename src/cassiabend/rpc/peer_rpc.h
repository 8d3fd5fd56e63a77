#pragma once

#include <kj/async-io.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "cassiabend/core/fleet_events.h"
#include "cassiabend/rpc/counted_stream.h"
#include "cassiabend/rpc/event_poster.h"
#include "cassiabend/rpc/peer_connection_pool.h"
#include "cassiabend/rpc/peer_server.h"
#include "cassiabend/rpc/rpc_listener.h"

namespace cassiabend {

/// \brief TCP traffic between nodes.
struct PeerRpcCounters {
  TcpCounters all;
  /// The part of `all` that carried lists of members.
  std::atomic<std::uint64_t> members_sent{0};
  std::atomic<std::uint64_t> members_received{0};
};

/// \brief Cap'n Proto RPC between nodes, in both directions. Used on the thread
/// of a KJ event loop only.
class PeerRpc final : private kj::TaskSet::ErrorHandler {
 public:
  /// \param on_drain Called on `poster`'s thread when a peer asks to drain.
  /// \param counters Must outlive this object.
  /// \throws RpcError when the port cannot be opened.
  PeerRpc(kj::AsyncIoContext& io,
          const PeerTransportOptions& options,
          const std::shared_ptr<EventPoster>& poster,
          std::function<void()> on_drain,
          PeerRpcCounters* counters);
  PeerRpc(const PeerRpc&) = delete;
  PeerRpc& operator=(const PeerRpc&) = delete;
  ~PeerRpc();

  /// \brief Sends the reply to a peer's request.
  void SendReply(PeerRequestId id, PeerReply reply);

  void Push(const SendPush& push);
  void Pull(const SendPull& pull);
  void RequestMembers(const SendMembersRequest& request);
  /// \brief Asks a peer to drain. Failures are logged.
  void RequestDrain(const NodeId& to);

 private:
  template <typename Func, typename ReplyEvent, typename T>
  void Call(const NodeId& to, Func func, std::optional<T> ReplyEvent::*field);
  kj::Promise<void> CloseIdlePeriodically();
  void taskFailed(kj::Exception&& ex) override;

  kj::Timer& timer_;
  PeerRpcCounters* counters_;
  std::shared_ptr<EventPoster> poster_;
  std::shared_ptr<PeerReplies> replies_;
  PeerConnectionPool connections_;
  RpcListener listener_;
  std::uint32_t calls_in_flight_ = 0;
  kj::TaskSet tasks_;
};

}  // namespace cassiabend
