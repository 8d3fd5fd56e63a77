#pragma once

#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <functional>
#include <memory>

#include "cassiabend/core/fleet_events.h"
#include "cassiabend/core/placement/traffic_split.h"

namespace cassiabend {

/// \brief Datagrams, and their bytes by purpose, including estimated IP and UDP
/// headers.
struct DatagramCounts {
  std::uint64_t sent = 0;
  std::uint64_t received = 0;
  std::uint64_t membership_bytes_sent = 0;
  std::uint64_t membership_bytes_received = 0;
  std::uint64_t heartbeat_bytes_sent = 0;
  std::uint64_t heartbeat_bytes_received = 0;
  /// Received datagrams that were malformed or stated a wrong sender.
  std::uint64_t rejected = 0;
};

/// \brief The UDP socket of a node. Used on the thread of its Asio context
/// only.
class DatagramSocket : public std::enable_shared_from_this<DatagramSocket> {
 public:
  using Handler = std::function<void(Datagram datagram)>;

  /// \param traffic Counts the bytes; may be null.
  /// \throws RpcError when the port cannot be opened.
  DatagramSocket(boost::asio::io_context& io,
                 const NodeId& self,
                 TrafficSplit* traffic = nullptr);

  [[nodiscard]] const DatagramCounts& counts() const noexcept {
    return counts_;
  }

  /// \brief Starts receiving. Datagrams that are malformed, or whose stated
  /// sender differs from their source address, are counted and dropped.
  void Start(Handler handler);
  /// \brief Sends without blocking. Drops the datagram when the socket's send
  /// buffer is full.
  void Send(const NodeId& to, const Datagram& datagram);
  void Close();

 private:
  void Receive();
  void OnReceived(std::size_t n);

  boost::asio::ip::udp::socket socket_;
  boost::asio::ip::udp::endpoint sender_;
  std::array<char, 2'048> buf_{};
  Handler handler_;
  DatagramCounts counts_;
  TrafficSplit* traffic_;
};

}  // namespace cassiabend
