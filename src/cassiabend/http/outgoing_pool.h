#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "cassiabend/base/time.h"
#include "cassiabend/http/connection.h"

namespace cassiabend {

/// \brief Settings of outgoing connections.
struct PoolOptions {
  Milliseconds connect_timeout{250};
  Milliseconds idle_timeout{30'000};
  /// Idle connections kept to each endpoint.
  std::uint32_t idle_connections = 8;
  std::uint32_t max_header_bytes = 16 * 1024;
};

/// \brief Idle outgoing connections by endpoint. The newest is taken first, so
/// that spare ones grow old and are closed.
class OutgoingPool {
 public:
  using Endpoint = Connection::Endpoint;

  OutgoingPool(boost::asio::io_context& io,
               TickList* ticks,
               const PoolOptions& options);
  OutgoingPool(const OutgoingPool&) = delete;
  OutgoingPool& operator=(const OutgoingPool&) = delete;
  ~OutgoingPool();

  /// \returns An idle connection that the other end still holds open; null when
  /// there is none.
  [[nodiscard]] RefPtr<Connection> TakeIdle(const Endpoint& endpoint);
  /// \returns A new connection on its way to `endpoint`, for `listener`.
  [[nodiscard]] RefPtr<Connection> Connect(const Endpoint& endpoint,
                                           ConnectionListener* listener);
  /// \brief Keeps a connection between messages for its next use.
  /// \param idle_limit How long the other end says that it keeps it.
  void Put(const Endpoint& endpoint,
           RefPtr<Connection> connection,
           std::optional<Milliseconds> idle_limit);
  /// \brief Opens connections until `n` are idle or on their way.
  void Prepare(const Endpoint& endpoint, std::uint32_t n);
  /// \brief Closes the idle connections to an endpoint that went silent.
  void Drop(const Endpoint& endpoint);
  void Close();

 private:
  class Idle;
  using IdleList = std::vector<std::unique_ptr<Idle>>;

  void Remove(const Idle* idle);
  [[nodiscard]] RefPtr<Connection> NewConnection();

  boost::asio::io_context& io_;
  TickList* ticks_;
  PoolOptions options_;
  std::map<Endpoint, IdleList> idle_;
};

}  // namespace cassiabend
