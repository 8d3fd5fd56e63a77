#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <functional>
#include <future>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "cassiabend/rpc/admin_server.h"

namespace cassiabend {

inline constexpr char kTestIp[] = "127.0.0.1";
inline constexpr char kAllToken[] = "token-of-ann";
inline constexpr char kTeamToken[] = "token-of-bob";

/// \brief An administration server with scripted replies in place of the
/// decision core. Its Asio context runs on its own thread; the fields may be
/// accessed on that thread (see `Run`) or before `Start`.
class ScriptedNode final : public EventSink {
 public:
  ScriptedNode() {
    options.ip = kTestIp;
    options.operators = {{"ann", HashToken(kAllToken), {"*"}},
                         {"bob", HashToken(kTeamToken), {"cascadia"}}};
  }
  ~ScriptedNode() override {
    if (thread_.joinable()) {
      Run([this] { server_.reset(); });
      work_.reset();
      thread_.join();
    }
  }

  void Start() {
    server_ = std::make_unique<AdminServer>(
        io_, options,
        AdminCallbacks{[this] { return status; }, [this] { return newest; },
                       [this](const NodeId& id) {
                         drained.push_back(id);
                         return id != stranger;
                       }},
        this);
    thread_ = std::thread([this] { io_.run(); });
  }

  [[nodiscard]] std::uint16_t port() const { return server_->port(); }
  [[nodiscard]] std::string address() const {
    return std::string(kTestIp) + ":" + std::to_string(port());
  }
  [[nodiscard]] AdminServer& server() { return *server_; }

  /// \brief Runs `task` on the context's thread and waits until it returns.
  void Run(const std::function<void()>& task) {
    std::promise<void> done;
    boost::asio::post(io_, [&] {
      task();
      done.set_value();
    });
    done.get_future().wait();
  }

  void Post(Body body) override {
    events.push_back(std::get<ConfigEvent>(std::move(body)));
    std::visit([this](const auto& it) { Answer(it); }, events.back());
  }

  AdminServerOptions options;
  RefPtr<const Snapshot> newest;
  FleetStatus status;
  std::vector<HistoryEntry> history;
  std::vector<ConfigEvent> events;
  std::vector<NodeId> drained;
  /// A node that is not a member, so that draining it fails.
  NodeId stranger{"127.0.0.99", 1};
  /// Results of changes, in order; the last one repeats. While it is empty,
  /// changes get no reply.
  std::vector<CommitResult> script;

 private:
  CommitResult Next() {
    CommitResult out = script.front();
    if (script.size() > 1) {
      script.erase(script.begin());
    }
    return out;
  }
  template <typename Change>
  void Answer(const Change& it) {
    if (!script.empty()) {
      server_->Execute(CommitFinished{it.request, Next()});
    }
  }
  void Answer(const StoreReplied& /*it*/) {}
  void Answer(const HistoryRequested& it) {
    server_->Execute(HistoryFinished{it.request, {}, history});
  }
  void Answer(const VersionRequested& it) {
    VersionFinished reply{it.request, {}, nullptr};
    if (newest && newest->mark().number == it.number) {
      reply.snapshot = newest;
    } else {
      reply.result.code = CommitCode::kNotFound;
    }
    server_->Execute(reply);
  }

  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_{io_.get_executor()};
  std::unique_ptr<AdminServer> server_;
  std::thread thread_;
};

/// \returns A version with a service of each of two teams and a service that
/// belongs to no team.
inline RefPtr<const Snapshot> SampleVersion() {
  Config config;
  config.number = 5;
  config.parent = 4;
  config.author = "ann";
  config.services = {
      {"catalog", "cascadia", 3}, {"shared", "", 2}, {"tracker", "silfur", 5}};
  return new Snapshot(config);
}

}  // namespace cassiabend
