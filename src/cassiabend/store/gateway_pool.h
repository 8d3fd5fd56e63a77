#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <vector>

#include "cassiabend/store/gateway_connection.h"

namespace cassiabend {

using ConnectionPtr = std::shared_ptr<GatewayConnection>;

/// \brief Keeps idle connections to the store for further exchanges.
class GatewayPool {
 public:
  /// \param max_idle Most connections that are kept.
  GatewayPool(boost::asio::io_context& io, std::size_t max_idle)
      : io_(io), max_idle_(max_idle) {}

  /// \brief A connection for one exchange.
  /// \param reused Set to whether it carried an exchange before.
  [[nodiscard]] ConnectionPtr Take(
      const boost::asio::ip::tcp::endpoint& endpoint,
      bool* reused);
  /// \returns A connection that carried nothing before.
  [[nodiscard]] ConnectionPtr New(
      const boost::asio::ip::tcp::endpoint& endpoint);
  /// \brief Keeps a connection whose exchange has ended with an answer.
  void GiveBack(ConnectionPtr connection);
  /// \brief Closes idle connections to an endpoint where one has failed: the
  /// others are likely to have been lost with it.
  void CloseIdle(const boost::asio::ip::tcp::endpoint& endpoint);
  /// \brief Closes all connections, those in use too, and keeps none again.
  void Close();

 private:
  boost::asio::io_context& io_;
  std::size_t max_idle_;
  std::vector<ConnectionPtr> idle_;
  /// All connections that may be in use.
  std::vector<std::weak_ptr<GatewayConnection>> open_;
};

}  // namespace cassiabend
