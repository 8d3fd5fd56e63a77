#include <doctest/doctest.h>

#include <cstdlib>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "tests/support/fleet_driver.h"

namespace cassiabend::testing {
namespace {

constexpr std::size_t kNodes = 9;
constexpr std::size_t kJoiner = 5;
/// The stated target: a committed change is in force on every node within this.
constexpr Seconds kConvergenceTarget{4};
constexpr std::uint64_t kSeed = 11;
/// Bound for two readers, or a few candidates, in each of three zones.
constexpr double kStoreCallsPerSecond = 12;
/// Five more for each node, which a fault may cause to restart.
constexpr double kStoreCallsForRestarts = 5 * kNodes;

// Each step of a flow is a kind of effect. The fault begins when the first
// effect of that kind appears.

template <typename Request>
bool IsStoreCall(const FleetEffect& effect, const std::string& prefix) {
  const auto* call = std::get_if<StoreCall>(&effect);
  const auto* request =
      call == nullptr ? nullptr : std::get_if<Request>(&call->request);
  if constexpr (requires(Request it) { it.key; }) {
    return request != nullptr && request->key.starts_with(prefix);
  } else {
    return request != nullptr;
  }
}
template <typename Body>
bool IsDatagram(const FleetEffect& effect) {
  const auto* send = std::get_if<SendDatagram>(&effect);
  return send != nullptr && std::holds_alternative<Body>(send->datagram.body);
}
template <typename Kind>
bool IsEffect(const FleetEffect& effect) {
  return std::holds_alternative<Kind>(effect);
}
bool IsValueRead(const FleetEffect& effect) {
  return IsStoreCall<StoreGet>(effect, kValuePrefix) ||
         IsStoreCall<StoreGet>(effect, kDeltaPrefix);
}
bool IsLeaveUpdate(const FleetEffect& effect) {
  const auto* changed = std::get_if<MembersChanged>(&effect);
  return changed != nullptr &&
         changed->members.front().status == MemberStatus::kLeft;
}
bool IsReady(const FleetEffect& effect) {
  const auto* readiness = std::get_if<ReadinessChanged>(&effect);
  return readiness != nullptr && readiness->ready;
}

using Match = std::function<bool(const FleetEffect&)>;
struct Step {
  std::string name;
  Match match;
};

/// \brief A sequence of actions of the fleet. The names of flows, steps and
/// faults form the name of a cell, as CASSIABEND_CELL takes it.
struct Flow {
  std::string name;
  std::function<void(FleetDriver&)> begin;
  std::vector<Step> steps;
  /// Node whose effects count as steps; any node's if unset.
  std::optional<std::size_t> node;
};

std::size_t FirstReader(FleetDriver& driver) {
  for (std::size_t i = 0; i < driver.size(); ++i) {
    if (driver.node(i).up && driver.node(i).reducer->is_reader()) {
      return i;
    }
  }
  return 0;
}

const std::vector<Flow>& Flows() {
  const auto get = [](const std::string& prefix) -> Match {
    return [prefix](const FleetEffect& it) {
      return IsStoreCall<StoreGet>(it, prefix);
    };
  };
  const auto swap = [](const std::string& prefix) -> Match {
    return [prefix](const FleetEffect& it) {
      return IsStoreCall<StoreCompareAndSwap>(it, prefix);
    };
  };
  static const std::vector<Flow> flows{
      {"spread",
       [](FleetDriver& it) { it.Commit(); },
       {{"read", get(kHeadKey)},
        {"fetch", IsValueRead},
        {"push", IsEffect<SendPush>},
        {"apply", IsEffect<ApplyVersion>},
        {"beat", IsDatagram<HeartbeatBody>},
        {"attach", IsDatagram<AttachBody>}}},
      {"committer",
       [](FleetDriver& it) { it.Commit(7); },
       {{"push", IsEffect<SendPush>},
        {"reply", IsEffect<ReplyPush>},
        {"apply", IsEffect<ApplyVersion>}}},
      {"join",
       [](FleetDriver& it) {
         it.Kill(kJoiner);
         it.Start(kJoiner);
       },
       {{"meet", IsEffect<SendMembersRequest>},
        {"pull", IsEffect<SendPull>},
        {"apply", IsEffect<ApplyVersion>},
        {"ready", IsReady}},
       kJoiner},
      {"join-by-store",
       [](FleetDriver& it) {
         it.Kill(kJoiner);
         // Long enough for the other nodes to stop contacting it.
         it.RunFor(Seconds(12));
         it.seeds_from_settings = false;
         it.Start(kJoiner);
       },
       {{"seeds", get(kSeedPrefix)},
        {"meet", IsEffect<SendMembersRequest>},
        {"pull", IsEffect<SendPull>}},
       kJoiner},
      {"leave",
       [](FleetDriver& it) { it.Leave(FirstReader(it)); },
       {{"tell", IsDatagram<PingBody>},
        {"revoke",
         [](const FleetEffect& it) {
           return IsStoreCall<StoreLeaseRevoke>(it, "");
         }},
        {"taken", IsLeaveUpdate}}},
      {"lease",
       [](FleetDriver& it) { it.Kill(FirstReader(it)); },
       {{"look", get(kReaderPrefix)},
        {"grant",
         [](const FleetEffect& it) {
           return IsStoreCall<StoreLeaseGrant>(it, "");
         }},
        {"claim", swap(kReaderPrefix)},
        {"renew",
         [](const FleetEffect& it) {
           return IsStoreCall<StoreLeaseKeepAlive>(it, "");
         }}}},
  };
  return flows;
}

struct Fault {
  std::string name;
  /// \param i Index of the node whose effect matched the step.
  std::function<void(FleetDriver&, std::size_t i)> begin;
  Milliseconds duration{3'000};
};

const std::vector<Fault>& Faults() {
  static const std::vector<Fault> faults{
      {"lost",
       [](FleetDriver& it, std::size_t) { it.network.dropped_permille = 400; }},
      {"doubled", [](FleetDriver& it,
                     std::size_t) { it.network.duplicated_permille = 500; }},
      {"late",
       [](FleetDriver& it, std::size_t) { it.network.delayed_permille = 500; }},
      {"killed", [](FleetDriver& it, std::size_t i) { it.Kill(i); }},
      {"zone-killed",
       [](FleetDriver& it, std::size_t i) {
         for (std::size_t n = 0; n < it.size(); ++n) {
           if (it.node(n).self.zone == it.node(i).self.zone) {
             it.Kill(n);
           }
         }
       }},
      {"paused",
       [](FleetDriver& it, std::size_t i) { it.Pause(i, Seconds(12)); },
       Milliseconds(12'100)},
      {"store-down",
       [](FleetDriver& it, std::size_t) { it.store_faults.down = true; },
       Milliseconds(15'000)},
      {"store-slow",
       [](FleetDriver& it, std::size_t) {
         it.store_faults.added_latency = Milliseconds(1'500);
       },
       Milliseconds(8'000)},
      {"answers-lost",
       [](FleetDriver& it, std::size_t) {
         it.store_faults.replies_lost = true;
       },
       Milliseconds(6'000)},
      {"watches-dead",
       [](FleetDriver& it, std::size_t) {
         it.store_faults.watches_hang = true;
       },
       Milliseconds(15'000)},
      {"restored", [](FleetDriver& it, std::size_t) { it.RestoreOldestHead(); },
       Milliseconds(4'000)},
      {"leases-lapsed",
       [](FleetDriver& it, std::size_t) { it.store().EraseAllLeases(); }},
      {"store-cut",
       [](FleetDriver& it, std::size_t i) {
         it.store_faults.zones_without_store.insert(it.node(i).self.zone);
       },
       Milliseconds(12'000)},
      {"zone-cut",
       [](FleetDriver& it, std::size_t i) { it.Isolate(it.node(i).self.zone); },
       Milliseconds(12'000)},
      {"one-way-cut",
       [](FleetDriver& it, std::size_t i) {
         for (const std::string& zone : ThreeZones()) {
           if (zone != it.node(i).self.zone) {
             it.Cut(it.node(i).self.zone, zone, true);
           }
         }
       },
       Milliseconds(9'000)},
  };
  return faults;
}

struct Cell {
  const Flow* flow = nullptr;
  const Step* step = nullptr;
  std::vector<const Fault*> faults;

  [[nodiscard]] std::string Name() const {
    std::string name = flow->name + "/" + step->name;
    for (const Fault* it : faults) {
      name += "/" + it->name;
    }
    return name;
  }
};

/// \brief Ends all faults: reconnects zones, resumes paused nodes and starts
/// killed ones.
void EndFaults(FleetDriver& driver) {
  const bool restored = driver.IsRestored();
  driver.Heal();
  for (std::size_t i = 0; i < driver.size(); ++i) {
    driver.node(i).paused_until = driver.now();
    if (!driver.node(i).up) {
      driver.Start(i);
    }
  }
  if (restored) {
    // As an operator's recovery does, commits a version above the newest one.
    driver.Commit();
  }
}

/// \returns The first violation found; empty if there is none.
std::string RunCell(const Cell& cell, std::uint64_t seed) {
  FleetOptions options;
  // Short, so that a started node reads the seeds in the store before other
  // nodes can contact it.
  options.join_jitter = Milliseconds(10);
  FleetDriver driver(kNodes, ThreeZones(), options, seed);
  driver.Commit();
  driver.StartAll();
  driver.RunFor(Seconds(6));
  driver.Commit();
  driver.RunFor(Seconds(3));
  if (!driver.IsConverged()) {
    return "did not converge before the fault";
  }
  std::optional<std::size_t> faulted_node;
  driver.on_effect = [&](std::size_t i, const FleetEffect& effect) {
    if (faulted_node || (cell.flow->node && cell.flow->node != i) ||
        !cell.step->match(effect)) {
      return;
    }
    faulted_node = i;
    cell.faults.front()->begin(driver, i);
  };
  cell.flow->begin(driver);
  driver.RunUntil([&] { return faulted_node.has_value(); }, Seconds(25));
  if (!faulted_node) {
    return "the step was not reached";
  }
  driver.on_effect = nullptr;
  const MonoTime fault_began_at = driver.now();
  const std::uint64_t calls_before = driver.traffic().store_calls;
  Milliseconds duration = cell.faults.front()->duration;
  if (cell.faults.size() > 1) {
    driver.RunFor(Milliseconds(700));
    cell.faults.back()->begin(driver, *faulted_node);
    duration = std::max(duration, cell.faults.back()->duration);
  }
  driver.RunFor(duration / 2);
  driver.Commit();
  driver.RunFor(duration / 2);
  EndFaults(driver);
  const Nanoseconds convergence_time =
      driver.RunUntil([&] { return driver.IsConverged(); }, Seconds(30));
  if (!driver.violations.empty()) {
    return driver.violations.front();
  }
  if (convergence_time > kConvergenceTarget) {
    return "converged after " +
           std::to_string(convergence_time.count() / 1'000'000) + " ms";
  }
  driver.RunFor(Seconds(10));
  for (std::size_t i = 0; i < driver.size(); ++i) {
    const FleetDriver::Node& node = driver.node(i);
    if (node.left && node.applied_after_leave != 0) {
      return "a member that left applied a version";
    }
    if (node.left) {
      continue;
    }
    if (!node.ready) {
      return "not ready after the faults: " + node.reason;
    }
    const auto confirmed = node.reducer->confirmed_at();
    if (!confirmed || driver.now() + node.clock_offset - *confirmed >
                          CallOptions{}.freshness_limit) {
      return "the confirmation is too old after the faults";
    }
  }
  const double seconds = static_cast<double>(
      std::chrono::duration_cast<Seconds>(driver.now() - fault_began_at)
          .count());
  const auto calls =
      static_cast<double>(driver.traffic().store_calls - calls_before);
  if (calls > seconds * kStoreCallsPerSecond + kStoreCallsForRestarts) {
    return std::to_string(calls / seconds) + " store calls a second";
  }
  return driver.violations.empty() ? "" : driver.violations.front();
}

std::string EnvironmentValue(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? "" : value;
}

void RunCells(const std::vector<Cell>& cells, std::uint64_t seed) {
  const std::string chosen_cell = EnvironmentValue("CASSIABEND_CELL");
  const std::string chosen_seed = EnvironmentValue("CASSIABEND_SEED");
  if (!chosen_seed.empty()) {
    seed = std::stoull(chosen_seed);
  }
  for (const Cell& it : cells) {
    if (!chosen_cell.empty() && chosen_cell != it.Name()) {
      continue;
    }
    const std::string failure = RunCell(it, seed);
    CHECK_MESSAGE(failure.empty(), "CASSIABEND_CELL=", it.Name(),
                  " CASSIABEND_SEED=", seed, " fleet_matrix_test: ", failure);
  }
}

std::vector<Cell> Cells(std::size_t faults_at_once) {
  std::vector<Cell> cells;
  for (const Flow& flow : Flows()) {
    for (const Step& step : flow.steps) {
      for (const Fault& a : Faults()) {
        if (faults_at_once == 1) {
          cells.push_back({&flow, &step, {&a}});
          continue;
        }
        for (const Fault& b : Faults()) {
          cells.push_back({&flow, &step, {&a, &b}});
        }
      }
    }
  }
  return cells;
}

TEST_CASE("every fault at every step of the fleet's flows") {
  RunCells(Cells(1), kSeed);
}

TEST_CASE("every fault twice at every step") {
  std::vector<Cell> cells = Cells(2);
  std::erase_if(cells, [](const Cell& it) {
    return it.faults.front() != it.faults.back();
  });
  RunCells(cells, kSeed + 1);
}

TEST_CASE("pairs of faults at every step") {
  std::vector<Cell> cells = Cells(2);
  Random random(kSeed);
  // The seed selects one in this many cells. A cell that CASSIABEND_CELL names
  // always runs, and with CASSIABEND_PAIRS=all every cell does.
  constexpr std::uint64_t kSampleOneIn = 4;
  const bool all = !EnvironmentValue("CASSIABEND_CELL").empty() ||
                   EnvironmentValue("CASSIABEND_PAIRS") == "all";
  std::erase_if(cells, [&](const Cell& it) {
    return it.faults.front() == it.faults.back() ||
           (random.Below(kSampleOneIn) != 0 && !all);
  });
  RunCells(cells, kSeed + 2);
}

}  // namespace
}  // namespace cassiabend::testing
