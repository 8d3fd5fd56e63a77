#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "tools/harness/fleet.h"
#include "tools/soak_callers.h"
#include "tools/soak_checker.h"
#include "tools/soak_history.h"
#include "tools/soak_monitor.h"
#include "tools/soak_proxy.h"
#include "tools/soak_schedule.h"

namespace cassiabend::soak {

struct SoakFleetOptions {
  std::size_t hosts = 9;
  /// Directory of the programs.
  std::string bin;
  /// Path of the node program; empty for the one in `bin`.
  std::string node_program;
  /// Setting for the bandwidth of each host's network link, in kbit/s; 0
  /// leaves it unset.
  std::uint32_t link_kilobits = 13'300;
  /// Existing directory for settings files and logs.
  std::string work;
};

/// \brief A fleet of processes on loopback with proxies between them, to which
/// the actions of a schedule are applied. Not thread-safe.
class SoakFleet {
 public:
  SoakFleet(const SoakFleetOptions& options, const RunClock& clock);
  SoakFleet(const SoakFleet&) = delete;
  SoakFleet& operator=(const SoakFleet&) = delete;
  ~SoakFleet();

  /// \brief Starts all processes and commits the first configuration.
  /// \throws std::runtime_error when the fleet is not ready in time.
  void Start();

  /// \brief Starts an action; `Tick` ends it after its length.
  /// \returns Whether it started; false while its target is down or paused.
  bool Apply(const Action& action);
  /// \brief Ends actions whose length is over and restarts nodes that exited
  /// after a stop. Must be called every few milliseconds.
  /// \throws std::runtime_error when a node exited without being told to.
  void Tick();
  /// \brief Ends all actions immediately.
  void EndActions();
  /// \returns Whether every node runs and none has been told to stop.
  [[nodiscard]] bool IsSettled() const;

  [[nodiscard]] std::vector<Address> EntryAddresses() const;
  /// \brief Adds the nodes' processes, versions and commits, the proxies'
  /// stalls, and the upstreams' execution counts to `history`.
  void AddObservations(History* history);

 private:
  /// \brief The pending check that the upstream of a stopping node gets no new
  /// requests.
  struct PendingDrainCheck {
    /// When the upstream's executions are counted first.
    RunTime due{0};
    /// Set after that count.
    std::optional<DrainCheck> check;
  };
  /// \brief The scheduled end of an action.
  struct Undo {
    RunTime due{0};
    std::function<void()> run;
  };

  [[nodiscard]] harness::FleetOptions MakeFleetOptions(
      const SoakFleetOptions& options);
  void AddProxies();
  /// \brief Runs `run` from `Tick` after `length`, or from `EndActions`.
  void ScheduleUndo(Milliseconds length, std::function<void()> run);
  void StartNode(std::size_t host);
  void RestartIfExited(std::size_t host);
  /// \brief Takes the first count of a pending check that is due. Drops the
  /// check when the upstream is paused, as it could not reply.
  void BeginDrainCheck(std::size_t host);
  /// \brief Takes the second count when the node has exited.
  void FinishDrainCheck(std::size_t host);
  [[nodiscard]] std::uint64_t CountExecutions(std::size_t host) const;
  void AddExecutions(std::size_t host, History* history) const;
  /// \returns Whether the node has been told to stop or has exited.
  [[nodiscard]] bool IsDown(std::size_t host) const;

  bool StopNode(const Action& action);
  bool CommitChange(const Action& action);
  bool KillNode(const Action& action);
  bool PauseNode(const Action& action);
  bool RestartUpstream(const Action& action);
  bool PauseUpstream(const Action& action);
  bool PauseStore(const Action& action);
  bool ControlStore(const Action& action);
  bool ControlUpstream(const Action& action);
  bool ApplyNetworkFault(const Action& action);

  /// \returns The proxy in front of a host's node or upstream, or of the
  /// store.
  [[nodiscard]] const Address& ProxyOf(ProxyTarget proxy_target,
                                       std::size_t host) const;

  const RunClock& clock_;
  std::vector<Address> node_proxies_;
  std::vector<Address> upstream_proxies_;
  Address store_proxy_;
  ProxySet proxies_;
  harness::Fleet fleet_;
  std::optional<Monitor> monitor_;
  std::vector<Undo> undos_;
  /// Index in `node_processes_` of each host's newest process.
  std::vector<std::size_t> current_process_;
  std::vector<NodeProcess> node_processes_;
  std::vector<NodeOutage> node_outages_;
  std::vector<std::optional<PendingDrainCheck>> pending_drain_checks_;
  std::vector<DrainCheck> drain_checks_;
  std::vector<bool> paused_nodes_;
  std::vector<bool> paused_upstreams_;
  bool is_store_paused_ = false;
  /// Executions that upstreams counted before they were restarted.
  History restarted_upstreams_;
};

}  // namespace cassiabend::soak
