#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cassiabend/core/fleet_context.h"
#include "cassiabend/core/fleet_store.h"
#include "cassiabend/core/spread_tree.h"

namespace cassiabend {

/// \brief Key that holds a few addresses of each zone.
inline constexpr char kFleetSeedKey[] = "/cassiabend/fleet-seeds";

/// \returns Addresses as the store holds them, one "ip:port" a line.
[[nodiscard]] std::string FormatSeeds(const std::vector<NodeId>& seeds);
/// \brief Reads what `FormatSeeds` writes; lines of another form are left out.
[[nodiscard]] std::vector<NodeId> ParseSeeds(std::string_view text);

/// \brief Keeps the addresses in the store by which started nodes find their
/// peers. Readers look at them now and then and write by compare-and-swap only
/// when they are out of date.
class SeedDirectory {
 public:
  void Tick(const FleetContext& context,
            const Membership& membership,
            bool enabled);
  /// \brief Takes an answer of the store.
  /// \returns Whether the answer was to a call of this part.
  bool OnReply(const FleetContext& context,
               const StoreReplied& replied,
               const SpreadTree& tree,
               const Membership& membership);
  /// \brief Takes the addresses that were seen in the store.
  [[nodiscard]] std::vector<NodeId> TakeSeen();

 private:
  [[nodiscard]] std::vector<NodeId> Wanted(
      const SpreadTree& tree,
      const Membership& membership,
      const std::vector<NodeId>& present) const;

  bool enabled_ = false;
  bool fleet_key_ = false;
  bool writing_ = false;
  std::string key_;
  MonoTime next_at_{};
  StorePending pending_;
  std::vector<NodeId> seen_;
};

}  // namespace cassiabend
