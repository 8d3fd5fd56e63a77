#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>

namespace cassiabend {

class FakeStoreProtocol;

struct FakeStoreOptions {
  std::string ip = "127.0.0.1";
  /// 0 for any free port.
  std::uint16_t port = 0;
  std::uint32_t writes_per_second = 500;
  std::uint32_t reads_per_second = 2'000;
  /// Second protocol besides that of the etcd gateway, selected by the path
  /// of a call; null for none. Must outlive the server.
  const FakeStoreProtocol* extra_protocol = nullptr;
};

/// \brief In-memory fake of a key-value store with rate limits and faults that
/// POST /control switches. Speaks the etcd v3 HTTP/JSON gateway protocol, and
/// a second one if given. Used only on the thread that runs `io`.
///
/// A call over the rate limit (HTTP 429), over the value limit (400) or during
/// `{"down":true}` (503) has no effect; its reply holds `"executed": false`.
class FakeStoreServer {
 public:
  /// \throws StoreError when the port cannot be opened.
  FakeStoreServer(boost::asio::io_context& io, const FakeStoreOptions& options);
  FakeStoreServer(const FakeStoreServer&) = delete;
  FakeStoreServer& operator=(const FakeStoreServer&) = delete;
  ~FakeStoreServer();

  [[nodiscard]] std::uint16_t port() const noexcept;

  /// \brief Applies `json` as the body of a POST /control.
  /// \returns The reply's body: `{"ok":true}` or `{"error":…}`.
  std::string Control(const std::string& json);
  /// \returns The body of GET /control/stats.
  [[nodiscard]] std::string Stats() const;

  void Close();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace cassiabend
