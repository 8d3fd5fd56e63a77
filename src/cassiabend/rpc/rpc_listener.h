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
  /// A connection without any read or write is closed after one to two times
  /// this period.
  Milliseconds idle_timeout{60'000};
};

/// \brief Accepts connections on a TCP port and serves one capability on each.
/// A connection that violates the protocol or a limit is closed; the others are
/// not affected. Used on the thread of a KJ event loop only.
class RpcListener {
 public:
  /// \param counters Must outlive the listener.
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

/// \returns Size and nesting limits for reading one message.
[[nodiscard]] capnp::ReaderOptions ReaderLimits(
    std::uint32_t max_message_bytes) noexcept;

}  // namespace cassiabend
