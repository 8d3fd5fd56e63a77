#include <doctest/doctest.h>

#include "tests/support/commit_cells.h"

// Pairs of faults, the same one twice included. They are spread over several
// programs, which run side by side.

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
