#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>

namespace cassiabend {

class FakeStoreWire;

struct FakeStoreOptions {
  std::string ip = "127.0.0.1";
  /// 0 for any free port.
  std::uint16_t port = 0;
  std::uint32_t writes_per_second = 500;
  std::uint32_t reads_per_second = 2'000;
  /// A second wire besides the gateway's, told apart by the path; null for
  /// none. Must outlive the server.
  const FakeStoreWire* wire = nullptr;
};

/// \brief Stand-in for the platform's key-value service: the etcd v3 HTTP/JSON
/// gateway in memory, and a second wire where one is given, with a call rate
/// limit and faults on demand by POST /control. Used on the thread of `io`
/// only.
///
/// A call over the rate limit, over the value limit or during `{"down":true}`
/// is refused before it is executed: HTTP 429 or 400, or 503 with
/// `"executed": false`.
class FakeStoreServer {
 public:
  /// \throws StoreError when the port cannot be opened.
  FakeStoreServer(boost::asio::io_context& io, const FakeStoreOptions& options);
  FakeStoreServer(const FakeStoreServer&) = delete;
  FakeStoreServer& operator=(const FakeStoreServer&) = delete;
  ~FakeStoreServer();

  [[nodiscard]] std::uint16_t port() const noexcept;

  /// \brief Does what POST /control does with this body.
  /// \returns The answer's body: `{"ok":true}` or `{"error":…}`.
  std::string Control(const std::string& json);
  /// \returns What GET /control/stats answers.
  [[nodiscard]] std::string Stats() const;

  void Close();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace cassiabend
