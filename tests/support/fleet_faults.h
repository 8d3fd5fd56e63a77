#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "cassiabend/base/time.h"

namespace cassiabend::testing {

/// \returns Names of three zones in two regions.
[[nodiscard]] inline std::vector<std::string> ThreeZones() {
  return {"puget-a", "puget-b", "inland-a"};
}

/// \brief Faults of the fake network, each per message in thousandths.
struct NetworkFaults {
  std::uint32_t lost_permille = 0;
  std::uint32_t doubled_permille = 0;
  /// Delayed by up to `late_by`, which also puts messages out of order.
  std::uint32_t late_permille = 0;
  Milliseconds late_by{1'500};
};

/// \brief Faults of the fake store.
struct StoreFaults {
  /// Calls fail at once.
  bool down = false;
  /// Calls are carried out and their answers are lost.
  bool answers_lost = false;
  /// Watches never return.
  bool watches_dead = false;
  /// Watches that wait hear of no change.
  bool watches_deaf = false;
  /// Watches that wait are cut, as when the store drops its history.
  bool watches_cut = false;
  Milliseconds slow_by{0};
  /// Zones that cannot reach the store.
  std::set<std::string> cut_zones;
};

/// \brief What the fleet sent, counted as the shell would send it.
struct FleetTraffic {
  std::uint64_t datagrams = 0;
  std::uint64_t datagram_bytes = 0;
  std::uint64_t config_messages = 0;
  std::uint64_t config_bytes = 0;
  std::uint64_t zone_crossing_bytes = 0;
  std::uint64_t store_calls = 0;
};

}  // namespace cassiabend::testing
