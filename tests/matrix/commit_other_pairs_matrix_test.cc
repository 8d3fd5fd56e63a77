#include <doctest/doctest.h>

#include "tests/support/commit_cells.h"

// Every pair of faults, including the same fault twice. The pairs are split
// over several programs, which can run in parallel.

namespace cassiabend::testing {
namespace {

TEST_CASE("commit: every pair of faults, scenario rollback") {
  CheckPairs(6);
}

TEST_CASE("commit: every pair of faults, scenario recover") {
  CheckPairs(7);
}

}  // namespace
}  // namespace cassiabend::testing
