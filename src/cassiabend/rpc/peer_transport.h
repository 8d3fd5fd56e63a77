#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "cassiabend/core/event_sink.h"
#include "cassiabend/core/fleet_events.h"
#include "cassiabend/core/member.h"
#include "cassiabend/core/placement/traffic_split.h"

namespace cassiabend {

/// \brief Addresses and limits of the traffic between nodes.
struct PeerTransportOptions {
  NodeId self;
  Milliseconds rpc_timeout{2'000};
  std::uint32_t max_connections = 256;
  std::uint32_t max_message_bytes = 16 * 1024 * 1024;
  /// Counts the bytes of datagrams; may be null. Must outlive the transport.
  TrafficSplit* traffic = nullptr;
};

/// \brief Traffic by purpose; bytes include estimated IP and UDP or TCP
/// headers.
struct PeerTraffic {
  std::uint64_t datagrams_sent = 0;
  std::uint64_t datagrams_received = 0;
  std::uint64_t membership_bytes_sent = 0;
  std::uint64_t membership_bytes_received = 0;
  std::uint64_t heartbeat_bytes_sent = 0;
  std::uint64_t heartbeat_bytes_received = 0;
  std::uint64_t config_bytes_sent = 0;
  std::uint64_t config_bytes_received = 0;
  std::uint64_t rejected_messages = 0;
};

/// \brief Datagrams and Cap'n Proto RPC between nodes, on a UDP and a TCP port
/// of the same number. The RPC event loop runs on its own thread; events are
/// posted to the sink on the thread of `io`.
class PeerTransport {
 public:
  /// \throws RpcError when a port cannot be opened.
  PeerTransport(boost::asio::io_context& io,
                const PeerTransportOptions& options,
                EventSink* sink);
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;
  ~PeerTransport();

  [[nodiscard]] PeerTraffic traffic() const noexcept;

  /// \brief Executes one effect of the fleet reducer. Effects that are neither
  /// messages nor replies to peers are ignored.
  void Execute(const FleetEffect& effect);

  /// \brief Asks a peer to drain. Failures are logged.
  void RequestDrain(const NodeId& to);
  /// \brief Sets the function that is called when a peer asks this node to
  /// drain for an operator. It is called on the thread of `io`.
  void SetDrainHandler(std::function<void()> handler);

  void Close();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace cassiabend
