#include "cassiabend/rpc/peer_connection_pool.h"

#include <capnp/message.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <boost/asio/ip/address.hpp>

#include "cassiabend/rpc/rpc_listener.h"

namespace cassiabend {
namespace {

/// A connection that has been idle for longer is not reused: it may have been
/// lost without notice, for example with a host that has since been replaced.
constexpr auto kMaxIdleTime = 2 * kj::SECONDS;
/// TCP_USER_TIMEOUT in milliseconds: a connection whose data stays
/// unacknowledged for longer is closed. Well below the time that the platform
/// allows for a change, so that a retry still fits in.
constexpr int kTcpUserTimeoutMs = 600;

/// \brief Converts the address of a peer to KJ's form. Host names are refused,
/// as KJ would resolve them.
kj::Promise<kj::Own<kj::NetworkAddress>> ParseAddress(kj::AsyncIoContext& io,
                                                      const NodeId& to) {
  boost::system::error_code ec;
  boost::asio::ip::make_address(to.ip, ec);
  if (ec) {
    return KJ_EXCEPTION(FAILED, "not an IP address", to.ip.c_str());
  }
  return io.provider->getNetwork().parseAddress(to.ip.c_str(), to.peer_port);
}

}  // namespace

PeerConnection::PeerConnection(kj::AsyncIoContext& io,
                               const NodeId& to,
                               std::uint32_t max_message_bytes,
                               TcpCounters* counters)
    : max_message_bytes_(max_message_bytes),
      counters_(counters),
      connected_(ParseAddress(io, to)
                     .then([](kj::Own<kj::NetworkAddress>&& address) {
                       auto connected = address->connect();
                       return connected.attach(kj::mv(address));
                     })
                     .then([this](kj::Own<kj::AsyncIoStream>&& stream) {
                       Start(kj::mv(stream));
                     })
                     .fork()) {}

void PeerConnection::Start(kj::Own<kj::AsyncIoStream> stream) {
  stream->setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, &kTcpUserTimeoutMs,
                     sizeof(kTcpUserTimeoutMs));
  stream_ = kj::heap<CountedStream>(kj::mv(stream), counters_);
  network_ = kj::heap<capnp::TwoPartyVatNetwork>(
      *stream_, capnp::rpc::twoparty::Side::CLIENT,
      ReaderLimits(max_message_bytes_));
  auto& system = system_.emplace(capnp::makeRpcClient(*network_));
  capnp::MallocMessageBuilder message;
  auto server = message.initRoot<capnp::rpc::twoparty::VatId>();
  server.setSide(capnp::rpc::twoparty::Side::SERVER);
  peer_ = system.bootstrap(server).castAs<schema::Peer>();
}

PeerConnectionPool::PeerConnectionPool(kj::AsyncIoContext& io,
                                       const PeerTransportOptions& options,
                                       TcpCounters* counters)
    : io_(io),
      timer_(io.provider->getTimer()),
      timeout_(options.rpc_timeout),
      max_connections_(options.max_connections),
      max_message_bytes_(options.max_message_bytes),
      counters_(counters) {}

void PeerConnectionPool::CloseIdle() {
  const kj::TimePoint now = timer_.now();
  std::erase_if(connections_, [now](const auto& it) {
    return now - it.second->last_used() > kMaxIdleTime;
  });
}

kj::Own<PeerConnection> PeerConnectionPool::GetConnection(const NodeId& to) {
  auto it = connections_.find(to);
  if (it != connections_.end() &&
      timer_.now() - it->second->last_used() > kMaxIdleTime) {
    connections_.erase(it);
    it = connections_.end();
  }
  if (it == connections_.end()) {
    if (connections_.size() >= max_connections_) {
      EvictLeastRecentlyUsed();
    }
    it = connections_
             .emplace(to, kj::refcounted<PeerConnection>(
                              io_, to, max_message_bytes_, counters_))
             .first;
  }
  it->second->MarkUsed(timer_.now());
  return kj::addRef(*it->second);
}

void PeerConnectionPool::Discard(const NodeId& to,
                                 const PeerConnection* connection) {
  const auto it = connections_.find(to);
  if (it != connections_.end() && it->second.get() == connection) {
    connections_.erase(it);
  }
}

void PeerConnectionPool::EvictLeastRecentlyUsed() {
  auto oldest = connections_.begin();
  for (auto it = connections_.begin(); it != connections_.end(); ++it) {
    if (it->second->last_used() < oldest->second->last_used()) {
      oldest = it;
    }
  }
  if (oldest != connections_.end()) {
    connections_.erase(oldest);
  }
}

}  // namespace cassiabend
