#include "cassiabend/http/call_server.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <limits>
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
#include "cassiabend/http/peer_reply_connection.h"
#include "cassiabend/http/prober.h"
#include "cassiabend/http/server_session.h"
#include "cassiabend/http/system_answers.h"

namespace cassiabend {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

/// Incoming connections stay idle longer than the outgoing ones at their other
/// end, so that the end that would reuse a connection is the one to close it.
constexpr int kIncomingIdleFactor = 2;
/// Pause after a failed accept, such as when file descriptors run out.
constexpr Milliseconds kAcceptPause{50};
/// Time for which an idle caller's connection is kept beyond the configured
/// limit, so that a request sent just before the limit does not meet a closed
/// connection.
constexpr Milliseconds kIdleGrace{2'000};
/// Timeout of a probe that is not repeated.
constexpr Milliseconds kSingleProbeTimeout{500};
/// Bytes that the headers of this system may add to a caller's.
constexpr std::uint32_t kSystemHeaderBytes = 4 * 1024;
/// Longest head of a request from another node. The node that took it from the
/// caller has applied the operator's limit, perhaps that of a newer version.
constexpr std::uint32_t kMaxPeerHeaderBytes = 4 * 1024 * 1024;
/// Sending time from which a large answer is logged; the latency objectives of
/// downloads are about as long.
constexpr Milliseconds kSlowSendTime{1'000};
/// A change of the link's rate by more than 1/16 is reported to the reducer,
/// whose estimates are no finer.
constexpr std::uint64_t kRateChangeDivisor = 16;
constexpr std::uint16_t kBadRequest = 400;
constexpr std::uint16_t kHeaderTooLarge = 431;

tcp::endpoint ParseEndpoint(const std::string& ip, std::uint16_t port) {
  error_code ec;
  const auto address = boost::asio::ip::make_address(ip, ec);
  if (ec) {
    throw HttpError("parse an IP address", ip, ec.message());
  }
  return {address, port};
}

/// \returns The limit of a head to which this system has added its headers.
std::uint32_t WithSystemHeaders(std::uint32_t max_header_bytes) noexcept {
  constexpr std::uint32_t kMax = std::numeric_limits<std::uint32_t>::max();
  return std::min(max_header_bytes, kMax - kSystemHeaderBytes) +
         kSystemHeaderBytes;
}

SessionOptions SessionOptionsOf(const CallServerOptions& options) {
  return {
      .limits = {.header_bytes = WithSystemHeaders(options.max_header_bytes),
                 .body_bytes = options.max_request_body_bytes},
      .progress_timeout = options.progress_timeout,
      .idle_timeout = options.idle_timeout * kIncomingIdleFactor,
      .max_held_bytes = options.max_held_bytes,
      .header_timeout = options.progress_timeout,
      .max_pipelined = options.max_pipelined_requests};
}

/// \brief Options of a port that only other nodes use.
SessionOptions PeerSessionOptionsOf(const CallServerOptions& options) {
  SessionOptions out = SessionOptionsOf(options);
  if (options.caller_port != 0) {
    out.limits.header_bytes = kMaxPeerHeaderBytes;
  }
  return out;
}

/// \brief Replaces an option by a limit of the configuration, if that is set.
template <typename Value>
void OverrideIfSet(Value bound, Value* option) {
  *option = bound == Value{} ? *option : bound;
}

PoolOptions PoolOptionsOf(const CallServerOptions& options) {
  return {.connect_timeout = options.connect_timeout,
          .idle_timeout = options.idle_timeout,
          .idle_connections = options.idle_connections,
          .max_header_bytes = WithSystemHeaders(options.max_header_bytes)};
}

DestinationOptions DestinationOptionsOf(const CallServerOptions& options) {
  DestinationOptions out{.progress_timeout = options.progress_timeout,
                         .call_protocol = options.call_protocol,
                         .whole_answer_bytes = options.whole_answer_bytes,
                         .held_answer_bytes = options.held_answer_bytes,
                         .prepared_connections = options.prepared_connections,
                         .delivered_limit_bytes = options.max_held_bytes / 2};
  if (options.upstream_port != 0) {
    out.upstream = ParseEndpoint(options.upstream_ip, options.upstream_port);
  }
  return out;
}

}  // namespace

class CallServer::Impl final : public std::enable_shared_from_this<Impl>,
                               private SessionHandler {
 public:
  Impl(boost::asio::io_context& io,
       const Clock& clock,
       const CallServerOptions& options,
       EventSink* sink)
      : io_(io),
        options_(options),
        max_header_bytes_(options.max_header_bytes),
        buffered_bytes_(new BufferedBytes),
        timeouts_(io),
        pacer_(clock, options.link_kilobits),
        sink_(sink),
        pool_(io, clock, &timeouts_, PoolOptionsOf(options)),
        destination_(&pool_,
                     DestinationOptionsOf(options),
                     buffered_bytes_,
                     sink),
        calls_(options.self,
               &pool_,
               &pacer_,
               options.progress_timeout,
               buffered_bytes_,
               &destination_,
               &next_id_,
               options.call_protocol,
               options.traffic,
               sink),
        peers_{.acceptor = tcp::acceptor(io),
               .timer = boost::asio::steady_timer(io),
               .session = PeerSessionOptionsOf(options)},
        callers_{.acceptor = tcp::acceptor(io),
                 .timer = boost::asio::steady_timer(io),
                 .session = SessionOptionsOf(options)} {
    Listen(options_.call_port, &peers_);
    if (options_.caller_port != 0) {
      callers_.session.adds_outcome_header =
          options_.call_protocol->adds_outcome_header();
      callers_.session.accepts_peers = false;
      Listen(options_.caller_port, &callers_);
    }
    if (options.upstream_port != 0) {
      prober_ = std::make_unique<Prober>(
          io, &pool_,
          ProbeOptions{.endpoint = ParseEndpoint(options.upstream_ip,
                                                 options.upstream_port),
                       .path = options.health_path,
                       .prepared_connections = options.prepared_connections,
                       .period = options.probe_period > Milliseconds(0)
                                     ? options.probe_period
                                     : kSingleProbeTimeout,
                       .call_protocol = options.call_protocol},
          sink);
    }
  }

  void Start() {
    timeouts_.Start([this] {
      pacer_.Tick();
      ReportLinkLoad();
    });
    Accept(&peers_);
    if (callers_.acceptor.is_open()) {
      Accept(&callers_);
    }
    if (prober_ != nullptr && options_.probe_period > Milliseconds(0) &&
        !options_.health_path.empty()) {
      prober_->Start();
    }
  }

  [[nodiscard]] std::uint16_t call_port() const noexcept { return peers_.port; }

  [[nodiscard]] CallServerCounts counts() const noexcept {
    CallServerCounts counts = counts_;
    counts.open_connections = sessions_.size();
    counts.held_bytes = buffered_bytes_->total;
    counts.link_waiting_bytes = pacer_.pending_bytes();
    return counts;
  }

  void Execute(const CallEffect& effect) {
    std::visit([this](const auto& it) { Dispatch(it); }, effect);
  }

  void SetLimits(const CallerLimits& limits) {
    Listener* listener = callers_.acceptor.is_open() ? &callers_ : &peers_;
    SessionOptions& session = listener->session;
    OverrideIfSet(limits.header_timeout, &session.header_timeout);
    if (limits.max_header_bytes != 0) {
      max_header_bytes_ = limits.max_header_bytes;
      session.limits.header_bytes = WithSystemHeaders(max_header_bytes_);
      ParseLimits& peer_limits = peers_.session.limits;
      peer_limits.header_bytes =
          std::max(peer_limits.header_bytes, session.limits.header_bytes);
      pool_.SetMaxHeaderBytes(session.limits.header_bytes);
    }
    if (limits.max_body_bytes != 0) {
      session.limits.body_bytes = limits.max_body_bytes;
    }
    if (limits.idle_timeout > Milliseconds(0)) {
      // Callers may reuse a connection until this limit, so it closes later.
      session.idle_timeout = limits.idle_timeout + kIdleGrace;
    }
    for (const auto& [open, owner] : sessions_) {
      open->SetOptions(IsFromCaller(*open) ? callers_.session : peers_.session);
    }
  }

  void AnnounceShutdown() {
    is_shutting_down_ = true;
    for (const auto& [session, owner] : sessions_) {
      if (IsFromCaller(*session)) {
        session->EndAfterRequest();
      }
    }
  }

  void StopAccepting() {
    AcceptBacklog(&peers_);
    AcceptBacklog(&callers_);
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
    calls_.LogOpenCalls();
    destination_.LogOpenConnections();
    const auto sessions = std::exchange(sessions_, {});
    for (const auto& [session, owner] : sessions) {
      session->Close();
    }
    calls_.Close();
    destination_.Close();
    pool_.Close();
    timeouts_.Stop();
  }

 private:
  /// \brief One port and the options of the connections accepted on it.
  struct Listener {
    tcp::acceptor acceptor;
    boost::asio::steady_timer timer;
    SessionOptions session;
    std::uint16_t port = 0;
  };

  void Listen(std::uint16_t port, Listener* listener) {
    const tcp::endpoint endpoint = ParseEndpoint(options_.self.ip, port);
    const std::string where = options_.self.ip + ":" + std::to_string(port);
    tcp::acceptor& acceptor = listener->acceptor;
    try {
      acceptor.open(endpoint.protocol());
      acceptor.set_option(tcp::acceptor::reuse_address(true));
      acceptor.bind(endpoint);
      acceptor.listen();
      listener->port = acceptor.local_endpoint().port();
    } catch (const boost::system::system_error& error) {
      throw HttpError("open the call port", where, error.code().message());
    }
  }

  void Accept(Listener* listener) {
    listener->acceptor.async_accept(
        [weak = weak_from_this(), listener](const error_code& ec,
                                            tcp::socket socket) {
          const std::shared_ptr<Impl> self = weak.lock();
          if (self == nullptr || self->is_closed_) {
            return;
          }
          // First, so that the port goes on after an exception.
          if (self->is_accepting_ && ec) {
            self->PauseAccepting(ec, listener);
          } else if (self->is_accepting_) {
            self->Accept(listener);
          }
          // A connection that was accepted before the stop is still served.
          if (!ec) {
            self->StartSession(std::move(socket), *listener);
          }
        });
  }

  /// \brief Accepts the connections that wait in the kernel's backlog: their
  /// peers may have sent a request, which closing the port would drop.
  void AcceptBacklog(Listener* listener) {
    error_code ec;
    listener->acceptor.non_blocking(true, ec);
    while (!ec) {
      tcp::socket socket(io_);
      listener->acceptor.accept(socket, ec);
      if (!ec) {
        StartSession(std::move(socket), *listener);
      }
    }
  }

  void StopListening() {
    is_accepting_ = false;
    for (Listener* it : {&peers_, &callers_}) {
      error_code ignored;
      it->acceptor.close(ignored);
      it->timer.cancel();
    }
  }

  /// \brief Accepts again after a pause, as file descriptors may have run out.
  void PauseAccepting(const error_code& error, Listener* listener) {
    Log(LogLevel::kWarning, "accept_failed", {{"why", error.message()}});
    listener->timer.expires_after(kAcceptPause);
    listener->timer.async_wait(
        [weak = weak_from_this(), listener](const error_code& ec) {
          const std::shared_ptr<Impl> self = weak.lock();
          if (self != nullptr && !ec && self->is_accepting_) {
            self->Accept(listener);
          }
        });
  }

  void StartSession(tcp::socket socket, const Listener& listener) {
    ++counts_.connections;
    if (sessions_.size() >= options_.max_connections) {
      ++counts_.rejected_requests;
      return;
    }
    const RefPtr<ServerSession> session(
        new ServerSession(std::move(socket), &timeouts_, listener.session,
                          buffered_bytes_, &pacer_, this));
    sessions_.emplace(session.get(), session);
    if (!is_accepting_ || (is_shutting_down_ && IsFromCaller(*session))) {
      session->EndAfterRequest();
    }
    session->Start();
  }

  /// \brief Reports the load of the network link to the reducer when it has
  /// changed.
  void ReportLinkLoad() {
    const LinkLoadChanged load{pacer_.pending_bytes(), pacer_.rate(),
                               pacer_.idle_rate()};
    const std::uint64_t rate_change =
        std::max(load.bytes_per_second, reported_link_load_.bytes_per_second) -
        std::min(load.bytes_per_second, reported_link_load_.bytes_per_second);
    const bool has_changed =
        load.waiting_bytes != reported_link_load_.waiting_bytes ||
        rate_change > reported_link_load_.bytes_per_second / kRateChangeDivisor;
    if (load.bytes_per_second == 0 || !has_changed) {
      return;
    }
    reported_link_load_ = load;
    sink_->Post(CallEvent(load));
  }

  /// \returns Whether a connection is certainly a caller's: on a port that is
  /// shared with nodes this is not known.
  [[nodiscard]] static bool IsFromCaller(const ServerSession& session) {
    return !session.accepts_peers();
  }

  void OnRequest(ServerSession& session,
                 ServerExchange& exchange,
                 RefPtr<BufferedRequest> request) override {
    exchange.set_id(next_id_++);
    counts_.pipelined_requests += exchange.has_turn() ? 0 : 1;
    const std::string wrong = NormalizeTarget(&request->head());
    if (!wrong.empty()) {
      RefuseRequest(exchange, kBadRequest, wrong);
      return;
    }
    if (session.accepts_peers() && IsPeerRequest(request->head())) {
      HandlePeerRequest(exchange, std::move(request));
      return;
    }
    if (request->head().wire_bytes > max_header_bytes_) {
      RefuseRequest(exchange, kHeaderTooLarge,
                    "the request header exceeds the configured limit");
      return;
    }
    CallMetadata metadata = options_.call_protocol->ReadCall(request->head());
    metadata.body_bytes = request->body().size();
    StripHopByHopHeaders(&request->head());
    StripSystemHeaders(&request->head());
    calls_.AddCall(exchange.id(), std::move(metadata), std::move(request),
                   exchange);
  }

  void HandlePeerRequest(ServerExchange& exchange,
                         RefPtr<BufferedRequest> request) {
    auto peer = ReadPeerRequest(request->head());
    if (!peer.has_value()) {
      RefuseRequest(exchange, kBadRequest,
                    "the attempt headers are missing or malformed");
      return;
    }
    peer->attempt.request_id =
        options_.call_protocol->RequestIdOf(request->head());
    StripHopByHopHeaders(&request->head());
    StripSystemHeaders(&request->head());
    destination_.AddConnection(
        exchange.id(), *peer, std::move(request),
        std::make_unique<PeerReplyConnection>(exchange, peer->attempt.id));
  }

  void RefuseRequest(ServerExchange& exchange,
                     std::uint16_t status,
                     std::string_view why) {
    ++counts_.rejected_requests;
    exchange.Reply(RefusalHead(status),
                   ExplanationBody(kOutcomeNotRun,
                                   NameOf(NotRunReason::kBadRequest), why));
  }

  void OnTurn(ServerExchange& exchange) override {
    if (calls_.Has(exchange.id())) {
      calls_.HandleTurn(exchange.id());
    }
  }

  void OnAnswerBroken(ServerExchange& exchange) override {
    if (calls_.Has(exchange.id())) {
      calls_.HandleBrokenAnswer(exchange.id());
    } else {
      exchange.Abort();
      destination_.HandleConnectionLost(exchange.id());
    }
  }

  void OnAnswerEnd(ServerExchange& exchange, bool complete) override {
    const std::uint64_t id = exchange.id();
    counts_.relayed_bytes += exchange.relayed_bytes();
    RecordLinkTime(exchange, complete);
    if (calls_.Has(id)) {
      calls_.HandleAnswerEnd(id, complete, exchange.relayed_bytes());
    } else if (complete) {
      destination_.HandleAnswerSent(id);
    } else {
      destination_.HandleConnectionLost(id);
    }
  }

  /// \brief Counts how long a large answer took to send, and logs a slow one.
  void RecordLinkTime(const ServerExchange& exchange, bool complete) {
    const Nanoseconds time = exchange.link_time();
    if (time == Nanoseconds(0)) {
      return;
    }
    const auto link_ms = static_cast<std::uint64_t>(
        std::chrono::floor<Milliseconds>(time).count());
    ++counts_.large_answers;
    counts_.large_answer_ms += link_ms;
    if (time < kSlowSendTime) {
      return;
    }
    const std::uint64_t id = exchange.id();
    Log(LogLevel::kInfo, "answer_left_late",
        {{"request", calls_.RequestIdOfCall(id)},
         {"attempt", destination_.AttemptIdOf(id)},
         {"complete", complete},
         {"bytes", exchange.relayed_bytes()},
         {"link_ms", link_ms},
         {"link_waiting_bytes", pacer_.pending_bytes()},
         {"link_bytes_per_second", pacer_.rate()}});
  }

  void OnPeerClosed(ServerExchange& exchange) override {
    const std::uint64_t id = exchange.id();
    if (calls_.Has(id)) {
      calls_.HandleCallerClosed(id);
    } else {
      destination_.HandleConnectionLost(id);
    }
  }

  void OnMessageRefused() override { ++counts_.rejected_requests; }

  void OnSessionEnd(ServerSession& session) override {
    sessions_.erase(&session);
  }

  void Dispatch(const SendAttempt& effect) { calls_.Execute(effect); }
  void Dispatch(const RelayAnswer& effect) { calls_.Execute(effect); }
  void Dispatch(const DropAttempt& effect) { calls_.Execute(effect); }
  void Dispatch(const AnswerNotRun& effect) { calls_.Execute(effect); }
  void Dispatch(const AnswerUnknown& effect) { calls_.Execute(effect); }
  void Dispatch(const CallEnded& effect) { calls_.Execute(effect); }
  void Dispatch(const ProbeUpstream& effect) {
    if (prober_ != nullptr) {
      prober_->ProbeOnce(effect.path);
    }
  }
  void Dispatch(const StartUpstream& effect) { destination_.Execute(effect); }
  void Dispatch(const CancelUpstream& effect) { destination_.Execute(effect); }
  void Dispatch(const SendAnswer& effect) { destination_.Execute(effect); }
  void Dispatch(const ReplyNotRun& effect) { destination_.Execute(effect); }
  void Dispatch(const ReplyStillRunning& effect) {
    destination_.Execute(effect);
  }
  void Dispatch(const ReplyBodyWanted& effect) { destination_.Execute(effect); }
  void Dispatch(const ReplyProgress& effect) { destination_.Execute(effect); }
  void Dispatch(const ReplyUnknown& effect) { destination_.Execute(effect); }
  void Dispatch(const ReleaseAttempt& effect) { destination_.Execute(effect); }
  /// \brief Ignores the effects for other parts of the node.
  template <typename Other>
  void Dispatch(const Other& /*effect*/) {}

  boost::asio::io_context& io_;
  CallServerOptions options_;
  /// Largest header of a caller's request, without this system's headers.
  std::uint32_t max_header_bytes_;
  RefPtr<BufferedBytes> buffered_bytes_;
  TimeoutList timeouts_;
  BulkPacer pacer_;
  /// The load that was last reported to the reducer.
  LinkLoadChanged reported_link_load_;
  EventSink* sink_;
  ConnectionPool pool_;
  /// Next id of a call or of a node's request; both share one sequence.
  std::uint64_t next_id_ = 1;
  DestinationTable destination_;
  CallTable calls_;
  std::unique_ptr<Prober> prober_;
  /// Port for nodes, and for callers unless they have one of their own.
  Listener peers_;
  Listener callers_;
  std::unordered_map<ServerSession*, RefPtr<ServerSession>> sessions_;
  CallServerCounts counts_;
  bool is_accepting_ = true;
  bool is_shutting_down_ = false;
  bool is_closed_ = false;
};

CallServer::CallServer(boost::asio::io_context& io,
                       const Clock& clock,
                       const CallServerOptions& options,
                       EventSink* sink)
    : impl_(std::make_shared<Impl>(io, clock, options, sink)) {
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

void CallServer::SetLimits(const CallerLimits& limits) {
  impl_->SetLimits(limits);
}

void CallServer::AnnounceShutdown() {
  impl_->AnnounceShutdown();
}

void CallServer::StopAccepting() {
  impl_->StopAccepting();
}

void CallServer::Close() {
  impl_->Close();
}

}  // namespace cassiabend
