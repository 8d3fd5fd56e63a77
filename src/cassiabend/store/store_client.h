#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "cassiabend/core/event_sink.h"
#include "cassiabend/core/store_types.h"
#include "cassiabend/store/store_codec.h"

namespace cassiabend {

struct StoreEndpoint {
  std::string ip;
  std::uint16_t port = 0;

  [[nodiscard]] bool operator==(const StoreEndpoint&) const = default;
};

struct StoreClientOptions {
  std::vector<StoreEndpoint> endpoints;
  Milliseconds request_timeout{2'000};
  std::uint32_t max_connections = 4;
  /// Requests that may wait for a connection; further ones fail at once.
  std::uint32_t max_waiting = 64;
  /// Not null; must outlive the client.
  const StoreCodec* codec = &GatewayStoreCodec();
};

struct StoreClientCounts {
  std::uint64_t calls = 0;
  std::uint64_t failures = 0;
  std::uint64_t unknown_outcomes = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  /// Replies by type of request and by status, in the order of
  /// `kStoreRequestNames` and `kStoreStatusNames`.
  std::array<std::array<std::uint64_t, kStoreStatusNames.size()>,
             kStoreRequestNames.size()>
      replies{};
};

/// \brief Client of the platform's key-value store; the codec determines the
/// protocol. Each `StoreCall` leads to one `StoreReplied` event. A watch
/// also ends as `kUnavailable` when the key is removed or the store's
/// revision is older than the watch's: the caller has to read the key again.
/// Used on the thread of `io` only.
class StoreClient {
 public:
  StoreClient(boost::asio::io_context& io,
              const StoreClientOptions& options,
              EventSink* sink);
  StoreClient(const StoreClient&) = delete;
  StoreClient& operator=(const StoreClient&) = delete;
  ~StoreClient();

  [[nodiscard]] StoreClientCounts counts() const noexcept;

  /// \brief Starts a call; its reply is never posted from within this function.
  void Execute(const StoreCall& call);
  /// \brief Closes all connections. Calls in progress end with a reply, further
  /// ones are refused.
  void Close();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace cassiabend
