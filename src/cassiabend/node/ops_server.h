#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace cassiabend {

/// \brief An HTTP request to an `OpsServer`.
struct OpsRequest {
  std::string method;
  std::string path;
  std::string body;
};

/// \brief An HTTP response of an `OpsServer`.
struct OpsResponse {
  std::uint16_t status = 200;
  std::string content_type = "text/plain";
  std::string body;
};

/// \brief HTTP server for the small requests of operators, of the platform and
/// of the upstream on this host: metrics, status, readiness and heartbeats.
class OpsServer {
 public:
  /// \param ip Address to listen on.
  /// \param handler Makes the response to each request; called on the thread of
  /// `io`.
  /// \throws HttpError when it cannot listen on the port.
  OpsServer(boost::asio::io_context& io,
            const std::string& ip,
            std::uint16_t port,
            std::function<OpsResponse(const OpsRequest& request)> handler);
  OpsServer(const OpsServer&) = delete;
  OpsServer& operator=(const OpsServer&) = delete;
  ~OpsServer();

  /// \brief Stops accepting connections.
  void Close();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace cassiabend
