#include <doctest/doctest.h>

#include "tests/support/commit_cells.h"

// Pairs of faults, the same one twice included. They are spread over several
// programs, which run side by side.

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
