#include "cassiabend/store/store_client.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <deque>
#include <utility>
#include <vector>

#include "cassiabend/base/clock.h"
#include "cassiabend/base/error.h"
#include "cassiabend/base/log.h"
#include "cassiabend/store/gateway_connection.h"
#include "cassiabend/store/gateway_pool.h"
#include "cassiabend/store/watch_reader.h"

namespace cassiabend {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr Milliseconds kConnectTimeout{500};
/// Time beyond its wait after which a polled watch has timed out.
constexpr Milliseconds kPollMargin{1'000};
// Watches occupy their connections for long, so they have a separate limit.
constexpr std::uint32_t kMaxWatches = 8;

/// \brief A call in progress.
struct Operation {
  StoreCall call;
  MonoTime deadline{};
  MonoTime sent_at{};
  /// Endpoints that may still be tried.
  std::size_t endpoints_left = 0;
  std::size_t endpoint = 0;
  /// Whether the current attempt uses a connection that carried others before.
  bool reused = false;
};
using OperationPtr = std::shared_ptr<Operation>;

std::vector<tcp::endpoint> ResolveEndpoints(
    const std::vector<StoreEndpoint>& endpoints) {
  std::vector<tcp::endpoint> out;
  for (const StoreEndpoint& it : endpoints) {
    boost::system::error_code ec;
    const auto address = asio::ip::make_address(it.ip, ec);
    if (ec) {
      throw StoreError("set up the store client", it.ip, "not an IP address");
    }
    out.emplace_back(address, it.port);
  }
  if (out.empty()) {
    throw StoreError("set up the store client", "endpoints",
                     "no endpoint is configured");
  }
  return out;
}

}  // namespace

class StoreClient::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& io, const StoreClientOptions& options, EventSink* sink)
      : io_(io),
        options_(options),
        endpoints_(ResolveEndpoints(options.endpoints)),
        pool_(io, options.max_connections),
        sink_(sink) {}

  [[nodiscard]] const StoreClientCounts& counts() const noexcept {
    return counts_;
  }

  void Execute(const StoreCall& call) {
    auto op = std::make_shared<Operation>();
    op->call = call;
    op->deadline = clock_.Now().mono + TimeoutOf(call.request);
    op->sent_at = clock_.Now().mono;
    op->endpoints_left = endpoints_.size();
    op->endpoint = preferred_endpoint_;
    ++counts_.calls;
    if (closed_) {
      Refuse(op, "the client is closed");
      return;
    }
    if (const auto* watch = std::get_if<StoreWatch>(&call.request)) {
      StartWatch(op, watch->after);
      return;
    }
    if (active_calls_ < options_.max_connections) {
      ++active_calls_;
      StartAttempt(op);
      return;
    }
    if (waiting_.size() >= options_.max_waiting) {
      Refuse(op, "too many requests are waiting");
      return;
    }
    waiting_.push_back(std::move(op));
  }

  /// \brief Stops posting events, as the sink may be destroyed.
  void DetachSink() noexcept { sink_ = nullptr; }

  void Close() {
    closed_ = true;
    // Closing the connections ends their exchanges, which replies to the calls.
    pool_.Close();
  }

 private:
  Milliseconds TimeoutOf(const StoreRequest& request) const {
    const auto* get = std::get_if<StoreGet>(&request);
    return get == nullptr || get->timeout == Milliseconds(0)
               ? options_.request_timeout
               : std::min(get->timeout, options_.request_timeout);
  }

  Milliseconds TimeLeft(const Operation& op) const {
    return std::chrono::duration_cast<Milliseconds>(op.deadline -
                                                    clock_.Now().mono);
  }

  // Calls other than watches.

  void StartAttempt(const OperationPtr& op) {
    const Milliseconds left = TimeLeft(*op);
    if (left <= Milliseconds(0)) {
      Refuse(op, "timed out before it was sent");
      StartNextWaiting();
      return;
    }
    op->sent_at = clock_.Now().mono;
    const ConnectionPtr connection =
        pool_.Acquire(endpoints_[op->endpoint], &op->reused);
    connection->Exchange(Encode(op->call.request), kConnectTimeout,
                         AttemptTimeout(*op, left),
                         [self = shared_from_this(), op,
                          connection](const ExchangeResult& result) {
                           self->OnExchangeEnded(op, connection, result);
                         });
  }

  /// \returns The time limit of an attempt. A reused connection may be dead
  /// without notice, so a read on it leaves time for an attempt on a new one,
  /// unless the store is slow.
  Milliseconds AttemptTimeout(const Operation& op, Milliseconds left) const {
    if (!op.reused || IsWrite(op.call.request)) {
      return left;
    }
    return std::clamp(2 * last_round_trip_time_, left / 4, left);
  }

  void OnExchangeEnded(const OperationPtr& op,
                       const ConnectionPtr& connection,
                       const ExchangeResult& result) {
    CountBytes(result);
    if (result.end == ExchangeResult::End::kComplete) {
      OnResponse(op, connection, result);
      return;
    }
    pool_.CloseIdle(connection->endpoint());
    const bool may_retry = result.end == ExchangeResult::End::kNotSent ||
                           !IsWrite(op->call.request);
    if (may_retry && SelectRetryEndpoint(op.get())) {
      StartAttempt(op);
      return;
    }
    StoreReply reply;
    reply.status =
        may_retry ? StoreStatus::kUnavailable : StoreStatus::kUnknown;
    LogFailure(*op, result.why);
    PostReply(op, reply);
    StartNextWaiting();
  }

  [[nodiscard]] GatewayRequest Encode(const StoreRequest& request) const {
    GatewayRequest out = options_.codec->Encode(request);
    out.era_header = options_.codec->era_header();
    return out;
  }

  [[nodiscard]] StoreReply Decode(const StoreRequest& request,
                                  const ExchangeResult& result) const {
    StoreReply reply =
        options_.codec->Decode(request, result.http_status, result.body);
    reply.era = result.era;
    return reply;
  }

  void OnResponse(const OperationPtr& op,
                  const ConnectionPtr& connection,
                  const ExchangeResult& result) {
    constexpr unsigned kFirstServerError = 500;
    last_round_trip_time_ = std::chrono::duration_cast<Milliseconds>(
        clock_.Now().mono - op->sent_at);
    pool_.Release(connection);
    const StoreReply reply = Decode(op->call.request, result);
    if (result.http_status < kFirstServerError) {
      preferred_endpoint_ = op->endpoint;
    } else if (reply.status == StoreStatus::kUnavailable &&
               SelectNextEndpoint(op.get())) {
      StartAttempt(op);
      return;
    }
    PostReply(op, reply);
    StartNextWaiting();
  }

  /// \brief Selects the endpoint for a retry: the same one if the connection
  /// was reused, else the next one.
  /// \returns Whether the call may be retried.
  bool SelectRetryEndpoint(Operation* op) const {
    return (op->reused && !closed_) || SelectNextEndpoint(op);
  }

  bool SelectNextEndpoint(Operation* op) const {
    if (closed_ || --op->endpoints_left == 0) {
      return false;
    }
    op->endpoint = (op->endpoint + 1) % endpoints_.size();
    return true;
  }

  /// \brief Starts the next waiting call in place of a finished one.
  void StartNextWaiting() {
    if (waiting_.empty()) {
      --active_calls_;
      return;
    }
    const OperationPtr next = std::move(waiting_.front());
    waiting_.pop_front();
    if (closed_) {
      Refuse(next, "the client is closed");
      StartNextWaiting();
      return;
    }
    StartAttempt(next);
  }

  // Watches.

  void StartWatch(const OperationPtr& op, StoreRevision after) {
    if (active_watches_ >= kMaxWatches) {
      Refuse(op, "too many watches");
      return;
    }
    ++active_watches_;
    op->deadline =
        clock_.Now().mono + std::get<StoreWatch>(op->call.request).wait;
    StartWatchAttempt(op, after);
  }

  void StartWatchAttempt(const OperationPtr& op, StoreRevision after) {
    const Milliseconds left = TimeLeft(*op);
    if (left <= Milliseconds(0)) {
      FinishWatch(op, StoreReply{StoreStatus::kUnavailable});
      return;
    }
    StoreWatch watch = std::get<StoreWatch>(op->call.request);
    watch.after = after;
    watch.wait = left;
    op->sent_at = clock_.Now().mono;
    const ConnectionPtr connection =
        pool_.CreateConnection(endpoints_[op->endpoint]);
    if (options_.codec->streams_watches()) {
      StreamWatch(op, connection, watch);
    } else {
      PollWatch(op, connection, watch);
    }
  }

  void StreamWatch(const OperationPtr& op,
                   const ConnectionPtr& connection,
                   const StoreWatch& watch) {
    auto reader = std::make_shared<WatchReader>(watch.after);
    connection->Stream(
        Encode(watch), kConnectTimeout, watch.wait,
        [reader](std::string_view chunk) { return reader->ReadChunk(chunk); },
        [self = shared_from_this(), op, connection,
         reader](const ExchangeResult& result) {
          connection->Close();
          self->OnWatchEnded(op, *reader, result);
        });
  }

  /// \brief Sends one request; the store replies when the key changes or the
  /// wait ends.
  void PollWatch(const OperationPtr& op,
                 const ConnectionPtr& connection,
                 const StoreWatch& watch) {
    connection->Exchange(Encode(watch), kConnectTimeout,
                         watch.wait + kPollMargin,
                         [self = shared_from_this(), op, connection,
                          watch](const ExchangeResult& result) {
                           connection->Close();
                           self->CountBytes(result);
                           StoreReply reply;
                           if (result.end == ExchangeResult::End::kComplete) {
                             reply = self->Decode(watch, result);
                           } else {
                             self->LogFailure(*op, result.why);
                           }
                           self->FinishWatch(op, reply);
                         });
  }

  void OnWatchEnded(const OperationPtr& op,
                    const WatchReader& reader,
                    const ExchangeResult& result) {
    CountBytes(result);
    if (reader.compacted() && !closed_) {
      ReadAfterCompaction(op);
      return;
    }
    if (result.end == ExchangeResult::End::kNotSent &&
        SelectNextEndpoint(op.get())) {
      StartWatchAttempt(op, std::get<StoreWatch>(op->call.request).after);
      return;
    }
    const bool timed_out = TimeLeft(*op) <= Milliseconds(0);
    if (reader.decided() || (timed_out && !closed_)) {
      FinishWatch(op, reader.reply());
      return;
    }
    LogFailure(*op, result.why);
    FinishWatch(op, StoreReply{StoreStatus::kUnavailable});
  }

  /// \brief Reads the key after a compaction. If the key has not changed, the
  /// watch continues from the revision of that read.
  void ReadAfterCompaction(const OperationPtr& op) {
    const StoreGet get{std::get<StoreWatch>(op->call.request).key};
    op->sent_at = clock_.Now().mono;
    const ConnectionPtr connection =
        pool_.CreateConnection(endpoints_[op->endpoint]);
    connection->Exchange(Encode(get), kConnectTimeout, options_.request_timeout,
                         [self = shared_from_this(), op, get,
                          connection](const ExchangeResult& result) {
                           connection->Close();
                           self->OnReadAfterCompaction(op, get, result);
                         });
  }

  void OnReadAfterCompaction(const OperationPtr& op,
                             const StoreGet& get,
                             const ExchangeResult& result) {
    CountBytes(result);
    StoreReply reply;
    if (result.end == ExchangeResult::End::kComplete) {
      reply = Decode(get, result);
    }
    const auto& watch = std::get<StoreWatch>(op->call.request);
    const bool changed = !reply.entry || reply.entry->revision != watch.after;
    if (reply.status != StoreStatus::kOk || changed) {
      const bool newer = reply.entry && reply.entry->revision > watch.after;
      FinishWatch(op, newer ? reply : StoreReply{StoreStatus::kUnavailable});
      return;
    }
    StartWatchAttempt(op, reply.store_revision);
  }

  void FinishWatch(const OperationPtr& op, const StoreReply& reply) {
    --active_watches_;
    PostReply(op, reply);
  }

  // Replies.

  void CountBytes(const ExchangeResult& result) {
    counts_.bytes_sent += result.bytes_sent;
    counts_.bytes_received += result.bytes_received;
  }

  void LogFailure(const Operation& op, const std::string& why) {
    const tcp::endpoint& endpoint = endpoints_[op.endpoint];
    Log(LogLevel::kWarning, "store_call_failed",
        {{"endpoint", endpoint.address().to_string() + ":" +
                          std::to_string(endpoint.port())},
         {"path", options_.codec->Encode(op.call.request).path},
         {"why", why}});
  }

  /// \brief Replies to a call that was never sent, after `Execute` has
  /// returned.
  void Refuse(const OperationPtr& op, const char* why) {
    Log(LogLevel::kWarning, "store_call_refused", {{"why", why}});
    asio::post(io_, [self = shared_from_this(), op] {
      self->PostReply(op, StoreReply{StoreStatus::kUnavailable});
    });
  }

  /// \brief Logs when the store becomes unreachable or reachable again.
  void RecordReachability(StoreStatus status) {
    const bool reachable =
        status != StoreStatus::kUnavailable && status != StoreStatus::kUnknown;
    if (reachable == reachable_) {
      return;
    }
    reachable_ = reachable;
    Log(reachable ? LogLevel::kInfo : LogLevel::kWarning,
        reachable ? "store_regained" : "store_lost",
        {{"calls", counts_.calls}, {"failures", counts_.failures}});
  }

  void PostReply(const OperationPtr& op, StoreReply reply) {
    if (sink_ == nullptr) {
      return;
    }
    reply.sent_at = op->sent_at;
    RecordReachability(reply.status);
    ++counts_.replies.at(op->call.request.index())
          .at(static_cast<std::size_t>(reply.status));
    counts_.failures += reply.status == StoreStatus::kUnavailable ? 1 : 0;
    counts_.unknown_outcomes += reply.status == StoreStatus::kUnknown ? 1 : 0;
    StoreReplied event{op->call.id, std::move(reply)};
    switch (op->call.id.role) {
      case StoreClientRole::kCommit:
      case StoreClientRole::kCleanup:
        sink_->Post(ConfigEvent(std::move(event)));
        return;
      case StoreClientRole::kFleet:
        sink_->Post(FleetEvent(std::move(event)));
        return;
      case StoreClientRole::kCalls:
        sink_->Post(CallEvent(std::move(event)));
        return;
    }
  }

  asio::io_context& io_;
  StoreClientOptions options_;
  std::vector<tcp::endpoint> endpoints_;
  GatewayPool pool_;
  EventSink* sink_;
  SystemClock clock_;
  StoreClientCounts counts_;
  /// Index of the endpoint that replied last without a server error.
  std::size_t preferred_endpoint_ = 0;
  /// Round-trip time of the newest reply.
  Milliseconds last_round_trip_time_{0};
  std::uint32_t active_calls_ = 0;
  std::uint32_t active_watches_ = 0;
  std::deque<OperationPtr> waiting_;
  bool closed_ = false;
  bool reachable_ = true;
};

StoreClient::StoreClient(asio::io_context& io,
                         const StoreClientOptions& options,
                         EventSink* sink)
    : impl_(std::make_shared<Impl>(io, options, sink)) {}

StoreClient::~StoreClient() {
  Close();
  impl_->DetachSink();
}

StoreClientCounts StoreClient::counts() const noexcept {
  return impl_->counts();
}

void StoreClient::Execute(const StoreCall& call) {
  impl_->Execute(call);
}

void StoreClient::Close() {
  impl_->Close();
}

}  // namespace cassiabend
