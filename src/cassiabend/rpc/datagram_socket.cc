#include "cassiabend/rpc/datagram_socket.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>
#include <utility>

#include "cassiabend/base/error.h"
#include "cassiabend/base/guard.h"
#include "cassiabend/base/log.h"
#include "cassiabend/rpc/mesh_codec.h"

namespace cassiabend {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

/// Size of the IPv4 and UDP headers of a datagram.
constexpr std::uint64_t kUdpHeaderBytes = 28;

bool IsHeartbeat(const Datagram& datagram) noexcept {
  return std::holds_alternative<HeartbeatBody>(datagram.body) ||
         std::holds_alternative<AttachBody>(datagram.body);
}

TrafficPurpose PurposeOf(const Datagram& datagram) noexcept {
  return IsHeartbeat(datagram) ? TrafficPurpose::kLoads
                               : TrafficPurpose::kMembership;
}

}  // namespace

DatagramSocket::DatagramSocket(asio::io_context& io,
                               const NodeId& self,
                               TrafficSplit* traffic)
    : socket_(io), traffic_(traffic) {
  try {
    const udp::endpoint endpoint(asio::ip::make_address(self.ip),
                                 self.peer_port);
    socket_.open(endpoint.protocol());
    socket_.bind(endpoint);
    socket_.non_blocking(true);
  } catch (const boost::system::system_error& ex) {
    throw RpcError("open the UDP port", ToString(self), ex.what());
  }
}

void DatagramSocket::Start(Handler handler) {
  handler_ = std::move(handler);
  Receive();
}

void DatagramSocket::Send(const NodeId& to, const Datagram& datagram) {
  error_code ec;
  const auto address = asio::ip::make_address(to.ip, ec);
  if (ec || !socket_.is_open()) {
    return;
  }
  const std::string bytes = EncodeDatagram(datagram);
  socket_.send_to(asio::buffer(bytes), udp::endpoint(address, to.peer_port), 0,
                  ec);
  if (ec) {
    // Probes, heartbeats and gossip are repeated, so a lost one needs no retry.
    return;
  }
  ++counts_.sent;
  (IsHeartbeat(datagram) ? counts_.heartbeat_bytes_sent
                         : counts_.membership_bytes_sent) +=
      bytes.size() + kUdpHeaderBytes;
  if (traffic_ != nullptr) {
    traffic_->RecordSent(PurposeOf(datagram), to.ip,
                         bytes.size() + kUdpHeaderBytes);
  }
}

void DatagramSocket::Close() {
  error_code ec;
  socket_.close(ec);
}

void DatagramSocket::Receive() {
  socket_.async_receive_from(
      asio::buffer(buf_), sender_,
      [self = shared_from_this()](error_code ec, std::size_t n) {
        if (!self->socket_.is_open() || ec == asio::error::operation_aborted) {
          return;
        }
        // An error here reports the failure of an earlier send, such as to a
        // closed port.
        if (!ec) {
          RunGuarded("datagram", [&] { self->OnReceived(n); });
        }
        self->Receive();
      });
}

void DatagramSocket::OnReceived(std::size_t n) {
  try {
    Datagram datagram = DecodeDatagram({buf_.data(), n});
    const NodeId sender{sender_.address().to_string(), sender_.port()};
    if (datagram.from != sender) {
      throw RpcError("receive a datagram", ToString(sender),
                     "its stated sender is " + ToString(datagram.from));
    }
    ++counts_.received;
    (IsHeartbeat(datagram) ? counts_.heartbeat_bytes_received
                           : counts_.membership_bytes_received) +=
        n + kUdpHeaderBytes;
    if (traffic_ != nullptr) {
      traffic_->RecordReceived(PurposeOf(datagram), sender.ip,
                               n + kUdpHeaderBytes);
    }
    handler_(std::move(datagram));
  } catch (const Error& ex) {
    ++counts_.rejected;
    Log(LogLevel::kWarning, "datagram_rejected", {{"why", ex.what()}});
  }
}

}  // namespace cassiabend
