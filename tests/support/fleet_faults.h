#pragma once

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
  std::uint32_t lost_permille = 0;
  std::uint32_t doubled_permille = 0;
  /// Messages delayed by up to `late_by`, which also reorders them.
  std::uint32_t late_permille = 0;
  Milliseconds late_by{1'500};
};

/// \brief Faults of the fake store.
struct StoreFaults {
  /// Calls fail at once without being executed.
  bool down = false;
  /// Calls are executed, but their replies are lost.
  bool answers_lost = false;
  /// Watches never return.
  bool watches_dead = false;
  /// Pending watches do not see changes and end without one.
  bool watches_deaf = false;
  /// Pending watches fail, as when the store compacts its history.
  bool watches_cut = false;
  Milliseconds slow_by{0};
  /// Zones that cannot reach the store.
  std::set<std::string> cut_zones;
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
