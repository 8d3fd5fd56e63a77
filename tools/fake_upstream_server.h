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
#include "tools/fake_upstream_ledger.h"

namespace cassiabend {

/// \brief How the health endpoint behaves.
enum class FakeHealth : std::uint8_t {
  kTruthful,
  /// Reports the load of `kHealthLag` ago.
  kLagging,
  /// Reports to be healthy and idle whatever happens.
  kLying,
};

/// \brief Behaviour of the stand-in for an upstream.
struct FakeUpstreamOptions {
  std::string ip = "127.0.0.1";
  std::uint16_t port = 0;
  /// Requests that run at the same time; more wait.
  std::uint32_t slots = 12;
  Microseconds latency{0};
  /// Added to the latency, evenly spread over [0, jitter).
  Microseconds jitter{0};
  /// Nothing runs before this time has passed since the start.
  Milliseconds cold_start{0};
  /// Requests running and waiting above which more are shed; 0 for no limit.
  std::uint32_t shed_above = 0;
  std::size_t answer_bytes = 64;
  FakeHealth health = FakeHealth::kTruthful;
  /// Whether work goes on after its connection has closed.
  bool refuse_cancel = false;
  std::uint64_t seed = 1;
};

/// \brief Behaviour that `POST /control` switches.
struct FakeUpstreamFaults {
  /// Takes requests, and never answers.
  bool silent = false;
  /// Closes in the middle of each answer.
  bool break_answers = false;
  bool shed = false;
  bool unhealthy = false;
};

/// \brief A stand-in for an upstream on the thread of `io`.
class FakeUpstream final : private SessionHandler {
 public:
  /// \throws HttpError when the port cannot be opened.
  FakeUpstream(boost::asio::io_context& io, const FakeUpstreamOptions& options);
  FakeUpstream(const FakeUpstream&) = delete;
  FakeUpstream& operator=(const FakeUpstream&) = delete;
  ~FakeUpstream() override;

  [[nodiscard]] std::uint16_t port() const noexcept { return port_; }
  [[nodiscard]] const ExecutionLedger& ledger() const noexcept {
    return ledger_;
  }
  [[nodiscard]] FakeUpstreamFaults& faults() noexcept { return faults_; }
  [[nodiscard]] FakeUpstreamOptions& options() noexcept { return options_; }
  [[nodiscard]] std::size_t open_connections() const noexcept {
    return sessions_.size();
  }
  /// \brief Closes every connection between requests or not.
  void CloseConnections();

 private:
  struct Work;
  using WorkMap = std::map<std::uint64_t, std::unique_ptr<Work>>;

  void OnRequest(ServerSession& session,
                 ServerExchange& exchange,
                 RefPtr<HeldRequest> request) override;
  void OnAnswerBroken(ServerExchange& exchange) override;
  void OnAnswerEnd(ServerExchange& exchange, bool complete) override;
  void OnPeerClosed(ServerExchange& exchange) override;
  void OnMessageRefused() override {}
  void OnSessionEnd(ServerSession& session) override;

  void Listen();
  void Accept();
  void WarmUp();
  [[nodiscard]] bool TakeOwnPath(ServerExchange& exchange,
                                 const HeldRequest& request);
  [[nodiscard]] bool Overloaded() const noexcept;
  void Enqueue(ServerExchange& exchange, RefPtr<HeldRequest> request);
  void RunWaiting();
  void Run(std::uint64_t id);
  void Finish(std::uint64_t id);
  void Cancel(std::uint64_t id);
  void Answer(Work& work);
  void AnswerJson(ServerExchange& exchange, const boost::json::object& body);
  void AnswerHealth(ServerExchange& exchange);
  [[nodiscard]] bool ApplyControl(const std::string& text);
  void SampleLoad();
  [[nodiscard]] std::int64_t LoadPermille() const noexcept;

  boost::asio::io_context& io_;
  FakeUpstreamOptions options_;
  FakeUpstreamFaults faults_;
  Random random_;
  ExecutionLedger ledger_;
  RefPtr<HeldBytes> held_bytes_;
  TimeoutList ticks_;
  SystemClock clock_;
  BulkPacer pacer_{clock_, 0};
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer warm_timer_;
  boost::asio::steady_timer load_timer_;
  std::unordered_map<ServerSession*, RefPtr<ServerSession>> sessions_;
  WorkMap work_;
  std::deque<std::uint64_t> waiting_;
  std::deque<std::int64_t> load_samples_;
  std::uint64_t next_id_ = 1;
  std::uint32_t running_ = 0;
  std::uint16_t port_ = 0;
  bool is_warm_ = true;
};

}  // namespace cassiabend
