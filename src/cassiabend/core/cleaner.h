#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cassiabend/core/cleanup_inventory.h"
#include "cassiabend/core/store_caller.h"
#include "cassiabend/model/head.h"

namespace cassiabend {

/// \returns The keys of all values and deltas that a head and its history refer
/// to.
[[nodiscard]] std::set<std::string> ReferencedKeys(const Head& head);

/// \returns Whether no head refers to the key of `entry`, now or later: the
/// attempt that recorded it can only replace the head revision in the entry,
/// which no longer exists.
[[nodiscard]] bool IsUnreferenced(const InventoryEntry& entry,
                                  const std::set<std::string>& referenced,
                                  StoreRevision head_revision) noexcept;

/// \brief Deletes values that no head refers to, in small batches, on nodes
/// that committed recently.
class Cleaner {
 public:
  explicit Cleaner(ConfigEnv* env);
  Cleaner(const Cleaner&) = delete;
  Cleaner& operator=(const Cleaner&) = delete;

  /// \brief Schedules one pass over each shard of the inventory.
  void SchedulePasses(const ReduceContext& ctx);

  bool OnReply(const ReduceContext& ctx, const StoreReplied& event);
  void Tick(const ReduceContext& ctx);

 private:
  void StartPass(const ReduceContext& ctx);
  void OnInventory(const ReduceContext& ctx, const StoreReply& reply);
  void OnHeadRead(const ReduceContext& ctx, const StoreReply& reply);
  void DeleteNext(const ReduceContext& ctx);
  void OnValueRead(const ReduceContext& ctx, const StoreReply& reply);
  void OnHeadRechecked(const ReduceContext& ctx,
                       StoreRevision value_revision,
                       const StoreReply& reply);
  void OnDeleted(const ReduceContext& ctx, const StoreReply& reply);
  void WriteInventory(const ReduceContext& ctx);
  void EndPass(const ReduceContext& ctx);

  void Read(const ReduceContext& ctx,
            const std::string& key,
            StoreCaller::Handler handler);
  [[nodiscard]] bool ParseHead(const StoreReply& reply);

  ConfigEnv* env_;
  StoreCaller calls_;
  InventoryEditor editor_;
  /// Passes left; each covers one shard of the inventory.
  std::uint32_t passes_left_ = 0;
  std::uint32_t shard_ = 0;
  MonoTime next_pass_{};
  bool running_ = false;

  // State of one pass.
  MonoTime deadline_{};
  Inventory inventory_;
  std::set<std::string> referenced_;
  StoreRevision head_revision_ = 0;
  /// Entries to delete; the last one is being processed.
  std::vector<InventoryEntry> to_delete_;
  std::set<std::string> removed_keys_;
  std::set<std::string> newly_unreferenced_;
};

}  // namespace cassiabend
