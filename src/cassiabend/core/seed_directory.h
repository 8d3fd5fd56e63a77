#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cassiabend/core/dissemination_tree.h"
#include "cassiabend/core/fleet_context.h"
#include "cassiabend/core/pending_store_call.h"

namespace cassiabend {

/// \brief Store key that holds a few peer addresses of each zone.
inline constexpr char kFleetSeedKey[] = "/cassiabend/fleet-seeds";

/// \returns Addresses as the store holds them, one "ip:port" per line.
[[nodiscard]] std::string FormatSeeds(const std::vector<NodeId>& seeds);
/// \brief Parses the output of `FormatSeeds`; malformed lines are skipped.
[[nodiscard]] std::vector<NodeId> ParseSeeds(std::string_view text);

/// \brief Maintains the seed addresses in the store through which starting
/// nodes find their peers. Readers check them periodically and write them, by
/// compare-and-swap, only when they are out of date.
class SeedDirectory {
 public:
  /// \param enabled Whether this node is a reader and maintains the addresses.
  void Tick(const FleetContext& context,
            const Membership& membership,
            bool enabled);
  /// \brief Handles a reply of the store.
  /// \brief Checks the lists soon: the store was restored from a copy.
  void OnStoreRestored(const FleetContext& context);
  /// \returns Whether the reply belongs to a call of this class.
  bool OnReply(const FleetContext& context,
               const StoreReplied& replied,
               const DisseminationTree& tree,
               const Membership& membership);
  /// \returns The addresses read from the store since the last call of this
  /// function.
  [[nodiscard]] std::vector<NodeId> TakeSeenPeers();

 private:
  /// \returns The addresses that the current key should hold, given those that
  /// are `present`.
  [[nodiscard]] std::vector<NodeId> DesiredSeeds(
      const DisseminationTree& tree,
      const Membership& membership,
      const std::vector<NodeId>& present) const;

  bool enabled_ = false;
  /// Whether the key of the whole fleet, rather than the zone's, is current.
  bool fleet_key_ = false;
  /// Whether the outstanding call is a write.
  bool writing_ = false;
  std::string key_;
  MonoTime next_at_{};
  PendingStoreCall pending_;
  std::vector<NodeId> seen_peers_;
};

}  // namespace cassiabend
