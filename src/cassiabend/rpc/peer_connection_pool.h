#pragma once

#include <capnp/rpc-twoparty.h>
#include <capnp/rpc.h>
#include <kj/async-io.h>
#include <kj/refcount.h>
#include <kj/timer.h>

#include <cstdint>
#include <map>
#include <memory>
#include <utility>

#include "cassiabend/core/member.h"
#include "cassiabend/rpc/counted_stream.h"
#include "cassiabend/rpc/peer_transport.h"
#include "mesh.capnp.h"

namespace cassiabend {

/// \brief An outgoing RPC connection to one peer.
class PeerConnection final : public kj::Refcounted {
 public:
  PeerConnection(kj::AsyncIoContext& io,
                 const NodeId& to,
                 std::uint32_t max_message_bytes,
                 TcpCounters* counters);

  /// \returns A promise that resolves when `peer()` may be used.
  [[nodiscard]] kj::Promise<void> WhenConnected() {
    return connected_.addBranch();
  }
  [[nodiscard]] schema::Peer::Client& peer() {
    return KJ_ASSERT_NONNULL(peer_);
  }
  [[nodiscard]] kj::TimePoint last_used() const noexcept { return last_used_; }
  void MarkUsed(kj::TimePoint now) noexcept { last_used_ = now; }

 private:
  void Start(kj::Own<kj::AsyncIoStream> stream);

  std::uint32_t max_message_bytes_;
  TcpCounters* counters_;
  kj::Own<CountedStream> stream_;
  kj::Own<capnp::TwoPartyVatNetwork> network_;
  kj::Maybe<capnp::RpcSystem<capnp::rpc::twoparty::VatId>> system_;
  kj::Maybe<schema::Peer::Client> peer_;
  kj::TimePoint last_used_ = kj::origin<kj::TimePoint>();
  kj::ForkedPromise<void> connected_;
};

/// \brief Outgoing connections, at most one per peer. A connection on which a
/// call fails or times out is not reused: the next call opens a new one. When
/// the limit is reached, the least recently used one is closed. Used on the
/// thread of a KJ event loop only.
class PeerConnectionPool {
 public:
  /// \param counters Must outlive this object.
  PeerConnectionPool(kj::AsyncIoContext& io,
                     const PeerTransportOptions& options,
                     TcpCounters* counters);

  /// \brief Calls a peer.
  /// \param func Sends the call: takes a `schema::Peer::Client&`, returns a
  /// promise.
  /// \returns The promise of `func`; it fails when the call exceeds the
  /// timeout.
  template <typename Func>
  auto Call(const NodeId& to, Func func) {
    kj::Own<PeerConnection> connection = GetConnection(to);
    PeerConnection* const used = connection.get();
    auto call = connection->WhenConnected().then(
        [used, func = kj::mv(func)]() mutable { return func(used->peer()); });
    using Promise = decltype(call);
    return timer_
        .timeoutAfter(timeout_.count() * kj::MILLISECONDS, kj::mv(call))
        .catch_([this, to, used](kj::Exception&& ex) -> Promise {
          Discard(to, used);
          return kj::mv(ex);
        })
        .attach(kj::mv(connection));
  }

  /// \brief Closes connections that have been idle for longer than the limit.
  void CloseIdle();

 private:
  kj::Own<PeerConnection> GetConnection(const NodeId& to);
  void Discard(const NodeId& to, const PeerConnection* connection);
  void EvictLeastRecentlyUsed();

  kj::AsyncIoContext& io_;
  kj::Timer& timer_;
  Milliseconds timeout_;
  std::uint32_t max_connections_;
  std::uint32_t max_message_bytes_;
  TcpCounters* counters_;
  std::map<NodeId, kj::Own<PeerConnection>> connections_;
};

}  // namespace cassiabend
