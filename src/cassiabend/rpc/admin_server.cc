#include "cassiabend/rpc/admin_server.h"

#include <utility>
#include <variant>

#include "cassiabend/rpc/admin_service.h"
#include "cassiabend/rpc/event_poster.h"
#include "cassiabend/rpc/kj_thread.h"
#include "cassiabend/rpc/rpc_listener.h"

namespace cassiabend {
namespace {

/// \brief The objects of the server that are used on the KJ thread only.
struct KjThreadState {
  KjThreadState(kj::AsyncIoContext& io,
                const AdminServerOptions& options,
                AdminBridge* bridge,
                TcpCounters* counters)
      : state(NewState(io, options)),
        listener(io,
                 {.ip = options.ip,
                  .port = options.port,
                  .max_connections = options.max_connections,
                  .max_message_bytes = options.max_message_bytes},
                 NewAdminService(bridge, state),
                 counters) {}
  KjThreadState(const KjThreadState&) = delete;
  KjThreadState& operator=(const KjThreadState&) = delete;
  ~KjThreadState() { state->replies->Close(); }

  static std::shared_ptr<AdminState> NewState(
      kj::AsyncIoContext& io,
      const AdminServerOptions& options) {
    auto state = std::make_shared<AdminState>();
    state->operators = options.operators;
    state->replies = std::make_shared<AdminReplies>(
        io.provider->getTimer(), options.max_waiting, options.request_timeout);
    return state;
  }

  std::shared_ptr<AdminState> state;
  RpcListener listener;
};

}  // namespace

class AdminServer::Impl {
 public:
  Impl(boost::asio::io_context& io,
       const AdminServerOptions& options,
       AdminCallbacks callbacks,
       EventSink* sink) {
    bridge_.poster = std::make_shared<EventPoster>(io, sink);
    bridge_.callbacks = std::move(callbacks);
    bridge_.send_reply = [this](AdminRequestId id, AdminReply reply) {
      SendReply(id, std::move(reply));
    };
    kj_.Run([&] {
      rpc_ =
          std::make_unique<KjThreadState>(kj_.io(), options, &bridge_, &bytes_);
      port_ = rpc_->listener.port();
    });
  }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;
  ~Impl() { Close(); }

  [[nodiscard]] std::uint16_t port() const noexcept { return port_; }

  void Execute(const ConfigEffect& effect) {
    std::visit([this](const auto& it) { ExecuteEffect(it); }, effect);
  }

  void SetOperators(std::vector<OperatorToken> operators) {
    // A request that is read after the return must not meet the old tokens.
    kj_.Run([&] {
      if (rpc_) {
        rpc_->state->operators = std::move(operators);
      }
    });
  }

  void Close() {
    bridge_.poster->Close();
    kj_.Run([this] { rpc_.reset(); });
  }

 private:
  /// \brief Runs `task` on the KJ thread unless the server is closed.
  void Post(std::function<void(KjThreadState& rpc)> task) {
    kj_.Post([this, task = std::move(task)] {
      if (rpc_) {
        task(*rpc_);
      }
    });
  }

  void SendReply(AdminRequestId id, AdminReply reply) {
    Post([id, reply = std::move(reply)](KjThreadState& rpc) {
      rpc.state->replies->Fulfill(id, reply);
    });
  }

  void ExecuteEffect(const CommitFinished& it) { SendReply(it.request, it); }
  void ExecuteEffect(const HistoryFinished& it) { SendReply(it.request, it); }
  void ExecuteEffect(const VersionFinished& it) { SendReply(it.request, it); }
  // Effects that other components execute.
  template <typename Other>
  void ExecuteEffect(const Other& /*it*/) {}

  AdminBridge bridge_;
  TcpCounters bytes_;
  std::uint16_t port_ = 0;
  /// Used on the thread of `kj_` only.
  std::unique_ptr<KjThreadState> rpc_;
  KjThread kj_;
};

AdminServer::AdminServer(boost::asio::io_context& io,
                         const AdminServerOptions& options,
                         AdminCallbacks callbacks,
                         EventSink* sink)
    : impl_(std::make_shared<Impl>(io, options, std::move(callbacks), sink)) {}

AdminServer::~AdminServer() {
  Close();
}

std::uint16_t AdminServer::port() const noexcept {
  return impl_->port();
}

void AdminServer::Execute(const ConfigEffect& effect) {
  impl_->Execute(effect);
}

void AdminServer::SetOperators(std::vector<OperatorToken> operators) {
  impl_->SetOperators(std::move(operators));
}

void AdminServer::Close() {
  impl_->Close();
}

}  // namespace cassiabend
