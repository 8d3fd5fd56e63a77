#include "cassiabend/node/ops_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <utility>

#include "cassiabend/base/error.h"

namespace cassiabend {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::chrono::seconds kRequestTimeout{5};
constexpr std::uint32_t kMaxHeaderBytes = 8 * 1024;
constexpr std::uint32_t kMaxBodyBytes = 16 * 1024;
constexpr int kMaxOpenSessions = 32;

using Handler = std::function<OpsResponse(const OpsRequest& request)>;

/// \brief One connection, which handles its requests one after the other.
class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(asio::ip::tcp::socket socket,
          std::shared_ptr<Handler> handler,
          std::shared_ptr<int> open_sessions)
      : stream_(std::move(socket)),
        handler_(std::move(handler)),
        open_sessions_(std::move(open_sessions)) {
    ++*open_sessions_;
  }
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;
  ~Session() { --*open_sessions_; }

  void Read() {
    parser_.emplace();
    parser_->header_limit(kMaxHeaderBytes);
    parser_->body_limit(kMaxBodyBytes);
    stream_.expires_after(kRequestTimeout);
    http::async_read(
        stream_, buf_, *parser_,
        [self = shared_from_this()](beast::error_code ec, std::size_t) {
          if (!ec) {
            self->WriteResponse();
          }
        });
  }

 private:
  void WriteResponse() {
    const auto& request = parser_->get();
    const OpsResponse response =
        (*handler_)({.method = std::string(request.method_string()),
                     .path = std::string(request.target()),
                     .body = request.body()});
    response_ = {};
    response_.result(response.status);
    response_.version(request.version());
    response_.keep_alive(request.keep_alive());
    response_.set(http::field::content_type, response.content_type);
    response_.body() = response.body;
    response_.prepare_payload();
    http::async_write(
        stream_, response_,
        [self = shared_from_this()](beast::error_code ec, std::size_t) {
          if (!ec && self->response_.keep_alive()) {
            self->Read();
          }
        });
  }

  beast::tcp_stream stream_;
  std::shared_ptr<Handler> handler_;
  std::shared_ptr<int> open_sessions_;
  beast::flat_buffer buf_;
  std::optional<http::request_parser<http::string_body>> parser_;
  http::response<http::string_body> response_;
};

}  // namespace

class OpsServer::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& io, Handler handler)
      : acceptor_(io),
        handler_(std::make_shared<Handler>(std::move(handler))),
        open_sessions_(std::make_shared<int>(0)) {}

  void Open(const std::string& ip, std::uint16_t port) {
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(ip), port);
    try {
      acceptor_.open(endpoint.protocol());
      acceptor_.set_option(asio::socket_base::reuse_address(true));
      acceptor_.bind(endpoint);
      acceptor_.listen();
    } catch (const boost::system::system_error& e) {
      throw HttpError("open the operations port",
                      ip + ":" + std::to_string(port), e.code().message());
    }
  }

  void Accept() {
    acceptor_.async_accept(
        [self = shared_from_this()](beast::error_code ec,
                                    asio::ip::tcp::socket socket) {
          if (ec == asio::error::operation_aborted) {
            return;
          }
          // First, so that the port goes on after an exception.
          self->Accept();
          if (!ec && *self->open_sessions_ < kMaxOpenSessions) {
            std::make_shared<Session>(std::move(socket), self->handler_,
                                      self->open_sessions_)
                ->Read();
          }
        });
  }

  void Close() {
    beast::error_code ec;
    acceptor_.close(ec);
  }

 private:
  asio::ip::tcp::acceptor acceptor_;
  std::shared_ptr<Handler> handler_;
  std::shared_ptr<int> open_sessions_;
};

OpsServer::OpsServer(
    asio::io_context& io,
    const std::string& ip,
    std::uint16_t port,
    std::function<OpsResponse(const OpsRequest& request)> handler)
    : impl_(std::make_shared<Impl>(io, std::move(handler))) {
  impl_->Open(ip, port);
  impl_->Accept();
}

OpsServer::~OpsServer() {
  Close();
}

void OpsServer::Close() {
  impl_->Close();
}

}  // namespace cassiabend
