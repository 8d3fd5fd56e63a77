#include "cassiabend/http/call_server.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <unordered_map>
#include <utility>
#include <variant>

#include "cassiabend/base/error.h"
#include "cassiabend/base/log.h"
#include "cassiabend/http/call_headers.h"
#include "cassiabend/http/call_table.h"
#include "cassiabend/http/destination_table.h"
#include "cassiabend/http/headers.h"
#include "cassiabend/http/message_rules.h"
#include "cassiabend/http/prober.h"
#include "cassiabend/http/server_session.h"
#include "cassiabend/http/session_link.h"
#include "cassiabend/http/system_answers.h"

namespace cassiabend {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

/// Incoming connections outlive the idle ones of the other end, so that these
/// are closed by the end that would reuse them.
constexpr int kIncomingIdleFactor = 2;
constexpr Milliseconds kAcceptPause{50};
/// What the system's own headers may add to a caller's.
constexpr std::uint32_t kPeerHeaderBytes = 4 * 1024;
/// Connections to the upstream that are opened ahead.
constexpr std::uint32_t kPreparedConnections = 2;
constexpr std::uint16_t kBadRequest = 400;
constexpr std::uint16_t kHeaderTooLarge = 431;

tcp::endpoint EndpointOf(const std::string& ip, std::uint16_t port) {
  error_code ec;
  const auto address = boost::asio::ip::make_address(ip, ec);
  if (ec) {
    throw HttpError("read an address", ip, ec.message());
  }
  return {address, port};
}

SessionOptions SessionOptionsOf(const CallServerOptions& options) {
  return {
      .limits = {.header_bytes = options.max_header_bytes + kPeerHeaderBytes,
                 .body_bytes = options.max_request_body_bytes},
      .progress_timeout = options.progress_timeout,
      .idle_timeout = options.idle_timeout * kIncomingIdleFactor,
      .max_held_bytes = options.max_held_bytes};
}

PoolOptions PoolOptionsOf(const CallServerOptions& options) {
  return {.connect_timeout = options.connect_timeout,
          .idle_timeout = options.idle_timeout,
          .idle_connections = options.idle_connections,
          .max_header_bytes = options.max_header_bytes + kPeerHeaderBytes};
}

DestinationOptions DestinationOptionsOf(const CallServerOptions& options) {
  DestinationOptions out{.progress_timeout = options.progress_timeout,
                         .held_answer_bytes = options.held_answer_bytes,
                         .prepared_connections = kPreparedConnections,
                         .delivered_limit_bytes = options.max_held_bytes / 2};
  if (options.upstream_port != 0) {
    out.upstream = EndpointOf(options.upstream_ip, options.upstream_port);
  }
  return out;
}

}  // namespace

class CallServer::Impl final : public std::enable_shared_from_this<Impl>,
                               private SessionHandler {
 public:
  Impl(boost::asio::io_context& io,
       const CallServerOptions& options,
       EventSink* sink)
      : io_(io),
        options_(options),
        held_bytes_(new HeldBytes),
        ticks_(io),
        pool_(io, &ticks_, PoolOptionsOf(options)),
        destination_(&pool_, DestinationOptionsOf(options), held_bytes_, sink),
        calls_(options.self,
               &pool_,
               options.progress_timeout,
               held_bytes_,
               &destination_,
               &next_id_,
               sink),
        acceptor_(io),
        accept_timer_(io) {
    Listen();
    if (options.upstream_port != 0 && !options.health_path.empty()) {
      prober_ = std::make_unique<Prober>(
          io, &pool_,
          ProbeOptions{.endpoint = EndpointOf(options.upstream_ip,
                                              options.upstream_port),
                       .path = options.health_path,
                       .prepared_connections = kPreparedConnections,
                       .period = options.probe_period},
          sink);
    }
  }

  void Start() {
    ticks_.Start();
    Accept();
    if (prober_ != nullptr) {
      prober_->Start();
    }
  }

  [[nodiscard]] std::uint16_t call_port() const noexcept { return call_port_; }

  [[nodiscard]] CallServerCounts counts() const noexcept {
    CallServerCounts counts = counts_;
    counts.open_connections = sessions_.size();
    counts.held_bytes = held_bytes_->n;
    return counts;
  }

  void Execute(const CallEffect& effect) {
    std::visit([this](const auto& it) { Dispatch(it); }, effect);
  }

  void StopAccepting() {
    TakeWaitingConnections();
    StopListening();
    const auto sessions = sessions_;
    for (const auto& [session, owner] : sessions) {
      session->EndAfterRequest();
    }
  }

  void Close() {
    is_closed_ = true;
    StopListening();
    prober_ = nullptr;
    const auto sessions = std::exchange(sessions_, {});
    for (const auto& [session, owner] : sessions) {
      session->Close();
    }
    calls_.Close();
    destination_.Close();
    pool_.Close();
    ticks_.Stop();
  }

 private:
  void Listen() {
    const tcp::endpoint endpoint =
        EndpointOf(options_.self.ip, options_.call_port);
    const std::string where =
        options_.self.ip + ":" + std::to_string(options_.call_port);
    try {
      acceptor_.open(endpoint.protocol());
      acceptor_.set_option(tcp::acceptor::reuse_address(true));
      acceptor_.bind(endpoint);
      acceptor_.listen();
      call_port_ = acceptor_.local_endpoint().port();
    } catch (const boost::system::system_error& error) {
      throw HttpError("open the call port", where, error.code().message());
    }
  }

  void Accept() {
    acceptor_.async_accept(
        [weak = weak_from_this()](const error_code& ec, tcp::socket socket) {
          const std::shared_ptr<Impl> self = weak.lock();
          if (self == nullptr || self->is_closed_) {
            return;
          }
          // One that was accepted before the stop is still served.
          if (!ec) {
            self->TakeConnection(std::move(socket));
          }
          if (!self->is_accepting_) {
            return;
          }
          if (ec) {
            self->PauseAccepting(ec);
          } else {
            self->Accept();
          }
        });
  }

  /// \brief Takes the connections that the system has accepted already: their
  /// ends may have sent a request, and must not find it dropped.
  void TakeWaitingConnections() {
    error_code ec;
    acceptor_.non_blocking(true, ec);
    while (!ec) {
      tcp::socket socket(io_);
      acceptor_.accept(socket, ec);
      if (!ec) {
        TakeConnection(std::move(socket));
      }
    }
  }

  void StopListening() {
    is_accepting_ = false;
    error_code ignored;
    acceptor_.close(ignored);
    accept_timer_.cancel();
  }

  /// \brief Waits a little where the process is out of descriptors.
  void PauseAccepting(const error_code& error) {
    Log(LogLevel::kWarning, "accept_failed", {{"why", error.message()}});
    accept_timer_.expires_after(kAcceptPause);
    accept_timer_.async_wait([weak = weak_from_this()](const error_code& ec) {
      const std::shared_ptr<Impl> self = weak.lock();
      if (self != nullptr && !ec && self->is_accepting_) {
        self->Accept();
      }
    });
  }

  void TakeConnection(tcp::socket socket) {
    ++counts_.connections;
    if (sessions_.size() >= options_.max_connections) {
      ++counts_.rejected_requests;
      return;
    }
    const RefPtr<ServerSession> session(
        new ServerSession(std::move(socket), &ticks_,
                          SessionOptionsOf(options_), held_bytes_, this));
    sessions_.emplace(session.get(), session);
    if (!is_accepting_) {
      session->EndAfterRequest();
    }
    session->Start();
  }

  void OnRequest(ServerSession& session, RefPtr<HeldRequest> request) override {
    session.set_exchange(next_id_++);
    const std::string wrong = NormalizeTarget(&request->head());
    if (!wrong.empty()) {
      RefuseRequest(session, kBadRequest, wrong);
      return;
    }
    if (IsPeerRequest(request->head())) {
      TakePeerRequest(session, std::move(request));
      return;
    }
    if (request->head().wire_bytes > options_.max_header_bytes) {
      RefuseRequest(session, kHeaderTooLarge, "the header is too large");
      return;
    }
    CallFacts facts = ReadCallFacts(request->head());
    StripConnectionHeaders(&request->head());
    StripSystemHeaders(&request->head());
    calls_.Arrive(session.exchange(), std::move(facts), std::move(request),
                  session);
  }

  void TakePeerRequest(ServerSession& session, RefPtr<HeldRequest> request) {
    const auto peer = ReadPeerRequest(request->head());
    if (!peer.has_value()) {
      RefuseRequest(session, kBadRequest,
                    "the headers of the attempt are not well formed");
      return;
    }
    StripConnectionHeaders(&request->head());
    StripSystemHeaders(&request->head());
    destination_.Arrive(session.exchange(), *peer, std::move(request),
                        std::make_unique<SessionLink>(session));
  }

  void RefuseRequest(ServerSession& session,
                     std::uint16_t status,
                     std::string_view why) {
    ++counts_.rejected_requests;
    session.Reply(RefusalHead(status),
                  ExplanationBody(kOutcomeNotRun,
                                  NameOf(NotRunReason::kBadRequest), why));
  }

  void OnAnswerEnd(ServerSession& session, bool complete) override {
    const std::uint64_t id = session.exchange();
    counts_.relayed_bytes += session.relayed_bytes();
    if (calls_.Has(id)) {
      calls_.AnswerEnded(id, complete);
    } else if (complete) {
      destination_.LinkDone(id);
    } else {
      destination_.LinkGone(id);
    }
  }

  void OnPeerGone(ServerSession& session) override {
    const std::uint64_t id = session.exchange();
    if (calls_.Has(id)) {
      calls_.CallerLeft(id);
    } else {
      destination_.LinkGone(id);
    }
  }

  void OnRefused() override { ++counts_.rejected_requests; }

  void OnSessionEnd(ServerSession& session) override {
    sessions_.erase(&session);
  }

  void Dispatch(const SendAttempt& effect) { calls_.Execute(effect); }
  void Dispatch(const RelayAnswer& effect) { calls_.Execute(effect); }
  void Dispatch(const DropAttempt& effect) { calls_.Execute(effect); }
  void Dispatch(const AnswerNotRun& effect) { calls_.Execute(effect); }
  void Dispatch(const AnswerUnknown& effect) { calls_.Execute(effect); }
  void Dispatch(const CallEnded& effect) { calls_.Execute(effect); }
  void Dispatch(const StartUpstream& effect) { destination_.Execute(effect); }
  void Dispatch(const CancelUpstream& effect) { destination_.Execute(effect); }
  void Dispatch(const BindAnswer& effect) { destination_.Execute(effect); }
  void Dispatch(const ReplyNotRun& effect) { destination_.Execute(effect); }
  void Dispatch(const ReplyStillRunning& effect) {
    destination_.Execute(effect);
  }
  void Dispatch(const ReplyUnknown& effect) { destination_.Execute(effect); }
  void Dispatch(const ReleaseAttempt& effect) { destination_.Execute(effect); }
  /// \brief Effects for other parts of the node.
  template <typename Other>
  void Dispatch(const Other& /*effect*/) {}

  boost::asio::io_context& io_;
  CallServerOptions options_;
  RefPtr<HeldBytes> held_bytes_;
  TickList ticks_;
  OutgoingPool pool_;
  /// Numbers of calls and links.
  std::uint64_t next_id_ = 1;
  DestinationTable destination_;
  CallTable calls_;
  std::unique_ptr<Prober> prober_;
  tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_timer_;
  std::unordered_map<ServerSession*, RefPtr<ServerSession>> sessions_;
  CallServerCounts counts_;
  std::uint16_t call_port_ = 0;
  bool is_accepting_ = true;
  bool is_closed_ = false;
};

CallServer::CallServer(boost::asio::io_context& io,
                       const CallServerOptions& options,
                       EventSink* sink)
    : impl_(std::make_shared<Impl>(io, options, sink)) {
  impl_->Start();
}

CallServer::~CallServer() {
  impl_->Close();
}

std::uint16_t CallServer::call_port() const noexcept {
  return impl_->call_port();
}

CallServerCounts CallServer::counts() const noexcept {
  return impl_->counts();
}

void CallServer::Execute(const CallEffect& effect) {
  impl_->Execute(effect);
}

void CallServer::StopAccepting() {
  impl_->StopAccepting();
}

void CallServer::Close() {
  impl_->Close();
}

}  // namespace cassiabend
