#include <doctest/doctest.h>

#include <cstdlib>

#include "tests/support/commit_cells.h"

namespace cassiabend::testing {
namespace {

TEST_CASE("commit: every fault at every step") {
  if (Replayed()) {
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

TEST_CASE("commit: a committer that stops while others clean up") {
  if (std::getenv("CASSIABEND_CELL") != nullptr) {
    return;
  }
  constexpr std::size_t kDuringCleanup = 5;
  for (std::uint64_t seed = 0; seed < 100; ++seed) {
    for (int step = 0; step < kSteps; ++step) {
      CheckCell(
          {kDuringCleanup, {{step, Fault::kPauseBefore}}, BaseSeed() + seed});
    }
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
