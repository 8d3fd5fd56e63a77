#pragma once

#include <boost/json/value.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cassiabend::harness {

/// \brief An HTTP/1.1 request; `Host` and `Content-Length` are added on
/// sending.
struct Request {
  std::string method = "GET";
  std::string target = "/";
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

/// \brief An HTTP response; header names are in lower case.
struct Response {
  unsigned status = 0;
  std::map<std::string, std::string> headers;
  std::string body;
  /// Whether the body is as long as its framing says.
  bool complete = false;

  /// \param name In lower case.
  /// \returns The header's value; empty when it is absent.
  [[nodiscard]] std::string Header(const std::string& name) const;
};

/// \brief A blocking HTTP/1.1 connection for tests and measurements.
class HttpConnection {
 public:
  /// \param timeout Longest time to connect, to send a request, and to read
  /// a response's head or body.
  /// \throws std::runtime_error when the connection cannot be opened.
  HttpConnection(const std::string& ip,
                 std::uint16_t port,
                 std::chrono::milliseconds timeout);
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;
  ~HttpConnection();

  /// \brief Sends a request and reads its response.
  /// \throws std::runtime_error when the request cannot be sent or no whole
  /// response head arrives.
  [[nodiscard]] Response Send(const Request& request);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

/// \brief Sends one request over a new connection.
[[nodiscard]] Response Fetch(const std::string& ip,
                             std::uint16_t port,
                             const Request& request,
                             std::chrono::milliseconds timeout);

/// \brief Parses the Prometheus text format.
/// \returns Values by name with labels, such as `up{zone="a"}`.
[[nodiscard]] std::map<std::string, double> ParseMetrics(
    const std::string& text);

}  // namespace cassiabend::harness
