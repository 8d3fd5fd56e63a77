#include <doctest/doctest.h>

#include <cstdlib>

#include "tests/support/commit_cells.h"

namespace cassiabend::testing {
namespace {

TEST_CASE("commit: every fault at every step") {
  if (RunCellFromEnvironment()) {
    return;
  }
  for (std::size_t i = 0; i < Scenarios().size(); ++i) {
    CheckCell({i, {}, BaseSeed()});
    for (int step = 0; step < 2 * kSteps; ++step) {
      for (int fault = 0; fault < kFaults; ++fault) {
        CheckCell({i, {{step, Fault(fault)}}, BaseSeed() + step});
      }
    }
  }
}

TEST_CASE("commit: a committer is paused while others clean up") {
  if (std::getenv("CASSIABEND_CELL") != nullptr) {
    return;
  }
  constexpr std::size_t kDuringCleanupScenario = 5;
  for (std::uint64_t seed = 0; seed < 100; ++seed) {
    for (int step = 0; step < kSteps; ++step) {
      CheckCell({kDuringCleanupScenario,
                 {{step, Fault::kPauseBefore}},
                 BaseSeed() + seed});
    }
  }
}

TEST_CASE("commit: cells that failed before") {
  if (std::getenv("CASSIABEND_CELL") != nullptr) {
    return;
  }
  // As "SCENARIO/SEED/STEP:FAULT,...", the format of CASSIABEND_CELL.
  const char* const cells[] = {
      "2/9325177156799758421/31:4,16:6,38:12,",
      "3/2612910529922587534/24:2,31:12,10:5,32:9,23:10,",
      "5/7570571990708035335/23:4,40:9,6:0,29:12,",
      "5/11277918616597182825/32:8,36:9,33:3,10:12,35:0,24:6,0:7,6:0,",
      "2/11517707154978404916/23:4,15:2,12:6,40:12,",
      "2/88/6:3,13:12,",
      "1/159/11:9,12:12,",
  };
  for (const char* const it : cells) {
    CheckCell(ParseCell(it));
  }
}

TEST_CASE("commit: any number of faults at any steps") {
  if (std::getenv("CASSIABEND_CELL") != nullptr) {
    return;
  }
  constexpr int kCells = 5'000;
  constexpr std::uint64_t kMaxFaults = 8;
  constexpr std::uint64_t kRandomSteps = 42;
  Random random(BaseSeed());
  for (int i = 0; i < kCells; ++i) {
    Cell cell{random.Below(Scenarios().size()), {}, random.Next()};
    const std::uint64_t faults = 3 + random.Below(kMaxFaults - 2);
    for (std::uint64_t j = 0; j < faults; ++j) {
      cell.faults.push_back({static_cast<int>(random.Below(kRandomSteps)),
                             Fault(random.Below(kFaults))});
    }
    CheckCell(cell);
  }
}

}  // namespace
}  // namespace cassiabend::testing
