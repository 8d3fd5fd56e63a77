#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace cassiabend {

/// \brief Answer of one page for operators.
struct OpsPage {
  std::uint16_t status = 200;
  std::string content_type = "text/plain";
  std::string body;
};

/// \brief Serves the pages that operators and their tools read over HTTP.
class OpsServer {
 public:
  /// \param page Gives the page of a path; status 404 for unknown ones.
  /// \throws HttpError when the port cannot be opened.
  OpsServer(boost::asio::io_context& io,
            const std::string& ip,
            std::uint16_t port,
            std::function<OpsPage(const std::string& path)> page);
  OpsServer(const OpsServer&) = delete;
  OpsServer& operator=(const OpsServer&) = delete;
  ~OpsServer();

  void Close();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace cassiabend
