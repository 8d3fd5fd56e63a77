#include <doctest/doctest.h>

#include "tests/support/commit_cells.h"

// Pairs of faults, the same one twice included. They are spread over several
// programs, which run side by side.

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
