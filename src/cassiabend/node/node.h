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

/// \brief One node: the reducer and the layers with I/O around it. Everything
/// runs on the thread of `io`, but for the RPC threads behind the transports.
class Node final : public EventSink {
 public:
  /// \param settings As the adapter has translated them.
  /// \param settings_file Read again by `Reload`; empty for none.
  /// \throws Error when a port cannot be opened.
  Node(boost::asio::io_context& io,
       const Clock& clock,
       const PlatformAdapter& adapter,
       Settings settings,
       std::string settings_file);
  ~Node() override;

  void Post(Body body) override;

  /// \brief Starts a graceful shutdown; `io` runs out of work at its end.
  void Shutdown();
  /// \brief Reads the settings file again and takes over what may change.
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
  void LogPeerChange(const Member& member);
  void LogReaderChange();
  void ScheduleTick(boost::asio::steady_timer* timer,
                    Milliseconds period,
                    const Body& body);
  void LeaveFleet();
  void Stop();
  /// \returns Whether there is such a member.
  bool DrainMember(const NodeId& id);
  [[nodiscard]] NodeReadings CollectReadings() const;
  [[nodiscard]] FleetStatus Status() const;
  /// \returns The version in force; an empty mark before the first.
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
  RegionTraffic region_traffic_;
  std::deque<Body> queue_;
  bool drain_scheduled_ = false;
  bool shutting_down_ = false;
  bool stopped_ = false;
  bool ready_ = false;
  std::string not_ready_reason_ = "starting";
  std::uint64_t events_ = 0;
  /// Peers that are dead or have left.
  std::set<NodeId> lost_peers_;
  bool is_reader_ = false;
  /// When the next answered call is logged.
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
