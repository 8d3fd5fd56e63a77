#include "cassiabend/rpc/peer_links.h"

#include <capnp/message.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <boost/asio/ip/address.hpp>

#include "cassiabend/rpc/rpc_listener.h"

namespace cassiabend {
namespace {

/// A connection that has been idle for longer is not reused: it may have been
/// lost without notice, for example with a host that has since been replaced.
constexpr auto kIdleLimit = 2 * kj::SECONDS;
/// TCP_USER_TIMEOUT in milliseconds: a connection whose data stays
/// unacknowledged for longer is closed. Well below the time that the platform
/// allows for a change, so that a retry still fits in.
constexpr int kUnacknowledgedLimit = 600;

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

PeerLink::PeerLink(kj::AsyncIoContext& io,
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

void PeerLink::Start(kj::Own<kj::AsyncIoStream> stream) {
  stream->setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, &kUnacknowledgedLimit,
                     sizeof(kUnacknowledgedLimit));
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

PeerLinks::PeerLinks(kj::AsyncIoContext& io,
                     const PeerTransportOptions& options,
                     TcpCounters* counters)
    : io_(io),
      timer_(io.provider->getTimer()),
      timeout_(options.rpc_timeout),
      max_links_(options.max_connections),
      max_message_bytes_(options.max_message_bytes),
      counters_(counters) {}

void PeerLinks::CloseIdle() {
  const kj::TimePoint now = timer_.now();
  std::erase_if(links_, [now](const auto& it) {
    return now - it.second->last_used() > kIdleLimit;
  });
}

kj::Own<PeerLink> PeerLinks::LinkTo(const NodeId& to) {
  auto it = links_.find(to);
  if (it != links_.end() &&
      timer_.now() - it->second->last_used() > kIdleLimit) {
    links_.erase(it);
    it = links_.end();
  }
  if (it == links_.end()) {
    if (links_.size() >= max_links_) {
      DropLeastRecentlyUsed();
    }
    it = links_
             .emplace(to, kj::refcounted<PeerLink>(io_, to, max_message_bytes_,
                                                   counters_))
             .first;
  }
  it->second->MarkUsed(timer_.now());
  return kj::addRef(*it->second);
}

void PeerLinks::Drop(const NodeId& to, const PeerLink* link) {
  const auto it = links_.find(to);
  if (it != links_.end() && it->second.get() == link) {
    links_.erase(it);
  }
}

void PeerLinks::DropLeastRecentlyUsed() {
  auto oldest = links_.begin();
  for (auto it = links_.begin(); it != links_.end(); ++it) {
    if (it->second->last_used() < oldest->second->last_used()) {
      oldest = it;
    }
  }
  if (oldest != links_.end()) {
    links_.erase(oldest);
  }
}

}  // namespace cassiabend
