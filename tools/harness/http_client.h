#pragma once

#include <boost/json/value.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cassiabend::harness {

/// \brief One request.
struct Request {
  std::string method = "GET";
  std::string target = "/";
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

/// \brief One answer; header names are lower-case.
struct Response {
  unsigned status = 0;
  std::map<std::string, std::string> headers;
  std::string body;
  /// Whether the body ended where its framing says.
  bool complete = false;

  /// \returns The header's value; empty when it is absent.
  [[nodiscard]] std::string Header(const std::string& name) const;
};

/// \brief A blocking HTTP/1.1 connection for tests and measurements.
class HttpConnection {
 public:
  /// \param timeout Longest wait for each step.
  /// \throws std::runtime_error when the address cannot be reached.
  HttpConnection(const std::string& ip,
                 std::uint16_t port,
                 std::chrono::milliseconds timeout);
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;
  ~HttpConnection();

  /// \throws std::runtime_error when no answer begins to arrive.
  [[nodiscard]] Response Send(const Request& request);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

/// \brief Sends one request over a connection of its own.
[[nodiscard]] Response Fetch(const std::string& ip,
                             std::uint16_t port,
                             const Request& request,
                             std::chrono::milliseconds timeout);

/// \brief Reads the Prometheus text form: name with labels to value.
[[nodiscard]] std::map<std::string, double> ParseMetrics(
    const std::string& text);

}  // namespace cassiabend::harness
