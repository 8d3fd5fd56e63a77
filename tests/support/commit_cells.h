#pragma once

#include <doctest/doctest.h>

#include <cstdlib>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "cassiabend/core/commit_job.h"
#include "cassiabend/core/commit_plan.h"
#include "tests/support/commit_simulation.h"
#include "tests/support/configs.h"

namespace cassiabend::testing {

/// Number of store calls of a scenario that get faults; the later calls belong
/// to retries, concurrent operators and the cleanup.
inline constexpr int kSteps = 14;

/// \brief One request of an operator to a node.
struct ScheduledRequest {
  int node = 0;
  Milliseconds at{0};
  CommitRequest request;
};

/// \returns The same request under another request id.
inline CommitRequest WithRequestId(CommitRequest request,
                                   AdminRequestId number) {
  std::visit([number](auto& it) { it.request = number; }, request);
  return request;
}

inline ChangeId ChangeIdOf(const ScheduledRequest& scheduled) {
  if (const auto* commit = std::get_if<CommitRequested>(&scheduled.request)) {
    return commit->change.id;
  }
  if (const auto* rollback =
          std::get_if<RollbackRequested>(&scheduled.request)) {
    return rollback->change_id;
  }
  return std::get<RecoverRequested>(scheduled.request).change_id;
}

struct Scenario {
  const char* name;
  bool empty_store;
  std::vector<ScheduledRequest> requests;
  /// Sent before the faults start; their cleanup continues during the scenario.
  std::vector<ScheduledRequest> setup_requests = {};
  /// Whether the store loses the newest version before the scenario starts.
  bool behind = false;
};

inline CommitRequest PutService(std::uint64_t id, const std::string& name) {
  return CommitRequested{.change = ChangeOf(id, {{.action = ServiceOf(name)}})};
}

/// \returns A change of the route "status" that expects the route's revision 2.
inline CommitRequest ChangeRouteService(std::uint64_t id,
                                        const std::string& service) {
  return CommitRequested{
      .change = ChangeOf(id, {{.action = RouteTo("status", service),
                               .expected_revision = 2}})};
}

inline const std::vector<Scenario>& Scenarios() {
  const Milliseconds now{0};
  const Milliseconds soon{4};
  static const std::vector<Scenario> scenarios = {
      {"one", false, {{0, now, PutService(1, "new")}}},
      {"same_item",
       false,
       {{0, now, ChangeRouteService(1, "orders")},
        {1, soon, ChangeRouteService(2, "artwork")}}},
      {"neighbours",
       false,
       {{0, now, PutService(1, "a")},
        {1, soon, PutService(2, "b")},
        {2, now, ChangeRouteService(3, "orders")}}},
      {"same_change",
       false,
       {{0, now, PutService(1, "a")}, {1, soon, PutService(1, "a")}}},
      {"first",
       true,
       {{0, now, PutService(1, "a")}, {1, soon, PutService(2, "b")}}},
      {"during_cleanup",
       false,
       {{0, now, PutService(1, "new")}},
       {{1, now, PutService(11, "a")},
        {2, Milliseconds(100), PutService(12, "b")},
        {1, Milliseconds(200), PutService(13, "c")},
        {2, Milliseconds(300), PutService(14, "d")}}},
      {"rollback",
       false,
       {{0, now, RollbackRequested{.number = 1, .change_id = {1, 1}}},
        {1, soon, PutService(2, "b")}}},
      {"recover",
       false,
       {{0, now, RecoverRequested{.change_id = {1, 1}}},
        {1, soon, PutService(2, "b")},
        {2, Milliseconds(80), PutService(3, "c")}},
       {{2, now, PutService(11, "lost")}},
       true},
  };
  return scenarios;
}

/// \brief One run of the matrix: a scenario, its faults and a seed.
struct Cell {
  std::size_t scenario = 0;
  std::vector<PlannedFault> faults;
  std::uint64_t seed = 1;
};

/// \returns The cell as text: "SCENARIO/SEED/STEP:FAULT,[STEP:FAULT,]".
inline std::string TextOf(const Cell& cell) {
  std::ostringstream out;
  out << cell.scenario << '/' << cell.seed << '/';
  for (const PlannedFault& it : cell.faults) {
    out << it.step << ':' << static_cast<int>(it.fault) << ',';
  }
  return out.str();
}

inline Cell ParseCell(const std::string& text) {
  std::istringstream in(text);
  Cell out;
  char separator = 0;
  in >> out.scenario >> separator >> out.seed >> separator;
  int step = 0;
  int fault = 0;
  while (in >> step >> separator >> fault) {
    out.faults.push_back({step, static_cast<Fault>(fault)});
    in >> separator;
  }
  return out;
}

inline void CommitBaseVersions(CommitSimulation* simulation) {
  simulation->ScheduleRequest(
      0, Milliseconds(0),
      CommitRequested{
          .request = 101,
          .change = ChangeOf(101, {{.action = ServiceOf("catalog")},
                                   {.action = ServiceOf("orders")},
                                   {.action = ServiceOf("artwork")}})});
  simulation->Run(Seconds(2));
  simulation->ScheduleRequest(
      0, Milliseconds(0),
      CommitRequested{
          .request = 102,
          .change = ChangeOf(102, {{.action = RouteTo("status", "catalog")}})});
  simulation->Run(Seconds(2));
  REQUIRE(simulation->head().mark.number == 2);
}

inline bool IsDefiniteRefusal(CommitCode code) {
  return code != CommitCode::kOk && code != CommitCode::kOutcomeUnknown;
}

/// \brief Repeats the requests without a known outcome, as operators would, up
/// to three times.
inline void RepeatOpenRequests(const Scenario& scenario,
                               CommitSimulation* simulation) {
  for (std::uint64_t round = 1; round <= 3; ++round) {
    for (std::size_t i = 0; i < scenario.requests.size(); ++i) {
      const AdminRequestId last = i + 10 * (round - 1);
      const auto& answers = simulation->answers[last];
      if (!answers.empty() && answers[0].code != CommitCode::kOutcomeUnknown) {
        simulation->answers[i + 10 * round] = answers;
        continue;
      }
      const ScheduledRequest& scheduled = scenario.requests[i];
      simulation->ScheduleRequest(
          (scheduled.node + 1) % 3, Milliseconds(10 * i),
          WithRequestId(scheduled.request, i + 10 * round));
    }
    simulation->Run(Seconds(2));
  }
}

inline void CheckOutcomes(const Scenario& scenario,
                          CommitSimulation* simulation) {
  std::map<ChangeId, bool> accepted;
  std::map<ChangeId, bool> refused;
  for (std::size_t i = 0; i < scenario.requests.size(); ++i) {
    const ChangeId id = ChangeIdOf(scenario.requests[i]);
    refused.try_emplace(id, true);
    for (std::uint64_t round = 0; round <= 3; ++round) {
      const auto& answers = simulation->answers[i + 10 * round];
      // A request without an answer ended with the process of its node.
      refused[id] =
          refused[id] && !answers.empty() && IsDefiniteRefusal(answers[0].code);
      accepted[id] = accepted[id] ||
                     (!answers.empty() && answers[0].code == CommitCode::kOk);
    }
  }
  for (const auto& [id, refusal] : refused) {
    // A restored store may have lost changes that took effect before.
    const bool effect = simulation->restored()
                            ? FindChange(simulation->head(), id).has_value()
                            : simulation->effects_of(id) != 0;
    if (refusal && effect) {
      simulation->failures.emplace_back("a refused change took effect");
    }
  }
  for (const auto& [id, ok] : accepted) {
    if (ok && simulation->effects_of(id) == 0) {
      simulation->failures.emplace_back("an accepted change never took effect");
    }
  }
}

/// \brief Checks that a change is accepted after the faults; after a restore,
/// once a recovery has written the fleet's newest version to the store.
inline void CheckRecovery(bool behind, CommitSimulation* simulation) {
  simulation->SetFaults({});
  simulation->Run(Seconds(35));
  if ((behind || simulation->restored()) && simulation->fleet()) {
    const Config before = simulation->newest(0)->config();
    simulation->ScheduleRequest(0, Milliseconds(0),
                                RecoverRequested{200, {200, 1}, "ops"});
    simulation->Run(Seconds(3));
    const Config after = simulation->fleet()->config();
    // The store may hold a newer version, whose committer was killed; then the
    // request is refused and the node loads that version.
    const bool ok = simulation->answers[200][0].code == CommitCode::kOk;
    if (ok &&
        (before.routes != after.routes || before.services != after.services)) {
      simulation->failures.emplace_back("the recovery changed the content");
    }
  }
  simulation->ScheduleRequest(1, Milliseconds(0),
                              WithRequestId(PutService(201, "last"), 201));
  simulation->ScheduleRequest(1, Milliseconds(500),
                              WithRequestId(PutService(201, "last"), 202));
  simulation->Run(Seconds(15));
  if (simulation->effects_of({201, 1}) != 1) {
    simulation->failures.emplace_back("no change is accepted after the faults");
  }
  simulation->CheckReferencedVersions(simulation->restored() ? 1 : 100);
}

inline std::vector<std::string> RunCell(const Cell& cell) {
  const Scenario& scenario = Scenarios()[cell.scenario];
  ConfigOptions options;
  options.kept_versions = 3;
  options.cleanup_period = Milliseconds(250);
  options.cleanup_grace = Milliseconds(0);
  CommitSimulation simulation(3, cell.seed, options);
  if (!scenario.empty_store) {
    CommitBaseVersions(&simulation);
  }
  for (const ScheduledRequest& it : scenario.setup_requests) {
    simulation.ScheduleRequest(
        it.node, it.at, WithRequestId(it.request, 1000 + ChangeIdOf(it).high));
  }
  simulation.Run(Milliseconds(100));
  if (scenario.behind) {
    simulation.RestoreOlderAndResetInvariants();
  }
  simulation.SetFaults(cell.faults);
  for (std::size_t i = 0; i < scenario.requests.size(); ++i) {
    const ScheduledRequest& it = scenario.requests[i];
    simulation.ScheduleRequest(it.node, it.at, WithRequestId(it.request, i));
  }
  simulation.Run();
  RepeatOpenRequests(scenario, &simulation);
  CheckOutcomes(scenario, &simulation);
  CheckRecovery(scenario.behind, &simulation);
  return simulation.failures;
}

/// \brief Runs one cell; a failure reports how to run this cell alone.
inline void CheckCell(const Cell& cell) {
  const std::vector<std::string> failures = RunCell(cell);
  if (failures.empty()) {
    return;
  }
  std::string text = "scenario " + std::string(Scenarios()[cell.scenario].name);
  for (const std::string& it : failures) {
    text += "\n  " + it;
  }
  FAIL_CHECK(text << "\n  replay: CASSIABEND_CELL=" << TextOf(cell)
                  << " build/tests/commit_matrix_test");
}

/// \brief Runs the cell that CASSIABEND_CELL names, if it is set.
/// \returns Whether it was set.
inline bool RunCellFromEnvironment() {
  const char* text = std::getenv("CASSIABEND_CELL");
  if (text == nullptr) {
    return false;
  }
  CheckCell(ParseCell(text));
  return true;
}

inline std::uint64_t BaseSeed() {
  const char* seed = std::getenv("CASSIABEND_SEED");
  return seed == nullptr ? 7 : std::strtoull(seed, nullptr, 10);
}

/// \brief Runs every pair of faults on different steps of one scenario.
inline void CheckPairs(std::size_t scenario) {
  for (int first = 0; first < kSteps * kFaults; ++first) {
    for (int second = first + 1; second < kSteps * kFaults; ++second) {
      const PlannedFault a{first / kFaults, Fault(first % kFaults)};
      const PlannedFault b{second / kFaults, Fault(second % kFaults)};
      if (a.step != b.step) {
        CheckCell(
            {scenario, {a, b}, BaseSeed() + static_cast<unsigned>(first)});
      }
    }
  }
}

}  // namespace cassiabend::testing
