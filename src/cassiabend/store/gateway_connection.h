#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "cassiabend/base/time.h"
#include "cassiabend/store/gateway_codec.h"

namespace cassiabend {

/// \brief The result of one HTTP request to the store.
struct ExchangeResult {
  enum class End : std::uint8_t {
    /// No byte of the request was sent.
    kNotSent,
    /// At least a part of the request was sent, but no complete response was
    /// received.
    kIncomplete,
    /// A complete response was received.
    kComplete,
  };
  End end = End::kNotSent;
  unsigned http_status = 0;
  std::string body;
  std::size_t bytes_sent = 0;
  std::size_t bytes_received = 0;
  /// Era that the response states.
  StoreEra era = 0;
  /// Why there is no complete response.
  std::string why;
};

/// \brief A TCP connection to the store that carries one HTTP exchange at a
/// time.
class GatewayConnection {
 public:
  using Handler = std::function<void(const ExchangeResult& result)>;
  /// \returns Whether to continue reading the stream.
  using ChunkHandler = std::function<bool(std::string_view chunk)>;

  static std::shared_ptr<GatewayConnection> Create(
      boost::asio::io_context& io,
      const boost::asio::ip::tcp::endpoint& endpoint);

  GatewayConnection() = default;
  GatewayConnection(const GatewayConnection&) = delete;
  GatewayConnection& operator=(const GatewayConnection&) = delete;
  virtual ~GatewayConnection() = default;

  /// \returns Whether the connection can carry another exchange: it is open and
  /// the store has neither closed it nor sent unsolicited bytes.
  [[nodiscard]] virtual bool IsReusable() = 0;
  [[nodiscard]] virtual const boost::asio::ip::tcp::endpoint& endpoint()
      const noexcept = 0;

  /// \brief Connects if necessary, sends `request` and reads the complete
  /// response. `handler` is called once, never from within this function.
  /// \param connect_timeout Limit for connecting, at most `timeout`.
  /// \param timeout Limit for sending the request and reading the response.
  virtual void Exchange(const GatewayRequest& request,
                        Milliseconds connect_timeout,
                        Milliseconds timeout,
                        Handler handler) = 0;

  /// \brief Like `Exchange`, but passes the response's body to `on_chunk` as it
  /// arrives; the result's body stays empty.
  virtual void Stream(const GatewayRequest& request,
                      Milliseconds connect_timeout,
                      Milliseconds timeout,
                      ChunkHandler on_chunk,
                      Handler handler) = 0;

  virtual void Close() = 0;
};

}  // namespace cassiabend
