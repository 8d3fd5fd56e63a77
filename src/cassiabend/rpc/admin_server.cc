#include "cassiabend/rpc/admin_server.h"

#include <kj/timer.h>

#include <optional>
#include <utility>
#include <variant>

#include "cassiabend/base/error.h"
#include "cassiabend/base/log.h"
#include "cassiabend/model/codec.h"
#include "cassiabend/rpc/admin_codec.h"
#include "cassiabend/rpc/admin_scope.h"
#include "cassiabend/rpc/admin_tokens.h"
#include "cassiabend/rpc/event_poster.h"
#include "cassiabend/rpc/kj_thread.h"
#include "cassiabend/rpc/mesh_codec.h"
#include "cassiabend/rpc/pending_replies.h"
#include "cassiabend/rpc/rpc_listener.h"

namespace cassiabend {
namespace {

struct StatusFinished {
  FleetStatus status;
};

using AdminReply = std::
    variant<CommitFinished, HistoryFinished, VersionFinished, StatusFinished>;
using AdminReplies = PendingReplies<AdminReply>;

/// \brief What the RPC side shares with the Asio side.
struct Bridge {
  std::shared_ptr<EventPoster> poster;
  AdminCallbacks callbacks;
  /// Answers a request from the Asio thread.
  std::function<void(AdminRequestId id, AdminReply reply)> answer;
};

CommitResult Failure(CommitCode code,
                     std::string reason,
                     const ChangeId& change_id = {}) {
  CommitResult out;
  out.code = code;
  out.reason = std::move(reason);
  out.change_id = change_id;
  return out;
}

/// \brief Serves the operators' calls on the KJ thread.
class Service final : public schema::Admin::Server {
 public:
  Service(Bridge* bridge,
          AdminReplies* replies,
          const std::vector<OperatorToken>* operators)
      : bridge_(bridge), replies_(replies), operators_(operators) {}

  kj::Promise<void> commit(CommitContext context) override {
    const auto params = context.getParams();
    Change change;
    try {
      change = FromWire(params.getChange());
    } catch (const ModelError& ex) {
      return Refuse(context, Failure(CommitCode::kInvalid, ex.what()));
    }
    const bool dry_run = params.getChange().getDryRun();
    const ChangeId change_id = change.id;
    return Ask<CommitFinished>(
        context, change_id, [&](const OperatorToken& who, AdminRequestId id) {
          change.author = who.name;
          return [bridge = bridge_, who,
                  event = CommitRequested{id, std::move(change),
                                          dry_run}]() mutable {
            const RefPtr<const Snapshot> present = bridge->callbacks.newest();
            const Config* config = present ? &present->config() : nullptr;
            const auto refusal = ApplyScope(who, config, &event.change);
            Start(bridge, event, refusal);
          };
        });
  }

  kj::Promise<void> rollback(RollbackContext context) override {
    const auto params = context.getParams();
    const VersionNumber number = params.getNumber();
    const ChangeId change_id = FromWire(params.getChangeId());
    return Ask<CommitFinished>(
        context, change_id, [&](const OperatorToken& who, AdminRequestId id) {
          return [bridge = bridge_, who,
                  event = RollbackRequested{id, number, change_id, who.name}] {
            Start(bridge, event, CheckWholeScope(who, event.change_id));
          };
        });
  }

  kj::Promise<void> recover(RecoverContext context) override {
    const ChangeId change_id = FromWire(context.getParams().getChangeId());
    return Ask<CommitFinished>(
        context, change_id, [&](const OperatorToken& who, AdminRequestId id) {
          return [bridge = bridge_, who,
                  event = RecoverRequested{id, change_id, who.name}] {
            Start(bridge, event, CheckWholeScope(who, event.change_id));
          };
        });
  }

  kj::Promise<void> drain(DrainContext context) override {
    const auto params = context.getParams();
    const NodeId node{params.getIp().cStr(), params.getPeerPort()};
    return Ask<CommitFinished>(
        context, {}, [&](const OperatorToken& who, AdminRequestId id) {
          return [bridge = bridge_, who, node, id] {
            const auto refusal = CheckWholeScope(who, {});
            if (!refusal) {
              bridge->callbacks.drain(node);
            }
            bridge->answer(
                id, CommitFinished{id, refusal.value_or(CommitResult{})});
          };
        });
  }

  kj::Promise<void> config(ConfigContext context) override {
    const VersionNumber number = context.getParams().getNumber();
    return Ask<VersionFinished>(
        context, {}, [&](const OperatorToken& /*who*/, AdminRequestId id) {
          return [bridge = bridge_, number, id] {
            if (number != 0) {
              bridge->poster->Post(ConfigEvent(VersionRequested{id, number}));
              return;
            }
            VersionFinished reply{id, {}, bridge->callbacks.newest()};
            if (!reply.snapshot) {
              reply.result =
                  Failure(CommitCode::kNotFound, "no version is in force yet");
            }
            bridge->answer(id, reply);
          };
        });
  }

  kj::Promise<void> history(HistoryContext context) override {
    return Ask<HistoryFinished>(
        context, {}, [&](const OperatorToken& /*who*/, AdminRequestId id) {
          return [bridge = bridge_, id] {
            bridge->poster->Post(ConfigEvent(HistoryRequested{id}));
          };
        });
  }

  kj::Promise<void> status(StatusContext context) override {
    return Ask<StatusFinished>(
        context, {}, [&](const OperatorToken& /*who*/, AdminRequestId id) {
          return [bridge = bridge_, id] {
            bridge->answer(id, StatusFinished{bridge->callbacks.status()});
          };
        });
  }

 private:
  /// \brief On the Asio thread: hands a change to the core, or refuses it.
  template <typename Event>
  static void Start(Bridge* bridge,
                    const Event& event,
                    const std::optional<CommitResult>& refusal) {
    if (refusal) {
      Log(LogLevel::kWarning, "admin_out_of_scope",
          {{"path", refusal->path}, {"why", refusal->reason}});
      bridge->answer(event.request, CommitFinished{event.request, *refusal});
      return;
    }
    bridge->poster->Post(ConfigEvent(event));
  }

  template <typename Context>
  static kj::Promise<void> Refuse(Context context, const CommitResult& result) {
    ToWire(result, context.getResults().initError());
    return kj::READY_NOW;
  }

  /// \brief Authenticates the caller, has the Asio thread carry out a task and
  /// writes the reply of kind `Reply` into the results.
  /// \param make_task Makes the task from the operator and the request's id.
  template <typename Reply, typename Context, typename MakeTask>
  kj::Promise<void> Ask(Context context,
                        const ChangeId& change_id,
                        const MakeTask& make_task) {
    const auto token = context.getParams().getToken();
    const OperatorToken* who =
        FindOperator(*operators_, {token.cStr(), token.size()});
    if (who == nullptr) {
      Log(LogLevel::kWarning, "admin_not_authorised",
          {{"why", token.size() == 0 ? "no token" : "unknown token"}});
      return Refuse(context,
                    Failure(CommitCode::kNotAuthorised,
                            "the token is missing or unknown", change_id));
    }
    if (replies_->IsFull()) {
      return Refuse(context,
                    Failure(CommitCode::kBusy, "too many requests are waiting",
                            change_id));
    }
    const AdminRequestId id = ++last_id_;
    bridge_->poster->PostTask(make_task(*who, id));
    return replies_->Wait(id).then(
        [context](kj::Own<AdminReply>&& reply) mutable {
          Write(std::get<Reply>(*reply), context.getResults());
        },
        [context, change_id](kj::Exception&& /*ex*/) mutable {
          ToWire(Failure(CommitCode::kOutcomeUnknown,
                         "the node gave no answer in time", change_id),
                 context.getResults().initError());
        });
  }

  template <typename Results>
  static void Write(const CommitFinished& reply, Results results) {
    ToWire(reply.result, results.initError());
    if constexpr (requires { results.initMark(); }) {
      ToWire(reply.result.mark, results.initMark());
    }
  }
  static void Write(const VersionFinished& reply,
                    schema::Admin::ConfigResults::Builder results) {
    ToWire(reply.result, results.initError());
    if (reply.snapshot) {
      ToWire(reply.snapshot->config(), results.initConfig());
    }
  }
  static void Write(const HistoryFinished& reply,
                    schema::Admin::HistoryResults::Builder results) {
    ToWire(reply.result, results.initError());
    auto entries =
        results.initEntries(static_cast<unsigned>(reply.entries.size()));
    unsigned i = 0;
    for (const HistoryEntry& it : reply.entries) {
      ToWire(it, entries[i++]);
    }
  }
  static void Write(const StatusFinished& reply,
                    schema::Admin::StatusResults::Builder results) {
    ToWire(CommitResult{}, results.initError());
    ToWire(reply.status.mark, results.initMark());
    auto nodes =
        results.initNodes(static_cast<unsigned>(reply.status.members.size()));
    unsigned i = 0;
    for (const MemberView& it : reply.status.members) {
      ToWire(it, nodes[i++]);
    }
  }

  Bridge* bridge_;
  AdminReplies* replies_;
  const std::vector<OperatorToken>* operators_;
  AdminRequestId last_id_ = 0;
};

/// \brief The part of the server that lives on the KJ thread.
struct RpcSide {
  RpcSide(kj::AsyncIoContext& io,
          const AdminServerOptions& options,
          Bridge* bridge,
          TcpCounters* counters)
      : operators(options.operators),
        replies(io.provider->getTimer(),
                options.max_waiting,
                options.request_timeout),
        listener(io,
                 {.ip = options.ip,
                  .port = options.port,
                  .max_connections = options.max_connections,
                  .max_message_bytes = options.max_message_bytes},
                 kj::heap<Service>(bridge, &replies, &operators),
                 counters) {}

  std::vector<OperatorToken> operators;
  AdminReplies replies;
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
    bridge_.answer = [this](AdminRequestId id, AdminReply reply) {
      Answer(id, std::move(reply));
    };
    kj_.Run([&] {
      rpc_ = std::make_unique<RpcSide>(kj_.io(), options, &bridge_, &bytes_);
      port_ = rpc_->listener.port();
    });
  }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;
  ~Impl() { Close(); }

  [[nodiscard]] std::uint16_t port() const noexcept { return port_; }

  void Execute(const ConfigEffect& effect) {
    std::visit([this](const auto& it) { Carry(it); }, effect);
  }

  void SetOperators(std::vector<OperatorToken> operators) {
    Post([operators = std::move(operators)](RpcSide& rpc) {
      rpc.operators = operators;
    });
  }

  void Close() {
    bridge_.poster->Close();
    kj_.Run([this] { rpc_.reset(); });
  }

 private:
  /// \brief Runs `task` on the KJ thread unless the server is closed.
  void Post(std::function<void(RpcSide& rpc)> task) {
    kj_.Post([this, task = std::move(task)] {
      if (rpc_) {
        task(*rpc_);
      }
    });
  }

  void Answer(AdminRequestId id, AdminReply reply) {
    Post([id, reply = std::move(reply)](RpcSide& rpc) {
      rpc.replies.Answer(id, reply);
    });
  }

  void Carry(const CommitFinished& it) { Answer(it.request, it); }
  void Carry(const HistoryFinished& it) { Answer(it.request, it); }
  void Carry(const VersionFinished& it) { Answer(it.request, it); }
  // Effects that are not for this server.
  template <typename Other>
  void Carry(const Other& /*it*/) {}

  Bridge bridge_;
  TcpCounters bytes_;
  std::uint16_t port_ = 0;
  /// Lives on the thread of `kj_`.
  std::unique_ptr<RpcSide> rpc_;
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
