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
#include "cassiabend/rpc/mesh_codec.h"
#include "cassiabend/rpc/rpc_listener.h"

namespace cassiabend {
namespace {

constexpr std::uint32_t kMaxMessageBytes = 64 * 1024 * 1024;

}  // namespace

class AdminClient::Impl {
 public:
  Impl(const std::string& ip,
       std::uint16_t port,
       std::string token,
       Milliseconds timeout)
      : io_(kj::setupAsyncIo()),
        timer_(io_.provider->getTimer()),
        address_(ip + ":" + std::to_string(port)),
        token_(std::move(token)),
        timeout_(timeout) {
    try {
      Connect(ip, port);
    } catch (const kj::Exception& ex) {
      throw RpcError("connect to the node", address_,
                     ex.getDescription().cStr());
    }
  }

  /// \brief Sends a request and waits for its answer.
  /// \param request A request of the Admin interface.
  /// \param read Called with the answer when its error code is "ok".
  template <typename Request, typename Read>
  CommitResult Ask(Request request, const Read& read) {
    try {
      auto answer = Limit(request.send()).wait(io_.waitScope);
      CommitResult result = FromWire(answer.getError());
      if (result.code == CommitCode::kOk) {
        read(answer, &result);
      }
      return result;
    } catch (const kj::Exception& ex) {
      throw RpcError("ask the node", address_, ex.getDescription().cStr());
    }
  }

  template <typename Request>
  Request WithToken(Request request) {
    request.setToken(token_);
    return request;
  }

  [[nodiscard]] schema::Admin::Client& admin() {
    return KJ_ASSERT_NONNULL(admin_);
  }

 private:
  template <typename Promise>
  auto Limit(Promise&& promise) {
    return timer_.timeoutAfter(timeout_.count() * kj::MILLISECONDS,
                               kj::mv(promise));
  }

  void Connect(const std::string& ip, std::uint16_t port) {
    auto connecting = io_.provider->getNetwork()
                          .parseAddress(ip.c_str(), port)
                          .then([](kj::Own<kj::NetworkAddress>&& address) {
                            auto connected = address->connect();
                            return connected.attach(kj::mv(address));
                          });
    stream_ = Limit(kj::mv(connecting)).wait(io_.waitScope);
    network_ = kj::heap<capnp::TwoPartyVatNetwork>(
        *stream_, capnp::rpc::twoparty::Side::CLIENT,
        ReaderLimits(kMaxMessageBytes));
    auto& system = system_.emplace(capnp::makeRpcClient(*network_));
    capnp::MallocMessageBuilder message;
    auto server = message.initRoot<capnp::rpc::twoparty::VatId>();
    server.setSide(capnp::rpc::twoparty::Side::SERVER);
    admin_ = system.bootstrap(server).castAs<schema::Admin>();
  }

  kj::AsyncIoContext io_;
  kj::Timer& timer_;
  std::string address_;
  std::string token_;
  Milliseconds timeout_;
  kj::Own<kj::AsyncIoStream> stream_;
  kj::Own<capnp::TwoPartyVatNetwork> network_;
  kj::Maybe<capnp::RpcSystem<capnp::rpc::twoparty::VatId>> system_;
  kj::Maybe<schema::Admin::Client> admin_;
};

namespace {

/// \brief Reads the version that a change became.
constexpr auto kReadMark = [](auto& answer, CommitResult* result) {
  result->mark = FromWire(answer.getMark());
};

}  // namespace

AdminClient::AdminClient(const std::string& ip,
                         std::uint16_t port,
                         std::string token,
                         Milliseconds timeout)
    : impl_(std::make_unique<Impl>(ip, port, std::move(token), timeout)) {}

AdminClient::~AdminClient() = default;

CommitResult AdminClient::Commit(const Change& change, bool dry_run) {
  auto request = impl_->WithToken(impl_->admin().commitRequest());
  auto wire = request.initChange();
  ToWire(change, wire);
  wire.setDryRun(dry_run);
  return impl_->Ask(std::move(request), kReadMark);
}

CommitResult AdminClient::Rollback(VersionNumber number,
                                   const ChangeId& change_id) {
  auto request = impl_->WithToken(impl_->admin().rollbackRequest());
  request.setNumber(number);
  ToWire(change_id, request.initChangeId());
  return impl_->Ask(std::move(request), kReadMark);
}

CommitResult AdminClient::Recover(const ChangeId& change_id) {
  auto request = impl_->WithToken(impl_->admin().recoverRequest());
  ToWire(change_id, request.initChangeId());
  return impl_->Ask(std::move(request), kReadMark);
}

CommitResult AdminClient::Drain(const NodeId& id) {
  auto request = impl_->WithToken(impl_->admin().drainRequest());
  request.setIp(id.ip);
  request.setPeerPort(id.peer_port);
  return impl_->Ask(std::move(request),
                    [](auto& /*answer*/, CommitResult* /*result*/) {});
}

CommitResult AdminClient::GetConfig(VersionNumber number, Config* config) {
  auto request = impl_->WithToken(impl_->admin().configRequest());
  request.setNumber(number);
  return impl_->Ask(std::move(request),
                    [config](auto& answer, CommitResult* result) {
                      *config = FromWire(answer.getConfig());
                      result->mark = MarkOf(*config);
                    });
}

CommitResult AdminClient::GetStatus(FleetStatus* status) {
  auto request = impl_->WithToken(impl_->admin().statusRequest());
  return impl_->Ask(std::move(request),
                    [status](auto& answer, CommitResult* result) {
                      status->mark = FromWire(answer.getMark());
                      status->members.clear();
                      for (const auto it : answer.getNodes()) {
                        status->members.push_back(FromWire(it));
                      }
                      result->mark = status->mark;
                    });
}

CommitResult AdminClient::GetHistory(std::vector<HistoryEntry>* entries) {
  auto request = impl_->WithToken(impl_->admin().historyRequest());
  return impl_->Ask(std::move(request),
                    [entries](auto& answer, CommitResult* /*result*/) {
                      entries->clear();
                      for (const auto it : answer.getEntries()) {
                        entries->push_back(FromWire(it));
                      }
                    });
}

}  // namespace cassiabend
