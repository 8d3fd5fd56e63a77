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

/// \brief How one HTTP exchange with the store ended.
struct ExchangeResult {
  enum class End : std::uint8_t {
    /// Not a byte left this host.
    kNotSent,
    /// The request, or a part of it, was sent and no whole answer came.
    kBroken,
    /// A whole answer came.
    kAnswered,
  };
  End end = End::kNotSent;
  unsigned http_status = 0;
  std::string body;
  std::size_t bytes_sent = 0;
  std::size_t bytes_received = 0;
  /// Why no answer came.
  std::string why;
};

/// \brief One TCP connection to the store. Carries one exchange at a time.
class GatewayConnection {
 public:
  using Handler = std::function<void(const ExchangeResult& result)>;
  /// \returns Whether to go on reading the stream.
  using ChunkHandler = std::function<bool(std::string_view chunk)>;

  static std::shared_ptr<GatewayConnection> Create(
      boost::asio::io_context& io,
      const boost::asio::ip::tcp::endpoint& endpoint);

  GatewayConnection() = default;
  GatewayConnection(const GatewayConnection&) = delete;
  GatewayConnection& operator=(const GatewayConnection&) = delete;
  virtual ~GatewayConnection() = default;

  /// \brief Whether the connection can carry another exchange: open, and the
  /// store has neither closed it nor sent unasked bytes.
  [[nodiscard]] virtual bool IsReusable() = 0;
  [[nodiscard]] virtual const boost::asio::ip::tcp::endpoint& endpoint()
      const noexcept = 0;

  /// \brief Connects if need be, sends `request` and reads the whole answer.
  /// `handler` is called once, never from within this function.
  virtual void Exchange(const GatewayRequest& request,
                        Milliseconds connect_timeout,
                        Milliseconds timeout,
                        Handler handler) = 0;

  /// \brief As `Exchange`, but hands over the answer's body as it arrives; the
  /// result's body stays empty.
  virtual void Stream(const GatewayRequest& request,
                      Milliseconds connect_timeout,
                      Milliseconds timeout,
                      ChunkHandler on_chunk,
                      Handler handler) = 0;

  virtual void Close() = 0;
};

}  // namespace cassiabend
