#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "cassiabend/base/time.h"
#include "cassiabend/core/store_caller.h"
#include "cassiabend/core/store_types.h"

namespace cassiabend {

/// \brief One key that a commit writes, recorded before it is written.
struct InventoryEntry {
  std::string key;
  /// Revision of the head that the commit replaces. Once the head has a higher
  /// revision and does not refer to the key, no later head refers to it.
  StoreRevision head_revision = 0;
  /// When a cleanup pass first found the key unreferenced; the epoch if none
  /// has.
  WallTime unreferenced_since{};

  [[nodiscard]] bool operator==(const InventoryEntry&) const = default;
};

/// \brief The keys that commits have written and no cleanup has deleted. It is
/// needed because the store offers no complete listing of its keys.
using Inventory = std::vector<InventoryEntry>;

/// Number of store keys that the inventory is spread over, so that concurrent
/// commits rarely wait for each other's write.
inline constexpr std::uint32_t kInventoryShards = 4;

/// \returns The store key of one shard of the inventory.
[[nodiscard]] std::string InventoryKey(std::uint32_t shard);

[[nodiscard]] std::string EncodeInventory(const Inventory& inventory);
/// \throws ModelError when `text` is not an inventory.
[[nodiscard]] Inventory DecodeInventory(std::string_view text);

/// \brief Changes one shard of the inventory by compare-and-swap.
class InventoryEditor {
 public:
  /// \brief Changes the entries and returns whether it changed any. It is
  /// called again with the current entries when another node's write came
  /// first.
  using Mutator = std::function<bool(Inventory* inventory)>;
  /// \param done Whether the inventory contains the change.
  using Handler = std::function<void(const ReduceContext& ctx, bool done)>;

  explicit InventoryEditor(StoreCaller* calls) : calls_(calls) {}

  /// \brief Starts one change; any earlier one of this editor must have
  /// finished.
  void Edit(const ReduceContext& ctx,
            std::uint32_t shard,
            MonoTime deadline,
            Mutator mutator,
            Handler handler);

 private:
  void Read(const ReduceContext& ctx);
  void OnRead(const ReduceContext& ctx, const StoreReply& reply);
  void OnWritten(const ReduceContext& ctx, const StoreReply& reply);
  void Finish(const ReduceContext& ctx, bool done);

  StoreCaller* calls_;
  std::string key_;
  MonoTime deadline_{};
  Mutator mutator_;
  Handler handler_;
  std::uint32_t lost_replies_ = 0;
};

}  // namespace cassiabend
