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
inline constexpr char kAllTeamsToken[] = "token-of-ann";
inline constexpr char kOneTeamToken[] = "token-of-bob";

/// \brief An administration server with scripted replies in place of the
/// decision core. Its Asio context runs on its own thread; the fields may be
/// accessed on that thread (see `Run`) or before `Start`.
class ScriptedAdminNode final : public EventSink {
 public:
  ScriptedAdminNode() {
    options.ip = kTestIp;
    options.operators = {{"ann", HashToken(kAllTeamsToken), {"*"}},
                         {"bob", HashToken(kOneTeamToken), {"cascadia"}}};
  }
  ~ScriptedAdminNode() override {
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
                         return id != non_member;
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
    std::visit([this](const auto& it) { Reply(it); }, events.back());
  }

  AdminServerOptions options;
  RefPtr<const Snapshot> newest;
  FleetStatus status;
  std::vector<HistoryEntry> history;
  std::vector<ConfigEvent> events;
  std::vector<NodeId> drained;
  /// A node that is not a member, so that draining it fails.
  NodeId non_member{"127.0.0.99", 1};
  /// Results of changes, in order; the last one repeats. While it is empty,
  /// changes get no reply.
  std::vector<CommitResult> commit_results;

 private:
  CommitResult NextCommitResult() {
    CommitResult out = commit_results.front();
    if (commit_results.size() > 1) {
      commit_results.erase(commit_results.begin());
    }
    return out;
  }
  template <typename Change>
  void Reply(const Change& it) {
    if (!commit_results.empty()) {
      server_->Execute(CommitFinished{it.request, NextCommitResult()});
    }
  }
  void Reply(const StoreReplied& /*it*/) {}
  void Reply(const HistoryRequested& it) {
    server_->Execute(HistoryFinished{it.request, {}, history});
  }
  void Reply(const VersionRequested& it) {
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
