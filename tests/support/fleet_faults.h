#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "cassiabend/base/time.h"

namespace cassiabend::testing {

/// \returns The names of three zones, which belong to two regions.
[[nodiscard]] inline std::vector<std::string> ThreeZones() {
  return {"puget-a", "puget-b", "inland-a"};
}

/// \brief Faults of the fake network, as probabilities per message in
/// thousandths.
struct NetworkFaults {
  std::uint32_t dropped_permille = 0;
  std::uint32_t duplicated_permille = 0;
  /// Messages delayed by up to `max_delay`, which also reorders them.
  std::uint32_t delayed_permille = 0;
  Milliseconds max_delay{1'500};
};

/// \brief Faults of the fake store.
struct StoreFaults {
  /// Calls fail at once without being executed.
  bool down = false;
  /// Calls are executed, but their replies are lost.
  bool replies_lost = false;
  /// Watches never return.
  bool watches_hang = false;
  /// Pending watches do not see changes and end without one.
  bool watches_miss_changes = false;
  /// Pending watches fail, as when the store compacts its history.
  bool watches_fail = false;
  Milliseconds added_latency{0};
  /// Zones that cannot reach the store.
  std::set<std::string> zones_without_store;
  /// Calls of these nodes get no answer, and watches that wait never do.
  std::set<std::size_t> silent_for;
};

/// \brief Totals of what the fleet sent, with the sizes that the messages would
/// have on a real network.
struct FleetTraffic {
  std::uint64_t datagrams = 0;
  std::uint64_t datagram_bytes = 0;
  std::uint64_t config_messages = 0;
  std::uint64_t config_bytes = 0;
  std::uint64_t zone_crossing_bytes = 0;
  std::uint64_t store_calls = 0;
};

}  // namespace cassiabend::testing
