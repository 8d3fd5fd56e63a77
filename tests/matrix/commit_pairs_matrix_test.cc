#include <doctest/doctest.h>

#include "tests/support/commit_cells.h"

// Every pair of faults, including the same fault twice. The pairs are split
// over several programs, which can run in parallel.

namespace cassiabend::testing {
namespace {

TEST_CASE("commit: every pair of faults, scenario one") {
  CheckPairs(0);
}

TEST_CASE("commit: every pair of faults, scenario same_item") {
  CheckPairs(1);
}

TEST_CASE("commit: every pair of faults, scenario neighbours") {
  CheckPairs(2);
}

}  // namespace
}  // namespace cassiabend::testing
