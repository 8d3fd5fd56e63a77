#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "cassiabend/base/clock.h"
#include "cassiabend/core/event_sink.h"
#include "cassiabend/core/node_reducer.h"
#include "cassiabend/node/metrics.h"
#include "cassiabend/node/ops_server.h"
#include "cassiabend/node/platform_adapter.h"
#include "cassiabend/node/region_traffic.h"
#include "cassiabend/node/settings.h"
#include "cassiabend/rpc/admin_server.h"

namespace cassiabend {

/// \brief The node process: feeds events to the reducer and executes its
/// effects with the I/O layers. Everything runs on the thread of `io`, except
/// for the RPC threads inside the transports.
class Node final : public EventSink {
 public:
  /// \param settings Settings after `PlatformAdapter::ApplyPlatformSettings`.
  /// \param settings_file The file that `Reload` reads; empty for none.
  /// \throws Error when a port cannot be opened.
  Node(boost::asio::io_context& io,
       const Clock& clock,
       const PlatformAdapter& adapter,
       Settings settings,
       std::string settings_file);
  ~Node() override;

  void Post(Body body) override;

  /// \brief Starts a graceful shutdown, which stops `io` at its end.
  void Shutdown();
  /// \brief Reads the settings file again and applies the log level and the
  /// operators; other settings need a restart.
  void Reload();

 private:
  void DrainQueue();
  void Execute(const Effect& effect);
  void ExecuteConfig(const ConfigEffect& effect);
  void ExecuteFleet(const FleetEffect& effect);
  void ExecuteCall(const CallEffect& effect);
  void RecordFleetEffect(const FleetEffect& effect);
  void RecordCallEffect(const CallEffect& effect);
  void LogCallEnded(const CallEnded& ended);
  static void LogRollout(const RolloutDecided& decided);
  void LogPeerChange(const Member& member);
  void LogReaderChange();
  void ScheduleTick(boost::asio::steady_timer* timer,
                    Milliseconds period,
                    const Body& body);
  void LeaveFleet();
  void Stop();
  /// \brief Starts a graceful shutdown of this node or of another member.
  /// \returns Whether there is a member `id`.
  bool DrainMember(const NodeId& id);
  [[nodiscard]] NodeReadings CollectReadings() const;
  [[nodiscard]] FleetStatus Status() const;
  /// \returns The mark of the version in force; an empty one before the first.
  [[nodiscard]] VersionMark mark() const;
  void OpenOpsServers();
  [[nodiscard]] OpsResponse OnOpsRequest(const std::string& path) const;
  [[nodiscard]] OpsResponse MakeReadyResponse() const;
  [[nodiscard]] OpsResponse OnReadinessRequest(const OpsRequest& request) const;
  [[nodiscard]] OpsResponse OnControlRequest(const OpsRequest& request);
  [[nodiscard]] std::string MembersToJson() const;
  [[nodiscard]] std::string VersionToJson() const;

  boost::asio::io_context& io_;
  const Clock& clock_;
  const PlatformAdapter& adapter_;
  Settings settings_;
  std::string settings_file_;
  NodeReducer reducer_;
  NodeMetrics metrics_;
  TrafficSplit traffic_split_;
  RegionTraffic region_traffic_;
  std::deque<Body> queue_;
  bool drain_scheduled_ = false;
  bool shutting_down_ = false;
  bool stopped_ = false;
  bool ready_ = false;
  std::string not_ready_reason_ = "starting";
  std::uint64_t events_ = 0;
  /// Peers that are dead or have left, to log each change once.
  std::set<NodeId> lost_peers_;
  bool is_reader_ = false;
  /// Earliest time at which an answered call is logged again.
  MonoTime next_answered_log_at_{};
  /// When the version in force was applied.
  WallTime applied_at_{};
  std::unique_ptr<StoreClient> store_;
  std::unique_ptr<PeerTransport> peers_;
  std::unique_ptr<CallServer> calls_;
  std::unique_ptr<AdminServer> admin_;
  std::unique_ptr<OpsServer> ops_;
  std::unique_ptr<OpsServer> readiness_;
  std::unique_ptr<OpsServer> control_;
  boost::asio::steady_timer fleet_timer_;
  boost::asio::steady_timer call_timer_;
  boost::asio::steady_timer shutdown_timer_;
};

}  // namespace cassiabend
