#pragma once

#include <capnp/capability.h>
#include <capnp/message.h>
#include <kj/async-io.h>

#include <cstdint>
#include <memory>
#include <string>

#include "cassiabend/base/time.h"
#include "cassiabend/rpc/counted_stream.h"

namespace cassiabend {

struct RpcListenerOptions {
  std::string ip;
  /// 0 for any free port.
  std::uint16_t port = 0;
  std::uint32_t max_connections = 0;
  std::uint32_t max_message_bytes = 0;
  /// A connection on which nothing moves for this long is closed.
  Milliseconds idle_timeout{60'000};
};

/// \brief Serves one capability to every connection of a TCP port. A
/// connection that breaks the protocol or a limit is closed; the others go on.
/// Lives on the thread of a KJ event loop.
class RpcListener {
 public:
  /// \param counters Outlives the listener.
  /// \throws RpcError when the port cannot be opened.
  RpcListener(kj::AsyncIoContext& io,
              const RpcListenerOptions& options,
              capnp::Capability::Client bootstrap,
              TcpCounters* counters);
  RpcListener(const RpcListener&) = delete;
  RpcListener& operator=(const RpcListener&) = delete;
  ~RpcListener();

  [[nodiscard]] std::uint16_t port() const noexcept;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

/// \returns What a reader may take in from one message.
[[nodiscard]] capnp::ReaderOptions ReaderLimits(
    std::uint32_t max_message_bytes) noexcept;

}  // namespace cassiabend
