#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cassiabend/core/fleet_context.h"
#include "cassiabend/core/pending_store_call.h"
#include "cassiabend/core/rollout/rollout_table.h"

namespace cassiabend {

/// \brief Takes the operators' orders from the store at the nodes that watch
/// the head, whose watch covers the orders too. After a gap in the watch they
/// are listed, each with the state that the store holds for it.
class RolloutOrders {
 public:
  /// \param whole_reads `HeadWatcher::whole_reads`.
  void Tick(const FleetContext& context, std::uint64_t whole_reads);
  /// \brief Handles changes that the watch of the head has returned.
  void OnWatched(const FleetContext& context,
                 const StoreReply& reply,
                 RolloutTable* table);
  /// \brief Handles a reply of the store.
  /// \returns Whether the reply belongs to a call of this class.
  bool OnReply(const FleetContext& context,
               const StoreReplied& replied,
               RolloutTable* table);

 private:
  [[nodiscard]] static bool ReadOrder(const FleetContext& context,
                                      const StoreEntry& entry,
                                      StoreEra era,
                                      Rollout* rollout);
  static void KeepStateAcrossRestore(const RolloutTable& table,
                                     Rollout* rollout);
  static void Withdraw(const FleetContext& context,
                       const StoreEntry& entry,
                       StoreEra era,
                       RolloutTable* table);
  void ReadNextStatus(const FleetContext& context);

  std::uint64_t listed_after_ = 0;
  MonoTime next_list_at_{};
  PendingStoreCall list_call_;
  /// Listed orders whose states are still to be read, the next one last.
  std::vector<Rollout> listed_;
  PendingStoreCall status_call_;
  StoreBackoff backoff_;
};

/// \brief Decodes a state and reports one that cannot be read.
/// \returns Whether `*rollout` was set.
[[nodiscard]] bool ReadStatus(const FleetContext& context,
                              const StoreEntry& entry,
                              Rollout* rollout);

}  // namespace cassiabend
