#include "cassiabend/rpc/admin_service.h"

#include <optional>
#include <utility>

#include "cassiabend/base/error.h"
#include "cassiabend/base/log.h"
#include "cassiabend/model/codec.h"
#include "cassiabend/rpc/admin_codec.h"
#include "cassiabend/rpc/admin_scope.h"
#include "cassiabend/rpc/admin_tokens.h"
#include "cassiabend/rpc/mesh_codec.h"

namespace cassiabend {
namespace {

CommitResult MakeFailure(CommitCode code,
                         std::string reason,
                         const ChangeId& change_id = {}) {
  CommitResult out;
  out.code = code;
  out.reason = std::move(reason);
  out.change_id = change_id;
  return out;
}

/// \brief Implements schema/admin.capnp on the KJ thread.
class AdminService final : public schema::Admin::Server {
 public:
  AdminService(AdminBridge* bridge, std::shared_ptr<AdminState> state)
      : bridge_(bridge), state_(std::move(state)) {}

  kj::Promise<void> commit(CommitContext context) override {
    const auto params = context.getParams();
    Change change;
    try {
      change = FromWire(params.getChange());
    } catch (const ModelError& ex) {
      return Refuse(context, MakeFailure(CommitCode::kInvalid, ex.what()));
    }
    const bool dry_run = params.getChange().getDryRun();
    const ChangeId change_id = change.id;
    return Dispatch<CommitFinished>(
        context, change_id, [&](const OperatorToken& who, AdminRequestId id) {
          change.author = who.name;
          return [bridge = bridge_, who,
                  event = CommitRequested{id, std::move(change),
                                          dry_run}]() mutable {
            const RefPtr<const Snapshot> current =
                bridge->callbacks.current_snapshot();
            const Config* config = current ? &current->config() : nullptr;
            const auto refusal = ApplyScope(who, config, &event.change);
            PostOrRefuse(bridge, event, refusal);
          };
        });
  }

  kj::Promise<void> rollback(RollbackContext context) override {
    const auto params = context.getParams();
    const VersionNumber number = params.getNumber();
    const ChangeId change_id = FromWire(params.getChangeId());
    return Dispatch<CommitFinished>(
        context, change_id, [&](const OperatorToken& who, AdminRequestId id) {
          return [bridge = bridge_, who,
                  event = RollbackRequested{id, number, change_id, who.name}] {
            PostOrRefuse(bridge, event,
                         CheckAllTeamsScope(who, event.change_id));
          };
        });
  }

  kj::Promise<void> recover(RecoverContext context) override {
    const ChangeId change_id = FromWire(context.getParams().getChangeId());
    return Dispatch<CommitFinished>(
        context, change_id, [&](const OperatorToken& who, AdminRequestId id) {
          return [bridge = bridge_, who,
                  event = RecoverRequested{id, change_id, who.name}] {
            PostOrRefuse(bridge, event,
                         CheckAllTeamsScope(who, event.change_id));
          };
        });
  }

  kj::Promise<void> drain(DrainContext context) override {
    const auto params = context.getParams();
    const NodeId node{params.getIp().cStr(), params.getPeerPort()};
    return Dispatch<CommitFinished>(
        context, {}, [&](const OperatorToken& who, AdminRequestId id) {
          return [bridge = bridge_, who, node, id] {
            auto refusal = CheckAllTeamsScope(who, {});
            if (!refusal && !bridge->callbacks.drain(node)) {
              refusal = MakeFailure(CommitCode::kNotFound,
                                    ToString(node) + " is no member");
            }
            bridge->send_reply(
                id, CommitFinished{id, refusal.value_or(CommitResult{})});
          };
        });
  }

  kj::Promise<void> config(ConfigContext context) override {
    const VersionNumber number = context.getParams().getNumber();
    return Dispatch<VersionFinished>(
        context, {}, [&](const OperatorToken& /*who*/, AdminRequestId id) {
          return [bridge = bridge_, number, id] {
            if (number != 0) {
              bridge->poster->Post(ConfigEvent(VersionRequested{id, number}));
              return;
            }
            VersionFinished reply{id, {}, bridge->callbacks.current_snapshot()};
            if (!reply.snapshot) {
              reply.result = MakeFailure(CommitCode::kNotFound,
                                         "no version is in force yet");
            }
            bridge->send_reply(id, reply);
          };
        });
  }

  kj::Promise<void> history(HistoryContext context) override {
    return Dispatch<HistoryFinished>(
        context, {}, [&](const OperatorToken& /*who*/, AdminRequestId id) {
          return [bridge = bridge_, id] {
            bridge->poster->Post(ConfigEvent(HistoryRequested{id}));
          };
        });
  }

  kj::Promise<void> status(StatusContext context) override {
    return Dispatch<StatusFinished>(
        context, {}, [&](const OperatorToken& /*who*/, AdminRequestId id) {
          return [bridge = bridge_, id] {
            bridge->send_reply(id, StatusFinished{bridge->callbacks.status()});
          };
        });
  }

 private:
  /// \brief Posts the request to the core, or replies with the refusal if there
  /// is one. Called on the Asio thread.
  template <typename Event>
  static void PostOrRefuse(AdminBridge* bridge,
                           const Event& event,
                           const std::optional<CommitResult>& refusal) {
    if (refusal) {
      Log(LogLevel::kWarning, "admin_out_of_scope",
          {{"path", refusal->path}, {"why", refusal->reason}});
      bridge->send_reply(event.request,
                         CommitFinished{event.request, *refusal});
      return;
    }
    bridge->poster->Post(ConfigEvent(event));
  }

  template <typename Context>
  static kj::Promise<void> Refuse(Context context, const CommitResult& result) {
    ToWire(result, context.getResults().initError());
    return kj::READY_NOW;
  }

  /// \brief Authenticates the caller, runs a task on the Asio thread, waits for
  /// the reply of type `Reply` and writes it into the results.
  /// \param make_task Creates the task from the operator and the request's id.
  template <typename Reply, typename Context, typename MakeTask>
  kj::Promise<void> Dispatch(Context context,
                             const ChangeId& change_id,
                             const MakeTask& make_task) {
    // A disconnected caller needs no reply; the core still finishes the
    // request.
    context.allowCancellation();
    const auto token = context.getParams().getToken();
    const OperatorToken* who =
        FindOperator(state_->operators, {token.cStr(), token.size()});
    if (who == nullptr) {
      Log(LogLevel::kWarning, "admin_not_authorised",
          {{"why", token.size() == 0 ? "no token" : "unknown token"}});
      return Refuse(context,
                    MakeFailure(CommitCode::kNotAuthorised,
                                "the token is missing or unknown", change_id));
    }
    if (state_->replies->IsFull()) {
      return Refuse(context,
                    MakeFailure(CommitCode::kBusy,
                                "too many requests are waiting", change_id));
    }
    const AdminRequestId id = ++last_id_;
    bridge_->poster->PostTask(make_task(*who, id));
    return state_->replies->Wait(id).then(
        [context](kj::Own<AdminReply>&& reply) mutable {
          WriteResults(std::get<Reply>(*reply), context.getResults());
        },
        [context, change_id](kj::Exception&& /*ex*/) mutable {
          ToWire(MakeFailure(CommitCode::kOutcomeUnknown,
                             "the node gave no answer in time", change_id),
                 context.getResults().initError());
        });
  }

  template <typename Results>
  static void WriteResults(const CommitFinished& reply, Results results) {
    ToWire(reply.result, results.initError());
    if constexpr (requires { results.initMark(); }) {
      ToWire(reply.result.mark, results.initMark());
    }
  }
  static void WriteResults(const VersionFinished& reply,
                           schema::Admin::ConfigResults::Builder results) {
    ToWire(reply.result, results.initError());
    if (reply.snapshot) {
      ToWire(reply.snapshot->config(), results.initConfig());
    }
  }
  static void WriteResults(const HistoryFinished& reply,
                           schema::Admin::HistoryResults::Builder results) {
    ToWire(reply.result, results.initError());
    auto entries =
        results.initEntries(static_cast<unsigned>(reply.entries.size()));
    unsigned i = 0;
    for (const HistoryEntry& it : reply.entries) {
      ToWire(it, entries[i++]);
    }
  }
  static void WriteResults(const StatusFinished& reply,
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

  AdminBridge* bridge_;
  std::shared_ptr<AdminState> state_;
  AdminRequestId last_id_ = 0;
};

}  // namespace

schema::Admin::Client NewAdminService(AdminBridge* bridge,
                                      std::shared_ptr<AdminState> state) {
  return kj::heap<AdminService>(bridge, std::move(state));
}

}  // namespace cassiabend
