#include "cassiabend/store/gateway_connection.h"

#include <sys/socket.h>

#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>
#include <optional>
#include <utility>

#include "cassiabend/base/http_status.h"
#include "cassiabend/base/socket_options.h"

namespace cassiabend {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

// Two values of the maximum size in base64, and the rest of the response.
constexpr std::size_t kMaxResponseBytes = std::size_t{4} * 1024 * 1024;
constexpr unsigned kHttpVersion = 11;

/// Detects a store that has become unreachable, which a waiting watch would not
/// notice. The second unanswered probe does so 2 s after the last data from the
/// store: within the time after a fault in which the platform does not yet
/// expect changes to arrive.
constexpr DeadPeerDetection kDeadStoreDetection{
    .idle = Seconds(1),
    .interval = Seconds(1),
    .probes = 2,
    .user_timeout = Milliseconds(1'000)};

class BeastConnection final
    : public GatewayConnection,
      public std::enable_shared_from_this<BeastConnection> {
 public:
  BeastConnection(asio::io_context& io, const asio::ip::tcp::endpoint& endpoint)
      : stream_(io), endpoint_(endpoint) {}

  bool IsReusable() override {
    if (!connected_ || !keep_alive_ || buffer_.size() != 0 ||
        !stream_.socket().is_open()) {
      return false;
    }
    char byte = 0;
    const ssize_t n = ::recv(stream_.socket().native_handle(), &byte, 1,
                             MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  }

  const asio::ip::tcp::endpoint& endpoint() const noexcept override {
    return endpoint_;
  }

  void Exchange(const GatewayRequest& request,
                Milliseconds connect_timeout,
                Milliseconds timeout,
                Handler handler) override {
    Stream(request, connect_timeout, timeout, nullptr, std::move(handler));
  }

  void Stream(const GatewayRequest& request,
              Milliseconds connect_timeout,
              Milliseconds timeout,
              ChunkHandler on_chunk,
              Handler handler) override {
    handler_ = std::move(handler);
    on_chunk_ = std::move(on_chunk);
    timeout_ = timeout;
    result_ = {};
    era_header_ = request.era_header;
    PrepareExchange(request);
    if (connected_) {
      stream_.expires_after(timeout_);
      Send();
      return;
    }
    stream_.expires_after(std::min(connect_timeout, timeout));
    stream_.async_connect(
        endpoint_,
        [self = shared_from_this()](error_code ec) { self->OnConnected(ec); });
  }

  void Close() override {
    connected_ = false;
    stream_.close();
  }

 private:
  void PrepareExchange(const GatewayRequest& request) {
    request_ = {};
    request_.version(kHttpVersion);
    request_.method_string(request.method);
    request_.target(request.path);
    request_.set(http::field::host, endpoint_.address().to_string() + ":" +
                                        std::to_string(endpoint_.port()));
    if (!request.body.empty()) {
      request_.set(http::field::content_type, "application/json");
    }
    request_.body() = request.body;
    request_.prepare_payload();
    parser_.emplace();
    parser_->body_limit(kMaxResponseBytes);
  }

  void OnConnected(error_code ec) {
    if (ec) {
      Finish(ExchangeResult::End::kNotSent, ec);
      return;
    }
    connected_ = true;
    SetSocketOptions(stream_.socket().native_handle(), kDeadStoreDetection);
    stream_.expires_after(timeout_);
    Send();
  }

  void Send() {
    http::async_write(
        stream_, request_,
        [self = shared_from_this()](error_code ec, std::size_t n) {
          self->OnSent(ec, n);
        });
  }

  void OnSent(error_code ec, std::size_t n) {
    result_.bytes_sent = n;
    if (ec) {
      Finish(n == 0 ? ExchangeResult::End::kNotSent
                    : ExchangeResult::End::kIncomplete,
             ec);
      return;
    }
    if (on_chunk_) {
      ReadSome();
      return;
    }
    http::async_read(stream_, buffer_, *parser_,
                     [self = shared_from_this()](error_code ec, std::size_t n) {
                       self->OnRead(ec, n);
                     });
  }

  void OnRead(error_code ec, std::size_t n) {
    result_.bytes_received += n;
    if (ec) {
      Finish(ExchangeResult::End::kIncomplete, ec);
      return;
    }
    if (!HasFinalStatus()) {
      Finish(ExchangeResult::End::kIncomplete, http::error::bad_status);
      return;
    }
    result_.body = std::move(parser_->get().body());
    FinishComplete();
  }

  /// \returns The era that the response states, where the first is 1; 0 if it
  /// states none.
  [[nodiscard]] StoreEra ReadEra() const {
    if (era_header_.empty()) {
      return 0;
    }
    const beast::string_view text = parser_->get()[era_header_];
    StoreEra era = 0;
    const char* end = text.data() + text.size();
    const auto [it, ec] = std::from_chars(text.data(), end, era);
    return ec == std::errc() && it == end ? era + 1 : 0;
  }

  /// \returns Whether the message is a response: one with another status proves
  /// nothing about the call.
  [[nodiscard]] bool HasFinalStatus() const {
    return IsFinalHttpStatus(parser_->get().result_int());
  }

  void ReadSome() {
    http::async_read_some(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](error_code ec, std::size_t n) {
          self->OnReadSome(ec, n);
        });
  }

  void OnReadSome(error_code ec, std::size_t n) {
    result_.bytes_received += n;
    if (ec) {
      Finish(ExchangeResult::End::kIncomplete, ec);
      return;
    }
    if (parser_->is_header_done() && !HasFinalStatus()) {
      Finish(ExchangeResult::End::kIncomplete, http::error::bad_status);
      return;
    }
    std::string chunk = std::exchange(parser_->get().body(), {});
    const bool keep_reading = chunk.empty() || on_chunk_(chunk);
    if (parser_->is_done()) {
      FinishComplete();
      return;
    }
    if (!keep_reading) {
      Finish(ExchangeResult::End::kIncomplete, {});
      return;
    }
    ReadSome();
  }

  void FinishComplete() {
    result_.http_status = parser_->get().result_int();
    result_.era = ReadEra();
    keep_alive_ = parser_->get().keep_alive();
    Finish(ExchangeResult::End::kComplete, {});
  }

  void Finish(ExchangeResult::End end, error_code ec) {
    result_.end = end;
    result_.why = ec ? ec.message() : std::string();
    if (end == ExchangeResult::End::kComplete) {
      stream_.expires_never();
    } else {
      Close();
    }
    on_chunk_ = nullptr;
    const Handler handler = std::exchange(handler_, nullptr);
    handler(result_);
  }

  beast::tcp_stream stream_;
  asio::ip::tcp::endpoint endpoint_;
  beast::flat_buffer buffer_;
  http::request<http::string_body> request_;
  std::optional<http::response_parser<http::string_body>> parser_;
  Handler handler_;
  ChunkHandler on_chunk_;
  Milliseconds timeout_{0};
  ExchangeResult result_;
  std::string_view era_header_;
  bool connected_ = false;
  bool keep_alive_ = true;
};

}  // namespace

std::shared_ptr<GatewayConnection> GatewayConnection::Create(
    asio::io_context& io,
    const asio::ip::tcp::endpoint& endpoint) {
  return std::make_shared<BeastConnection>(io, endpoint);
}

}  // namespace cassiabend
