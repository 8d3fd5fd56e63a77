#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "cassiabend/base/time.h"
#include "cassiabend/core/config_store_caller.h"
#include "cassiabend/core/store_types.h"

namespace cassiabend {

/// \brief One key that a commit writes, recorded before it is written.
struct InventoryEntry {
  std::string key;
  /// Revision of the head that the commit replaces. Once the head has a higher
  /// revision and does not reach the key, nothing ever reaches it again.
  StoreRevision head_revision = 0;
  /// When a clean-up first found that; the epoch for never.
  WallTime dead_since{};

  [[nodiscard]] bool operator==(const InventoryEntry&) const = default;
};

/// \brief The keys that commits have written and no clean-up has deleted. It
/// stands in for a listing, which the store does not offer.
using Inventory = std::vector<InventoryEntry>;

/// The inventory is spread over several keys, so that commits which race do
/// not wait for each other's record.
inline constexpr std::uint32_t kInventorySlots = 4;

/// \returns The store key of one part of the inventory.
[[nodiscard]] std::string InventoryKey(std::uint32_t slot);

[[nodiscard]] std::string EncodeInventory(const Inventory& inventory);
/// \throws ModelError when `text` is not an inventory.
[[nodiscard]] Inventory DecodeInventory(std::string_view text);

/// \brief Changes one part of the inventory by compare-and-swap.
class InventoryEditor {
 public:
  /// \brief Changes the entries; returns whether it changed any. It is called
  /// again, on newer entries, when another node was faster.
  using Change = std::function<bool(Inventory* inventory)>;
  /// \param done Whether the inventory has the change.
  using Handler = std::function<void(const ReduceContext& ctx, bool done)>;

  explicit InventoryEditor(StoreCaller* calls) : calls_(calls) {}

  /// \brief Starts one change; an earlier one of this editor must have ended.
  void Edit(const ReduceContext& ctx,
            std::uint32_t slot,
            MonoTime deadline,
            Change change,
            Handler handler);

 private:
  void Read(const ReduceContext& ctx);
  void OnRead(const ReduceContext& ctx, const StoreReply& reply);
  void OnWritten(const ReduceContext& ctx, const StoreReply& reply);
  void Finish(const ReduceContext& ctx, bool done);

  StoreCaller* calls_;
  std::string key_;
  MonoTime deadline_{};
  Change change_;
  Handler handler_;
  std::uint32_t lost_answers_ = 0;
};

}  // namespace cassiabend
