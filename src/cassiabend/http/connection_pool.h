#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cassiabend/base/clock.h"
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

/// \brief Pool of idle outgoing connections by endpoint. The newest one is
/// reused first, so that connections in excess of the load time out.
class ConnectionPool {
 public:
  using Endpoint = Connection::Endpoint;

  ConnectionPool(boost::asio::io_context& io,
                 const Clock& clock,
                 TimeoutList* timeouts,
                 const PoolOptions& options);
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;
  ~ConnectionPool();

  /// \param request_id Id of the request to send; empty for none.
  /// \returns An idle connection that the peer has not closed and on which it
  /// has not refused the request; null when there is none.
  [[nodiscard]] RefPtr<Connection> AcquireIdle(
      const Endpoint& endpoint,
      const std::string& request_id = {});
  /// \returns A new connection that is being opened; `listener` receives its
  /// events.
  [[nodiscard]] RefPtr<Connection> Connect(const Endpoint& endpoint,
                                           ConnectionListener* listener);
  /// \brief Keeps a connection between messages for reuse, or closes it when
  /// the pool is full.
  /// \param idle_limit Idle time after which the peer says that it closes it;
  /// unset when it does not say.
  void AddIdle(const Endpoint& endpoint,
               RefPtr<Connection> connection,
               std::optional<Milliseconds> idle_limit);
  /// \brief Sets the longest head of an answer. Idle connections, which have
  /// the former limit, are closed.
  void SetMaxHeaderBytes(std::uint32_t max_header_bytes);
  /// \brief Opens connections until `n` are idle or being opened.
  void Preconnect(const Endpoint& endpoint, std::uint32_t n);
  /// \brief Handles that a reused connection was reset, by which its peer is
  /// known to drop idle connections without closing them. Closes the idle
  /// connections to it, and for 30 s keeps new ones idle for a shorter time.
  void HandleIdleReset(const Endpoint& endpoint);
  /// \brief Closes the idle connections to an endpoint that does not respond.
  void CloseIdle(const Endpoint& endpoint);
  void Close();

 private:
  class IdleConnection;
  using IdleList = std::vector<std::unique_ptr<IdleConnection>>;

  /// \brief Shortened idle time of an endpoint that drops idle connections.
  struct IdleLimit {
    Milliseconds limit{0};
    MonoTime until{};
  };

  void Remove(const IdleConnection* idle);
  [[nodiscard]] Milliseconds IdleLimitOf(const Endpoint& endpoint) const;
  [[nodiscard]] RefPtr<Connection> NewConnection();

  boost::asio::io_context& io_;
  const Clock& clock_;
  TimeoutList* timeouts_;
  PoolOptions options_;
  std::map<Endpoint, IdleList> idle_;
  std::map<Endpoint, IdleLimit> idle_limits_;
};

}  // namespace cassiabend
