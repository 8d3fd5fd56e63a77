#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <vector>

#include "cassiabend/store/gateway_connection.h"

namespace cassiabend {

using ConnectionPtr = std::shared_ptr<GatewayConnection>;

/// \brief A pool of connections to the store.
class GatewayPool {
 public:
  /// \param max_idle Maximum number of idle connections.
  GatewayPool(boost::asio::io_context& io, std::size_t max_idle)
      : io_(io), max_idle_(max_idle) {}

  /// \returns An idle connection to `endpoint` or else a new one, for one
  /// exchange.
  /// \param reused Receives whether the connection carried an exchange before.
  [[nodiscard]] ConnectionPtr Acquire(
      const boost::asio::ip::tcp::endpoint& endpoint,
      bool* reused);
  /// \returns A new connection to `endpoint`.
  [[nodiscard]] ConnectionPtr CreateConnection(
      const boost::asio::ip::tcp::endpoint& endpoint);
  /// \brief Returns a connection whose exchange ended with a complete response.
  /// Closes it when the pool is full.
  void Release(ConnectionPtr connection);
  /// \brief Closes the idle connections to an endpoint. Called when one has
  /// failed, as the others are likely to have failed with it.
  void CloseIdle(const boost::asio::ip::tcp::endpoint& endpoint);
  /// \brief Closes all connections, including those in use, and keeps none from
  /// then on.
  void Close();

 private:
  boost::asio::io_context& io_;
  std::size_t max_idle_;
  std::vector<ConnectionPtr> idle_;
  /// All connections that may be open, idle ones included.
  std::vector<std::weak_ptr<GatewayConnection>> open_;
};

}  // namespace cassiabend
