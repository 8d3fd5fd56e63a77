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

/// \brief Idle outgoing connections by endpoint. The newest is taken first, so
/// that spare ones grow old and are closed.
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
  /// \brief Notes that a connection that had been idle was reset when it was
  /// used again: the other end forgets idle ones without a word. Those to it
  /// are closed, and for some time new ones are kept idle for shorter.
  void NoteIdleReset(const Endpoint& endpoint);
  /// \brief Closes the idle connections to an endpoint that went silent.
  void Drop(const Endpoint& endpoint);
  void Close();

 private:
  class Idle;
  using IdleList = std::vector<std::unique_ptr<Idle>>;

  /// \brief How long connections to an endpoint that forgets them stay idle.
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
