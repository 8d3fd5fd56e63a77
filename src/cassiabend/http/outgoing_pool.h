#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <map>
#include <optional>
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
class OutgoingPool {
 public:
  using Endpoint = Connection::Endpoint;

  OutgoingPool(boost::asio::io_context& io,
               const Clock& clock,
               TickList* ticks,
               const PoolOptions& options);
  OutgoingPool(const OutgoingPool&) = delete;
  OutgoingPool& operator=(const OutgoingPool&) = delete;
  ~OutgoingPool();

  /// \returns An idle connection that the peer has not closed; null when there
  /// is none.
  [[nodiscard]] RefPtr<Connection> TakeIdle(const Endpoint& endpoint);
  /// \returns A new connection that is being opened; `listener` receives its
  /// events.
  [[nodiscard]] RefPtr<Connection> Connect(const Endpoint& endpoint,
                                           ConnectionListener* listener);
  /// \brief Keeps a connection between messages for reuse, or closes it when
  /// the pool is full.
  /// \param idle_limit Idle time after which the peer says that it closes it;
  /// unset when it does not say.
  void Put(const Endpoint& endpoint,
           RefPtr<Connection> connection,
           std::optional<Milliseconds> idle_limit);
  /// \brief Opens connections until `n` are idle or being opened.
  void Prepare(const Endpoint& endpoint, std::uint32_t n);
  /// \brief Handles that a reused connection was reset, by which its peer is
  /// known to drop idle connections without closing them. Closes the idle
  /// connections to it, and for 30 s keeps new ones idle for a shorter time.
  void NoteIdleReset(const Endpoint& endpoint);
  /// \brief Closes the idle connections to an endpoint that does not respond.
  void Drop(const Endpoint& endpoint);
  void Close();

 private:
  class Idle;
  using IdleList = std::vector<std::unique_ptr<Idle>>;

  /// \brief Shortened idle time of an endpoint that drops idle connections.
  struct IdleBound {
    Milliseconds limit{0};
    MonoTime until{};
  };

  void Remove(const Idle* idle);
  [[nodiscard]] Milliseconds BoundOf(const Endpoint& endpoint) const;
  [[nodiscard]] RefPtr<Connection> NewConnection();

  boost::asio::io_context& io_;
  const Clock& clock_;
  TickList* ticks_;
  PoolOptions options_;
  std::map<Endpoint, IdleList> idle_;
  std::map<Endpoint, IdleBound> bounds_;
};

}  // namespace cassiabend
