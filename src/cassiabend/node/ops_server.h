#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace cassiabend {

/// \brief One request for a page, or one message to the node.
struct OpsRequest {
  std::string method;
  std::string path;
  std::string body;
};

/// \brief Answer of one page for operators.
struct OpsResponse {
  std::uint16_t status = 200;
  std::string content_type = "text/plain";
  std::string body;
};

/// \brief Serves short pages over HTTP, and takes short messages.
class OpsServer {
 public:
  /// \param handler Answers a request; status 404 for unknown paths.
  /// \throws HttpError when the port cannot be opened.
  OpsServer(boost::asio::io_context& io,
            const std::string& ip,
            std::uint16_t port,
            std::function<OpsResponse(const OpsRequest& request)> handler);
  OpsServer(const OpsServer&) = delete;
  OpsServer& operator=(const OpsServer&) = delete;
  ~OpsServer();

  void Close();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace cassiabend
