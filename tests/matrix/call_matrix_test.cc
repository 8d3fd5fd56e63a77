#include <doctest/doctest.h>

#include <cstdlib>
#include <sstream>

#include "tests/call_world.h"

namespace cassiabend::testing {
namespace {

constexpr std::size_t kNodes = 3;
/// Faults are also injected at this many steps beyond those of a run without
/// faults, since recovery from an earlier fault adds steps.
constexpr std::size_t kRecoverySteps = 8;

struct Scenario {
  const char* name;
  void (*run)(CallWorld* world);
};

void RunRead(CallWorld* world) {
  world->Call(0, "status");
}
void RunOnce(CallWorld* world) {
  world->Call(0, "orders");
}
void RunNoisy(CallWorld* world) {
  // A node has two slots, so some of these calls are queued.
  for (std::size_t n = 0; n < 8; ++n) {
    world->Call(n % kNodes, "print");
  }
  world->Run(Milliseconds(200));
  world->Call(0, "print");
}
void RunOrder(CallWorld* world) {
  world->Call(0, "orders", "k");
}
void RunRepeatedOrder(CallWorld* world) {
  world->Call(0, "orders", "k");
  world->Run(Milliseconds(6));
  world->Call(1, "orders", "k");
  world->Run(Milliseconds(5'000));
  world->Call(2, "orders", "k");
}
void RunLeave(CallWorld* world) {
  for (int i = 0; i < 3; ++i) {
    world->Call(0, "status");
    world->Call(1, "orders");
    world->Call(2, "orders", "k" + std::to_string(i));
  }
  world->Run(Milliseconds(4));
  world->Drain(1);
}

constexpr Scenario kScenarios[] = {
    {"read", RunRead},
    {"once", RunOnce},
    {"noisy", RunNoisy},
    {"order", RunOrder},
    {"repeat", RunRepeatedOrder},
    {"leave", RunLeave},
};

struct Injection {
  std::size_t step = 0;
  Fault fault = Fault::kNone;
};
using Cell = std::vector<Injection>;

std::string NameOf(const Scenario& scenario, const Cell& cell) {
  std::ostringstream out;
  out << scenario.name;
  for (const Injection& it : cell) {
    out << '/' << it.step << ':'
        << kFaultNames.at(static_cast<std::size_t>(it.fault));
  }
  return out.str();
}

std::string JoinLines(const std::vector<std::string>& lines) {
  std::string out;
  for (const std::string& it : lines) {
    out += "\n  " + it;
  }
  return out;
}

/// Number of cells that the current test case ran.
std::size_t cells_run = 0;

/// \returns The number of steps that the run took.
std::size_t RunCell(const Scenario& scenario, const Cell& cell) {
  ++cells_run;
  CallWorld world(kNodes);
  world.plan = [&cell](std::size_t step) {
    for (const Injection& it : cell) {
      if (it.step == step) {
        return it.fault;
      }
    }
    return Fault::kNone;
  };
  scenario.run(&world);
  world.Finish();
  if (!world.violations().empty()) {
    const std::string name = NameOf(scenario, cell);
    FAIL_CHECK("CASSIABEND_CELL=" << name << " build/tests/call_matrix_test"
                                  << JoinLines(world.violations()));
  }
  return world.steps();
}

Fault FaultAt(std::size_t index) {
  return static_cast<Fault>(index);
}

/// \brief Parses a cell from the name that `NameOf` gives it.
/// \returns Whether the scenario is known.
bool ParseCell(const std::string& text, Scenario* scenario, Cell* cell) {
  std::istringstream in(text);
  std::string part;
  std::getline(in, part, '/');
  bool found = false;
  for (const Scenario& it : kScenarios) {
    if (part == it.name) {
      *scenario = it;
      found = true;
    }
  }
  while (std::getline(in, part, '/')) {
    const std::size_t colon = part.find(':');
    for (std::size_t f = 0; f < kFaultNames.size(); ++f) {
      if (part.substr(colon + 1) == kFaultNames.at(f)) {
        cell->push_back({std::stoul(part), FaultAt(f)});
      }
    }
  }
  return found;
}

const char* EnvironmentCell() {
  return std::getenv("CASSIABEND_CELL");
}
const char* EnvironmentSeed() {
  return std::getenv("CASSIABEND_SEED");
}

TEST_CASE("the chosen cell") {
  if (EnvironmentCell() == nullptr) {
    return;
  }
  Scenario scenario{};
  Cell cell;
  REQUIRE(ParseCell(EnvironmentCell(), &scenario, &cell));
  RunCell(scenario, cell);
}

TEST_CASE("every fault at every step, once") {
  if (EnvironmentCell() != nullptr || EnvironmentSeed() != nullptr) {
    return;
  }
  cells_run = 0;
  for (const Scenario& scenario : kScenarios) {
    const std::size_t steps = RunCell(scenario, {}) + kRecoverySteps;
    for (std::size_t step = 0; step < steps; ++step) {
      for (std::size_t f = 1; f < kFaultNames.size(); ++f) {
        RunCell(scenario, {{step, FaultAt(f)}});
      }
    }
  }
  MESSAGE("cells: " << cells_run);
  CHECK(cells_run > kFaultNames.size() * kRecoverySteps);
}

/// \brief Runs every pair of faults at two steps.
void RunPairs(const Scenario& scenario, std::size_t first, std::size_t second) {
  for (std::size_t f = 1; f < kFaultNames.size(); ++f) {
    for (std::size_t g = 1; g < kFaultNames.size(); ++g) {
      RunCell(scenario, {{first, FaultAt(f)}, {second, FaultAt(g)}});
    }
  }
}

TEST_CASE("two faults at every two steps") {
  if (EnvironmentCell() != nullptr || EnvironmentSeed() != nullptr) {
    return;
  }
  cells_run = 0;
  for (const Scenario& scenario : kScenarios) {
    const std::size_t steps = RunCell(scenario, {}) + kRecoverySteps;
    // Longer scenarios inject pairs only at some steps, to bound the run time.
    const std::size_t stride = 1 + steps / 7;
    for (std::size_t first = 0; first < steps; first += stride) {
      for (std::size_t second = first + 1; second < steps; second += stride) {
        RunPairs(scenario, first, second);
      }
    }
  }
  MESSAGE("cells: " << cells_run);
  CHECK(cells_run > kFaultNames.size() * kFaultNames.size());
}

void RunSeed(std::uint64_t seed) {
  CallWorld world(kNodes, seed);
  Random random(seed);
  const std::uint64_t one_fault_in = 4 + random.Below(60);
  std::string injected_faults;
  world.plan = [&](std::size_t step) {
    if (random.Below(one_fault_in) != 0) {
      return Fault::kNone;
    }
    const Fault fault = FaultAt(1 + random.Below(kFaultNames.size() - 1));
    injected_faults += " " + std::to_string(step) + ":" +
                       kFaultNames.at(static_cast<std::size_t>(fault));
    return fault;
  };
  const char* routes[] = {"status", "orders", "orders", "print"};
  for (int i = 0; i < 12; ++i) {
    const std::string route = routes[random.Below(4)];
    const std::uint64_t key = random.Below(4);
    world.Call(random.Below(kNodes), route,
               route == "orders" && key > 0 ? "k" + std::to_string(key) : "");
    world.Run(Milliseconds(static_cast<int>(random.Below(700))));
  }
  world.plan = nullptr;
  world.Finish();
  if (!world.violations().empty()) {
    FAIL_CHECK("CASSIABEND_SEED=" << seed << " build/tests/call_matrix_test"
                                  << injected_faults
                                  << JoinLines(world.violations()));
  }
}

TEST_CASE("seeded runs of many calls and faults") {
  if (EnvironmentCell() != nullptr) {
    return;
  }
  if (EnvironmentSeed() != nullptr) {
    RunSeed(std::stoull(EnvironmentSeed()));
    return;
  }
  constexpr std::uint64_t kSeeds = 3'000;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RunSeed(seed);
  }
}

}  // namespace
}  // namespace cassiabend::testing
