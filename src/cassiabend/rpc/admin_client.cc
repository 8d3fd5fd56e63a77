#include "cassiabend/rpc/admin_client.h"

#include <capnp/message.h>
#include <capnp/rpc-twoparty.h>
#include <capnp/rpc.h>
#include <kj/async-io.h>
#include <kj/timer.h>

#include <utility>

#include "cassiabend/base/error.h"
#include "cassiabend/model/codec.h"
#include "cassiabend/rpc/admin_codec.h"
#include "cassiabend/rpc/kj_thread.h"
#include "cassiabend/rpc/mesh_codec.h"
#include "cassiabend/rpc/rpc_listener.h"

namespace cassiabend {
namespace {

constexpr std::uint32_t kMaxMessageBytes = 64 * 1024 * 1024;

/// \brief Waits on the KJ thread for `promise`.
/// \throws kj::Exception when it fails or takes longer than `timeout`.
template <typename T>
T Wait(kj::AsyncIoContext& io, Milliseconds timeout, kj::Promise<T> promise) {
  return io.provider->getTimer()
      .timeoutAfter(timeout.count() * kj::MILLISECONDS, kj::mv(promise))
      .wait(io.waitScope);
}

/// \brief An RPC connection to one node. Used on a KJ thread only; its
/// functions block that thread until their results arrive.
class Channel {
 public:
  Channel(kj::AsyncIoContext& io,
          const NodeId& node,
          std::string token,
          Milliseconds timeout)
      : io_(io), token_(std::move(token)), timeout_(timeout) {
    auto connecting = io_.provider->getNetwork()
                          .parseAddress(node.ip.c_str(), node.peer_port)
                          .then([](kj::Own<kj::NetworkAddress>&& address) {
                            auto connected = address->connect();
                            return connected.attach(kj::mv(address));
                          });
    stream_ = Wait(io_, timeout_, kj::mv(connecting));
    network_ = kj::heap<capnp::TwoPartyVatNetwork>(
        *stream_, capnp::rpc::twoparty::Side::CLIENT,
        ReaderLimits(kMaxMessageBytes));
    auto& system = system_.emplace(capnp::makeRpcClient(*network_));
    capnp::MallocMessageBuilder message;
    auto server = message.initRoot<capnp::rpc::twoparty::VatId>();
    server.setSide(capnp::rpc::twoparty::Side::SERVER);
    admin_ = system.bootstrap(server).castAs<schema::Admin>();
  }

  /// \returns A request for `method` that carries the operator's token.
  template <typename Request>
  [[nodiscard]] Request NewRequest(Request (schema::Admin::Client::*method)(
      kj::Maybe<capnp::MessageSize> size_hint)) {
    Request request = (KJ_ASSERT_NONNULL(admin_).*method)(nullptr);
    request.setToken(token_);
    return request;
  }

  /// \brief Sends a request and waits for its reply.
  /// \param read Called with the reply when its error code is "ok".
  template <typename Request, typename Read>
  CommitResult SendAndWait(Request request, const Read& read) {
    auto reply = Wait(io_, timeout_, request.send().dropPipeline());
    CommitResult result = FromWire(reply.getError());
    if (result.code == CommitCode::kOk) {
      read(reply, &result);
    }
    return result;
  }

 private:
  kj::AsyncIoContext& io_;
  std::string token_;
  Milliseconds timeout_;
  kj::Own<kj::AsyncIoStream> stream_;
  kj::Own<capnp::TwoPartyVatNetwork> network_;
  kj::Maybe<capnp::RpcSystem<capnp::rpc::twoparty::VatId>> system_;
  kj::Maybe<schema::Admin::Client> admin_;
};

/// \brief Reads the mark of the version that a change created.
constexpr auto kReadMark = [](auto& reply, CommitResult* result) {
  result->mark = FromWire(reply.getMark());
};

constexpr auto kIgnoreReply = [](auto& /*reply*/, CommitResult* /*result*/) {};

}  // namespace

class AdminClient::Impl {
 public:
  Impl(const NodeId& node, std::string token, Milliseconds timeout)
      : address_(ToString(node)) {
    Run("connect to the node", [&] {
      channel_ =
          std::make_unique<Channel>(kj_.io(), node, std::move(token), timeout);
    });
  }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;
  ~Impl() {
    kj_.Run([this] { channel_.reset(); });
  }

  /// \brief Sends a request on the KJ thread and waits for its result.
  /// \param send_request Takes the `Channel`, returns the result.
  /// \throws RpcError when no reply arrives.
  template <typename Send>
  CommitResult Call(const Send& send_request) {
    CommitResult result;
    Run("ask the node", [&] { result = send_request(*channel_); });
    return result;
  }

 private:
  /// \brief Runs `task` on the KJ thread and rethrows its failures as
  /// `RpcError`.
  /// \param what The operation, for the error text.
  void Run(const std::string& what, const KjThread::Task& task) {
    try {
      kj_.Run(task);
    } catch (const Error& ex) {
      throw RpcError(what, address_, ex.why());
    }
  }

  std::string address_;
  /// Used on the thread of `kj_` only.
  std::unique_ptr<Channel> channel_;
  KjThread kj_;
};

AdminClient::AdminClient(const std::string& ip,
                         std::uint16_t port,
                         std::string token,
                         Milliseconds timeout)
    : impl_(
          std::make_unique<Impl>(NodeId{ip, port}, std::move(token), timeout)) {
}

AdminClient::~AdminClient() = default;

CommitResult AdminClient::Commit(const Change& change, bool dry_run) {
  return impl_->Call([&](Channel& channel) {
    auto request = channel.NewRequest(&schema::Admin::Client::commitRequest);
    ToWire(change, request.initChange());
    request.getChange().setDryRun(dry_run);
    return channel.SendAndWait(kj::mv(request), kReadMark);
  });
}

CommitResult AdminClient::Rollback(VersionNumber number,
                                   const ChangeId& change_id) {
  return impl_->Call([&](Channel& channel) {
    auto request = channel.NewRequest(&schema::Admin::Client::rollbackRequest);
    request.setNumber(number);
    ToWire(change_id, request.initChangeId());
    return channel.SendAndWait(kj::mv(request), kReadMark);
  });
}

CommitResult AdminClient::Recover(const ChangeId& change_id) {
  return impl_->Call([&](Channel& channel) {
    auto request = channel.NewRequest(&schema::Admin::Client::recoverRequest);
    ToWire(change_id, request.initChangeId());
    return channel.SendAndWait(kj::mv(request), kReadMark);
  });
}

CommitResult AdminClient::Drain(const NodeId& id) {
  return impl_->Call([&](Channel& channel) {
    auto request = channel.NewRequest(&schema::Admin::Client::drainRequest);
    request.setIp(id.ip);
    request.setPeerPort(id.peer_port);
    return channel.SendAndWait(kj::mv(request), kIgnoreReply);
  });
}

CommitResult AdminClient::GetConfig(VersionNumber number, Config* config) {
  return impl_->Call([&](Channel& channel) {
    auto request = channel.NewRequest(&schema::Admin::Client::configRequest);
    request.setNumber(number);
    return channel.SendAndWait(kj::mv(request), [&](auto& reply, auto* result) {
      *config = FromWire(reply.getConfig());
      result->mark = MarkOf(*config);
    });
  });
}

CommitResult AdminClient::GetStatus(FleetStatus* status) {
  return impl_->Call([&](Channel& channel) {
    auto request = channel.NewRequest(&schema::Admin::Client::statusRequest);
    return channel.SendAndWait(kj::mv(request), [&](auto& reply, auto* result) {
      status->mark = FromWire(reply.getMark());
      status->members.clear();
      for (const auto it : reply.getNodes()) {
        status->members.push_back(FromWire(it));
      }
      result->mark = status->mark;
    });
  });
}

CommitResult AdminClient::GetHistory(std::vector<HistoryEntry>* entries) {
  return impl_->Call([&](Channel& channel) {
    auto request = channel.NewRequest(&schema::Admin::Client::historyRequest);
    return channel.SendAndWait(kj::mv(request),
                               [&](auto& reply, auto* /*result*/) {
                                 entries->clear();
                                 for (const auto it : reply.getEntries()) {
                                   entries->push_back(FromWire(it));
                                 }
                               });
  });
}

}  // namespace cassiabend
