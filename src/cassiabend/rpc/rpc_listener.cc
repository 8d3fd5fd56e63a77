#include "cassiabend/rpc/rpc_listener.h"

#include <capnp/rpc-twoparty.h>
#include <capnp/rpc.h>
#include <kj/exception.h>
#include <kj/timer.h>

#include <utility>

#include "cassiabend/base/error.h"
#include "cassiabend/base/log.h"

namespace cassiabend {
namespace {

constexpr int kNestingLimit = 32;
/// Pause after a failed accept.
constexpr Milliseconds kAcceptPause{100};

/// \brief One accepted connection.
struct Connection {
  Connection(kj::Own<kj::AsyncIoStream> inner,
             TcpCounters* counters,
             std::uint32_t max_message_bytes,
             capnp::Capability::Client bootstrap)
      : stream(kj::mv(inner), counters),
        network(stream,
                capnp::rpc::twoparty::Side::SERVER,
                ReaderLimits(max_message_bytes)),
        system(capnp::makeRpcServer(network, kj::mv(bootstrap))) {}

  CountedStream stream;
  capnp::TwoPartyVatNetwork network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> system;
};

}  // namespace

capnp::ReaderOptions ReaderLimits(std::uint32_t max_message_bytes) noexcept {
  capnp::ReaderOptions options;
  options.traversalLimitInWords = max_message_bytes / sizeof(capnp::word);
  options.nestingLimit = kNestingLimit;
  return options;
}

class RpcListener::Impl final : private kj::TaskSet::ErrorHandler {
 public:
  Impl(kj::AsyncIoContext& io,
       const RpcListenerOptions& options,
       capnp::Capability::Client bootstrap,
       TcpCounters* counters)
      : timer_(io.provider->getTimer()),
        options_(options),
        bootstrap_(kj::mv(bootstrap)),
        counters_(counters),
        tasks_(*this) {
    try {
      auto address = io.provider->getNetwork()
                         .parseAddress(options.ip.c_str(), options.port)
                         .wait(io.waitScope);
      receiver_ = address->listen();
    } catch (const kj::Exception& ex) {
      throw RpcError("open the port",
                     options.ip + ":" + std::to_string(options.port),
                     ex.getDescription().cStr());
    }
    tasks_.add(AcceptLoop());
  }

  [[nodiscard]] std::uint16_t port() { return receiver_->getPort(); }

 private:
  kj::Promise<void> AcceptLoop() {
    return receiver_->accept().then(
        [this](kj::Own<kj::AsyncIoStream>&& stream) {
          ServeConnection(kj::mv(stream));
          return AcceptLoop();
        },
        [this](kj::Exception&& ex) {
          Log(LogLevel::kWarning, "rpc_accept_failed",
              {{"why", ex.getDescription().cStr()}});
          return timer_.afterDelay(kAcceptPause.count() * kj::MILLISECONDS)
              .then([this] { return AcceptLoop(); });
        });
  }

  void ServeConnection(kj::Own<kj::AsyncIoStream> stream) {
    if (open_connections_ >= options_.max_connections) {
      ++counters_->rejected;
      Log(LogLevel::kWarning, "rpc_connection_rejected",
          {{"why", "connection limit reached"},
           {"limit", std::uint64_t{options_.max_connections}}});
      return;
    }
    ++open_connections_;
    auto connection = kj::heap<Connection>(
        kj::mv(stream), counters_, options_.max_message_bytes, bootstrap_);
    auto end = connection->network.onDisconnect().exclusiveJoin(
        WaitUntilIdle(connection.get(), 0));
    tasks_.add(end.attach(kj::mv(connection),
                          kj::defer([this] { --open_connections_; })));
  }

  /// \brief Resolves after an idle period without any read or write on the
  /// connection.
  /// \param operations_before Number of reads and writes when the period began.
  kj::Promise<void> WaitUntilIdle(Connection* connection,
                                  std::uint64_t operations_before) {
    return timer_.afterDelay(options_.idle_timeout.count() * kj::MILLISECONDS)
        .then([this, connection, operations_before]() -> kj::Promise<void> {
          const std::uint64_t now = connection->stream.operations();
          if (now == operations_before) {
            return kj::READY_NOW;
          }
          return WaitUntilIdle(connection, now);
        });
  }

  void taskFailed(kj::Exception&& ex) override {
    Log(LogLevel::kDebug, "rpc_connection_failed",
        {{"why", ex.getDescription().cStr()}});
  }

  kj::Timer& timer_;
  RpcListenerOptions options_;
  capnp::Capability::Client bootstrap_;
  TcpCounters* counters_;
  kj::Own<kj::ConnectionReceiver> receiver_;
  std::uint32_t open_connections_ = 0;
  kj::TaskSet tasks_;
};

RpcListener::RpcListener(kj::AsyncIoContext& io,
                         const RpcListenerOptions& options,
                         capnp::Capability::Client bootstrap,
                         TcpCounters* counters)
    : impl_(std::make_unique<Impl>(io, options, kj::mv(bootstrap), counters)) {}

RpcListener::~RpcListener() = default;

std::uint16_t RpcListener::port() const noexcept {
  return impl_->port();
}

}  // namespace cassiabend
