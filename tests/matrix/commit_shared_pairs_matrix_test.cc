#include <doctest/doctest.h>

#include "tests/support/commit_cells.h"

// Every pair of faults, including the same fault twice. The pairs are split
// over several programs, which can run in parallel.

namespace cassiabend::testing {
namespace {

TEST_CASE("commit: every pair of faults, scenario same_change") {
  CheckPairs(3);
}

TEST_CASE("commit: every pair of faults, scenario first") {
  CheckPairs(4);
}

TEST_CASE("commit: every pair of faults, scenario during_cleanup") {
  CheckPairs(5);
}

}  // namespace
}  // namespace cassiabend::testing
