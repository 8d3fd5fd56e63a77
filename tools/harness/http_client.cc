#include "tools/harness/http_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cstdlib>
#include <optional>
#include <sstream>
#include <stdexcept>

namespace cassiabend::harness {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

/// Initial buffer size; a small buffer would read large bodies in many pieces.
constexpr std::size_t kReadBytes = 65'536;

class HttpConnection::Impl {
 public:
  Impl(const std::string& ip,
       std::uint16_t port,
       std::chrono::milliseconds timeout)
      : stream_(io_), timeout_(timeout) {
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(ip), port);
    Await("connect to " + ip + ":" + std::to_string(port),
          [&](auto handler) { stream_.async_connect(endpoint, handler); });
    stream_.socket().set_option(asio::ip::tcp::no_delay(true));
    buf_.reserve(kReadBytes);
  }

  Response Send(const Request& request) {
    http::request<http::string_body> message;
    message.method_string(request.method);
    message.target(request.target);
    message.version(11);
    message.set(http::field::host, "localhost");
    for (const auto& [name, value] : request.headers) {
      message.set(name, value);
    }
    message.body() = request.body;
    message.prepare_payload();
    Await("send " + request.target, [&](auto handler) {
      http::async_write(
          stream_, message,
          [handler](beast::error_code ec, std::size_t) { handler(ec); });
    });
    return Receive(request);
  }

 private:
  Response Receive(const Request& request) {
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    parser.skip(request.method == "HEAD");
    Await("read the head of " + request.target, [&](auto handler) {
      http::async_read_header(
          stream_, buf_, parser,
          [handler](beast::error_code ec, std::size_t) { handler(ec); });
    });
    Response out;
    try {
      Await("read the body of " + request.target, [&](auto handler) {
        http::async_read(
            stream_, buf_, parser,
            [handler](beast::error_code ec, std::size_t) { handler(ec); });
      });
      out.complete = parser.is_done();
    } catch (const std::runtime_error&) {
      out.complete = false;
    }
    out.status = parser.get().result_int();
    for (const auto& it : parser.get()) {
      std::string name(it.name_string());
      for (char& c : name) {
        c = beast::detail::ascii_tolower(c);
      }
      out.headers[name] = std::string(it.value());
    }
    out.body = parser.get().body();
    return out;
  }

  /// \brief Starts an operation and runs the event loop until it completes.
  /// \param what Description for the error message.
  template <typename Start>
  void Await(const std::string& what, Start start) {
    std::optional<beast::error_code> result;
    stream_.expires_after(timeout_);
    start([&result](beast::error_code ec) { result = ec; });
    io_.restart();
    while (!result && io_.run_one() > 0) {
    }
    if (!result || *result) {
      throw std::runtime_error("cannot " + what + ": " +
                               (result ? result->message() : "no result"));
    }
  }

  asio::io_context io_;
  beast::tcp_stream stream_;
  std::chrono::milliseconds timeout_;
  beast::flat_buffer buf_;
};

std::string Response::Header(const std::string& name) const {
  const auto it = headers.find(name);
  return it == headers.end() ? std::string() : it->second;
}

HttpConnection::HttpConnection(const std::string& ip,
                               std::uint16_t port,
                               std::chrono::milliseconds timeout)
    : impl_(std::make_unique<Impl>(ip, port, timeout)) {}

HttpConnection::~HttpConnection() = default;

Response HttpConnection::Send(const Request& request) {
  return impl_->Send(request);
}

Response Fetch(const std::string& ip,
               std::uint16_t port,
               const Request& request,
               std::chrono::milliseconds timeout) {
  return HttpConnection(ip, port, timeout).Send(request);
}

std::map<std::string, double> ParseMetrics(const std::string& text) {
  std::map<std::string, double> out;
  std::istringstream in(text);
  std::string line;
  while (std::getline(in, line)) {
    const std::size_t space = line.rfind(' ');
    if (line.empty() || line.front() == '#' || space == std::string::npos) {
      continue;
    }
    out[line.substr(0, space)] = std::strtod(line.c_str() + space, nullptr);
  }
  return out;
}

}  // namespace cassiabend::harness
