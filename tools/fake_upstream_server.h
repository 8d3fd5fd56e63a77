#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "cassiabend/base/random.h"
#include "cassiabend/base/ref_counted.h"
#include "cassiabend/base/time.h"
#include "cassiabend/http/server_session.h"
#include "tools/fake_upstream_execution_counter.h"

namespace cassiabend {

/// \brief How truthfully the health endpoint reports.
enum class FakeHealth : std::uint8_t {
  kTruthful,
  /// Reports the load of 2 s ago.
  kLagging,
  /// Always reports a healthy, idle upstream.
  kLying,
};

/// \brief Behaviour of a fake upstream, set on the command line.
struct FakeUpstreamOptions {
  std::string ip = "127.0.0.1";
  /// 0 for any free port.
  std::uint16_t port = 0;
  /// Requests that run at the same time; further ones wait.
  std::uint32_t slots = 12;
  /// Execution time of a request.
  Microseconds latency{0};
  /// Bound of a random addition to the latency, uniform over [0, jitter).
  Microseconds jitter{0};
  /// Time after the start during which no request runs.
  Milliseconds cold_start{0};
  /// Number of running and waiting requests at which further ones are shed; 0
  /// for no limit.
  std::uint32_t shed_above = 0;
  /// Body size of an answer whose path asks for no other.
  std::size_t answer_bytes = 64;
  FakeHealth health = FakeHealth::kTruthful;
  /// Whether a running request goes on after its connection has closed.
  bool refuse_cancel = false;
  /// Seed of the jitter.
  std::uint64_t seed = 1;
};

/// \brief Faults that POST /control switches.
struct FakeUpstreamFaults {
  /// Accepts requests and never answers.
  bool silent = false;
  /// Closes the connection in the middle of each answer.
  bool break_answers = false;
  /// Sheds every request.
  bool shed = false;
  /// The health endpoint reports an unhealthy upstream.
  bool unhealthy = false;
};

/// \brief HTTP server that fakes an upstream. Used only on the thread that runs
/// `io`.
class FakeUpstream final : private SessionHandler {
 public:
  /// \throws HttpError when the port cannot be opened.
  FakeUpstream(boost::asio::io_context& io, const FakeUpstreamOptions& options);
  FakeUpstream(const FakeUpstream&) = delete;
  FakeUpstream& operator=(const FakeUpstream&) = delete;
  ~FakeUpstream() override;

  [[nodiscard]] std::uint16_t port() const noexcept { return port_; }
  [[nodiscard]] const ExecutionCounter& executions() const noexcept {
    return executions_;
  }
  [[nodiscard]] FakeUpstreamFaults& faults() noexcept { return faults_; }
  [[nodiscard]] FakeUpstreamOptions& options() noexcept { return options_; }
  [[nodiscard]] std::size_t open_connections() const noexcept {
    return sessions_.size();
  }
  /// \brief Closes every connection, also those with a request in progress.
  void CloseConnections();

 private:
  struct PendingRequest;
  using RequestMap = std::map<std::uint64_t, std::unique_ptr<PendingRequest>>;

  void OnRequest(ServerSession& session,
                 ServerExchange& exchange,
                 RefPtr<BufferedRequest> request) override;
  void OnAnswerBroken(ServerExchange& exchange) override;
  void OnAnswerEnd(ServerExchange& exchange, bool complete) override;
  void OnPeerClosed(ServerExchange& exchange) override;
  void OnMessageRefused() override {}
  void OnSessionEnd(ServerSession& session) override;

  void Listen();
  void Accept();
  void StartWarmUp();
  [[nodiscard]] bool HandleBuiltInPath(ServerExchange& exchange,
                                       const BufferedRequest& request);
  [[nodiscard]] bool IsOverloaded() const noexcept;
  void Enqueue(ServerExchange& exchange, RefPtr<BufferedRequest> request);
  void StartQueuedRequests();
  void StartRequest(std::uint64_t id);
  void Finish(std::uint64_t id);
  void Cancel(std::uint64_t id);
  void Answer(PendingRequest& pending);
  void AnswerJson(ServerExchange& exchange, const boost::json::object& body);
  void AnswerHealth(ServerExchange& exchange);
  [[nodiscard]] bool ApplyControl(const std::string& text);
  void SampleLoad();
  /// \returns The running requests as a share of the slots.
  [[nodiscard]] std::int64_t LoadPermille() const noexcept;

  boost::asio::io_context& io_;
  FakeUpstreamOptions options_;
  FakeUpstreamFaults faults_;
  Random random_;
  ExecutionCounter executions_;
  RefPtr<BufferedBytes> buffered_bytes_;
  TimeoutList timeouts_;
  SystemClock clock_;
  BulkPacer pacer_{clock_, 0};
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer warm_up_timer_;
  boost::asio::steady_timer load_timer_;
  std::unordered_map<ServerSession*, RefPtr<ServerSession>> sessions_;
  RequestMap requests_;
  /// Ids of the waiting requests, oldest first.
  std::deque<std::uint64_t> queued_;
  /// Loads of the last 2 s, in permille, oldest first.
  std::deque<std::int64_t> load_samples_;
  std::uint64_t next_id_ = 1;
  std::uint32_t running_ = 0;
  std::uint16_t port_ = 0;
  bool is_warm_ = true;
};

}  // namespace cassiabend
