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
  std::string bin;
  /// Program of the nodes; empty for the one in `bin`.
  std::string node_program;
  /// Width of each host's link, in kilobits a second; 0 leaves the setting out.
  std::uint32_t link_kilobits = 13'300;
  /// Folder for settings and logs; it must exist.
  std::string work;
};

/// \brief Real processes on loopback with proxies between them, and what is
/// done to them. Used by one thread.
class SoakFleet {
 public:
  SoakFleet(const SoakFleetOptions& options, const RunClock& clock);
  SoakFleet(const SoakFleet&) = delete;
  SoakFleet& operator=(const SoakFleet&) = delete;
  ~SoakFleet();

  /// \brief Starts everything and puts a first version in force.
  /// \throws std::runtime_error when that takes too long.
  void Start();

  /// \brief Does one thing to the fleet.
  /// \returns Whether it was done: not when its target is away or paused.
  bool Do(const Action& action);
  /// \brief Ends what is due, notices processes that ended and starts them
  /// again. To be called every few milliseconds.
  void Tick();
  /// \brief Ends every fault at once.
  void Heal();
  /// \brief Whether every node runs and none is asked to leave.
  [[nodiscard]] bool IsSettled() const;

  [[nodiscard]] std::vector<Address> Entries() const;
  /// \brief Adds what is known of processes, and the upstreams' ledgers.
  void Tell(History* history);

 private:
  /// \brief A count of an upstream's runs at the gate of its leaving node.
  struct Gate {
    RunTime due{0};
    std::optional<GateSeen> seen;
  };
  /// \brief The end of something that was begun.
  struct Undo {
    RunTime due{0};
    std::function<void()> run;
  };

  [[nodiscard]] harness::FleetOptions OptionsOf(
      const SoakFleetOptions& options);
  void AddProxies();
  void After(Milliseconds length, std::function<void()> run);
  void StartNode(std::size_t host);
  void NoticeEnd(std::size_t host);
  void WatchGate(std::size_t host);
  void EndGate(std::size_t host);
  [[nodiscard]] std::uint64_t RunsAt(std::size_t host) const;
  void AddLedger(std::size_t host, History* history) const;
  [[nodiscard]] bool IsAway(std::size_t host) const;

  bool StopNode(const Action& action);
  bool Change(const Action& action);
  bool KillNode(const Action& action);
  bool PauseNode(const Action& action);
  bool RestartUpstream(const Action& action);
  bool PauseUpstream(const Action& action);
  bool PauseStore(const Action& action);
  bool ControlStore(const Action& action);
  bool ControlUpstream(const Action& action);
  bool DisturbLink(const Action& action);

  /// \returns The proxy before a host's node or upstream, or the store.
  [[nodiscard]] const Address& ProxyOf(LinkPlace place, std::size_t host) const;

  const RunClock& clock_;
  std::vector<Address> node_proxies_;
  std::vector<Address> upstream_proxies_;
  Address store_proxy_;
  ProxySet proxies_;
  harness::Fleet fleet_;
  std::optional<Monitor> monitor_;
  std::vector<Undo> undos_;
  /// Index of each host's newest process in `lives_`.
  std::vector<std::size_t> current_;
  std::vector<NodeLife> lives_;
  std::vector<Disturbance> disturbances_;
  std::vector<std::optional<Gate>> gates_;
  std::vector<GateSeen> gates_seen_;
  std::vector<bool> paused_nodes_;
  std::vector<bool> paused_upstreams_;
  bool is_store_paused_ = false;
  /// Ledgers of upstreams that were ended.
  History ended_;
};

}  // namespace cassiabend::soak
