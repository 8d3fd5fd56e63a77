#include "tools/fake_upstream_server.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <string_view>
#include <utility>

#include "cassiabend/base/error.h"
#include "cassiabend/http/headers.h"

namespace cassiabend {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::string_view kControlPath = "/control";
constexpr std::string_view kExecutionsPath = "/control/executions";
constexpr std::string_view kHealthPath = "/healthz";
constexpr std::string_view kBytesPath = "/bytes/";
constexpr std::string_view kStatusPath = "/answer-status/";
constexpr std::string_view kEchoPath = "/echo";
/// Carries the caller's own id of a request, equal in all its attempts.
constexpr std::string_view kTagHeader = "X-Request-Tag";
/// Id of a request on the users' platform, where each answer repeats it and
/// bears a signature.
constexpr std::string_view kMeshRequestIdHeader = "Request-Id";
constexpr std::string_view kMeshSignatureHeader = "Response-Signature";
constexpr Milliseconds kHealthLag{2'000};
constexpr Milliseconds kLoadSamplePeriod{100};
constexpr std::size_t kMaxAnswerBytes = std::size_t{64} * 1024 * 1024;
constexpr std::size_t kMaxRequestBytes = std::size_t{8} * 1024 * 1024;
constexpr Seconds kIdleTimeout{60};

template <typename Number>
Number NumberAfterPrefix(std::string_view target,
                         std::string_view prefix,
                         Number fallback) {
  if (!target.starts_with(prefix)) {
    return fallback;
  }
  target.remove_prefix(prefix.size());
  Number n{};
  const auto [it, ec] =
      std::from_chars(target.data(), target.data() + target.size(), n);
  return ec == std::errc() ? n : fallback;
}

MessageHead HeadWithStatus(std::uint16_t status) {
  MessageHead head;
  head.status = status;
  head.reason = status < 400 ? "OK" : "Error";
  return head;
}

bool FlagOf(const boost::json::object& object,
            std::string_view name,
            bool fallback) {
  const boost::json::value* value = object.if_contains(name);
  return value != nullptr && value->is_bool() ? value->get_bool() : fallback;
}

std::int64_t NumberOf(const boost::json::object& object,
                      std::string_view name,
                      std::int64_t fallback) {
  const boost::json::value* value = object.if_contains(name);
  const bool is_count =
      value != nullptr && value->is_int64() && value->get_int64() >= 0;
  return is_count ? value->get_int64() : fallback;
}

}  // namespace

/// \brief A waiting or running request.
struct FakeUpstream::PendingRequest {
  PendingRequest(boost::asio::io_context& io,
                 ServerExchange& owner,
                 RefPtr<BufferedRequest> buffered_request)
      : exchange(&owner), request(std::move(buffered_request)), timer(io) {}

  /// Null after the connection has closed.
  RefPtr<ServerExchange> exchange;
  RefPtr<BufferedRequest> request;
  boost::asio::steady_timer timer;
  bool is_running = false;
};

FakeUpstream::FakeUpstream(boost::asio::io_context& io,
                           const FakeUpstreamOptions& options)
    : io_(io),
      options_(options),
      random_(options.seed),
      buffered_bytes_(new BufferedBytes),
      timeouts_(io),
      acceptor_(io),
      warm_up_timer_(io),
      load_timer_(io) {
  Listen();
  timeouts_.Start();
  StartWarmUp();
  SampleLoad();
  Accept();
}

FakeUpstream::~FakeUpstream() {
  CloseConnections();
  timeouts_.Stop();
}

void FakeUpstream::Listen() {
  const std::string where = options_.ip + ":" + std::to_string(options_.port);
  try {
    const tcp::endpoint endpoint(boost::asio::ip::make_address(options_.ip),
                                 options_.port);
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen();
    port_ = acceptor_.local_endpoint().port();
  } catch (const boost::system::system_error& error) {
    throw HttpError("open the port", where, error.code().message());
  }
}

void FakeUpstream::Accept() {
  acceptor_.async_accept([this](const error_code& ec, tcp::socket socket) {
    if (ec) {
      return;
    }
    const SessionOptions options{
        .limits = {.body_bytes = kMaxRequestBytes},
        .progress_timeout = kIdleTimeout,
        .idle_timeout = kIdleTimeout,
        .adds_outcome_header = false,
    };
    const RefPtr<ServerSession> session(
        new ServerSession(std::move(socket), &timeouts_, options,
                          buffered_bytes_, &pacer_, this));
    sessions_.emplace(session.get(), session);
    session->Start();
    Accept();
  });
}

void FakeUpstream::StartWarmUp() {
  is_warm_ = options_.cold_start == Milliseconds(0);
  if (is_warm_) {
    return;
  }
  warm_up_timer_.expires_after(options_.cold_start);
  warm_up_timer_.async_wait([this](const error_code& ec) {
    if (!ec) {
      is_warm_ = true;
      StartQueuedRequests();
    }
  });
}

void FakeUpstream::CloseConnections() {
  const auto sessions = std::exchange(sessions_, {});
  requests_.clear();
  queued_.clear();
  running_ = 0;
  for (const auto& [session, owner] : sessions) {
    session->Close();
  }
}

void FakeUpstream::OnRequest(ServerSession& /*session*/,
                             ServerExchange& exchange,
                             RefPtr<BufferedRequest> request) {
  exchange.set_id(next_id_++);
  if (HandleBuiltInPath(exchange, *request)) {
    return;
  }
  if (faults_.shed || IsOverloaded()) {
    executions_.RecordShed();
    MessageHead head = HeadWithStatus(503);
    head.Add(kUpstreamShedHeader, "1");
    head.Add(kRetryAfterHeader, "1");
    exchange.Reply(std::move(head), "shed\n");
    return;
  }
  Enqueue(exchange, std::move(request));
}

/// \brief Answers the control, execution count and health paths.
/// \returns Whether the request was for one of these.
bool FakeUpstream::HandleBuiltInPath(ServerExchange& exchange,
                                     const BufferedRequest& request) {
  const std::string& target = request.head().target;
  if (target == kExecutionsPath) {
    AnswerJson(exchange, executions_.ToJson());
    return true;
  }
  if (target == kControlPath) {
    const bool is_valid = ApplyControl(request.body());
    exchange.Reply(HeadWithStatus(is_valid ? 200 : 400), "");
    return true;
  }
  if (target == kHealthPath && !faults_.silent) {
    AnswerHealth(exchange);
    return true;
  }
  return false;
}

bool FakeUpstream::IsOverloaded() const noexcept {
  return options_.shed_above != 0 && requests_.size() >= options_.shed_above;
}

void FakeUpstream::Enqueue(ServerExchange& exchange,
                           RefPtr<BufferedRequest> request) {
  const std::uint64_t id = exchange.id();
  requests_[id] =
      std::make_unique<PendingRequest>(io_, exchange, std::move(request));
  queued_.push_back(id);
  StartQueuedRequests();
}

void FakeUpstream::StartQueuedRequests() {
  while (is_warm_ && running_ < options_.slots && !queued_.empty()) {
    const std::uint64_t id = queued_.front();
    queued_.pop_front();
    StartRequest(id);
  }
}

void FakeUpstream::StartRequest(std::uint64_t id) {
  PendingRequest& pending = *requests_.at(id);
  const MessageHead& head = pending.request->head();
  executions_.RecordExecution(std::string(head.Get(kIdempotencyKeyHeader)),
                              std::string(head.Get(kRequestIdHeader)),
                              std::string(head.Get(kTagHeader)));
  if (faults_.silent) {
    return;
  }
  pending.is_running = true;
  ++running_;
  const auto jitter = Microseconds(
      random_.Below(static_cast<std::uint64_t>(options_.jitter.count())));
  const Microseconds latency = options_.latency + jitter;
  if (latency == Microseconds(0)) {
    Finish(id);
    return;
  }
  pending.timer.expires_after(latency);
  pending.timer.async_wait([this, id](const error_code& ec) {
    if (!ec) {
      Finish(id);
      StartQueuedRequests();
    }
  });
}

void FakeUpstream::Finish(std::uint64_t id) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    return;
  }
  const std::unique_ptr<PendingRequest> pending = std::move(found->second);
  requests_.erase(found);
  --running_;
  if (pending->exchange != nullptr) {
    Answer(*pending);
  }
}

void FakeUpstream::Answer(PendingRequest& pending) {
  const std::string& target = pending.request->head().target;
  const std::size_t n =
      NumberAfterPrefix(target, kBytesPath, options_.answer_bytes);
  const auto status =
      NumberAfterPrefix<std::uint16_t>(target, kStatusPath, std::uint16_t{200});
  std::string body = target == kEchoPath
                         ? pending.request->body()
                         : std::string(std::min(n, kMaxAnswerBytes), 'x');
  MessageHead head = HeadWithStatus(status);
  head.Add(kRequestIdHeader, pending.request->head().Get(kRequestIdHeader));
  const std::string_view mesh_id =
      pending.request->head().Get(kMeshRequestIdHeader);
  if (!mesh_id.empty()) {
    head.Add(kMeshRequestIdHeader, mesh_id);
    head.Add(kMeshSignatureHeader, mesh_id);
  }
  if (!faults_.break_answers) {
    pending.exchange->Reply(std::move(head), body);
    return;
  }
  head.content_length = body.size() + 1;
  const RefPtr<AnswerStream> answer(new AnswerStream({}, buffered_bytes_));
  answer->Begin(std::move(head));
  answer->Append(std::string_view(body).substr(0, body.size() / 2));
  pending.exchange->Relay(answer);
  boost::asio::post(io_, [answer] { answer->Finish(false); });
}

void FakeUpstream::AnswerJson(ServerExchange& exchange,
                              const boost::json::object& body) {
  MessageHead head = HeadWithStatus(200);
  head.Add("Content-Type", "application/json");
  exchange.Reply(std::move(head), boost::json::serialize(body) + "\n");
}

void FakeUpstream::AnswerHealth(ServerExchange& exchange) {
  const bool lies = options_.health == FakeHealth::kLying;
  const bool lags = options_.health == FakeHealth::kLagging;
  std::int64_t load = lags ? load_samples_.front() : LoadPermille();
  load = lies ? 0 : load;
  AnswerJson(exchange, {{"healthy", lies || (is_warm_ && !faults_.unhealthy)},
                        {"load_permille", load}});
}

void FakeUpstream::OnAnswerBroken(ServerExchange& exchange) {
  exchange.Abort();
}

void FakeUpstream::OnAnswerEnd(ServerExchange& /*exchange*/,
                               bool /*complete*/) {}

void FakeUpstream::OnPeerClosed(ServerExchange& exchange) {
  Cancel(exchange.id());
}

void FakeUpstream::OnSessionEnd(ServerSession& session) {
  sessions_.erase(&session);
}

void FakeUpstream::Cancel(std::uint64_t id) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    return;
  }
  if (found->second->is_running && options_.refuse_cancel) {
    found->second->exchange = nullptr;
    return;
  }
  if (found->second->is_running) {
    executions_.RecordCancellation();
    --running_;
  }
  std::erase(queued_, id);
  requests_.erase(found);
  StartQueuedRequests();
}

bool FakeUpstream::ApplyControl(const std::string& text) {
  error_code ec;
  const boost::json::value value = boost::json::parse(text, ec);
  if (ec || !value.is_object()) {
    return false;
  }
  const boost::json::object& control = value.get_object();
  faults_.silent = FlagOf(control, "silent", faults_.silent);
  faults_.break_answers = FlagOf(control, "break", faults_.break_answers);
  faults_.shed = FlagOf(control, "shed", faults_.shed);
  faults_.unhealthy = FlagOf(control, "unhealthy", faults_.unhealthy);
  if (control.contains("lie")) {
    options_.health = FlagOf(control, "lie", false) ? FakeHealth::kLying
                                                    : FakeHealth::kTruthful;
  }
  options_.latency =
      Microseconds(NumberOf(control, "latency_us", options_.latency.count()));
  options_.jitter =
      Microseconds(NumberOf(control, "jitter_us", options_.jitter.count()));
  options_.shed_above = static_cast<std::uint32_t>(
      NumberOf(control, "shed_above", options_.shed_above));
  return true;
}

std::int64_t FakeUpstream::LoadPermille() const noexcept {
  constexpr std::int64_t kThousand = 1'000;
  return kThousand * running_ / std::max<std::int64_t>(options_.slots, 1);
}

void FakeUpstream::SampleLoad() {
  load_samples_.push_back(LoadPermille());
  if (load_samples_.size() >
      static_cast<std::size_t>(kHealthLag / kLoadSamplePeriod)) {
    load_samples_.pop_front();
  }
  load_timer_.expires_after(kLoadSamplePeriod);
  load_timer_.async_wait([this](const error_code& ec) {
    if (!ec) {
      SampleLoad();
    }
  });
}

}  // namespace cassiabend
