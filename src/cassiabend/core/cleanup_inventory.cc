#include "cassiabend/core/cleanup_inventory.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

#include "cassiabend/base/error.h"
#include "cassiabend/model/json_object_reader.h"

namespace cassiabend {
namespace {

constexpr char kInventoryPrefix[] = "/cassiabend/inventory/";

/// \returns The entries, or none when the value cannot be decoded. The keys
/// that it recorded are then never deleted, which does no other harm.
Inventory DecodeOrEmpty(const StoreReply& reply) {
  if (!reply.entry) {
    return {};
  }
  try {
    return DecodeInventory(reply.entry->value);
  } catch (const ModelError&) {
    return {};
  }
}

}  // namespace

std::string InventoryKey(std::uint32_t shard) {
  return kInventoryPrefix + std::to_string(shard);
}

std::string EncodeInventory(const Inventory& inventory) {
  boost::json::array entries;
  for (const InventoryEntry& it : inventory) {
    entries.push_back(
        {{"key", it.key},
         {"head_revision", it.head_revision},
         {"dead_since_ms", it.unreferenced_since.time_since_epoch().count()}});
  }
  return boost::json::serialize(entries);
}

Inventory DecodeInventory(std::string_view text) {
  constexpr std::uint64_t kMaxInt64 = std::numeric_limits<std::int64_t>::max();
  const boost::json::value value = ParseJsonText(text);
  if (!value.is_array()) {
    throw ModelError("cannot read", "inventory",
                     "the value is not a JSON array");
  }
  Inventory out;
  for (const boost::json::value& it : value.as_array()) {
    JsonObjectReader in(AsObject(it, "inventory"), "inventory");
    out.push_back({.key = in.RequiredText("key"),
                   .head_revision = static_cast<StoreRevision>(
                       in.Number("head_revision", kMaxInt64)),
                   .unreferenced_since = WallTime(
                       Milliseconds(in.Number("dead_since_ms", kMaxInt64)))});
  }
  return out;
}

void InventoryEditor::Edit(const ReduceContext& ctx,
                           std::uint32_t shard,
                           MonoTime deadline,
                           Mutator mutator,
                           Handler handler) {
  key_ = InventoryKey(shard);
  deadline_ = deadline;
  mutator_ = std::move(mutator);
  handler_ = std::move(handler);
  lost_replies_ = 0;
  Read(ctx);
}

void InventoryEditor::Read(const ReduceContext& ctx) {
  if (ctx.now.mono >= deadline_) {
    Finish(ctx, false);
    return;
  }
  SendOptions options{.deadline = deadline_};
  if (lost_replies_ > 0) {
    options.not_before = ctx.now.mono + calls_->Backoff(lost_replies_);
  }
  calls_->Send(ctx, StoreGet{key_}, options,
               [this](const ReduceContext& at, const StoreReply& reply) {
                 OnRead(at, reply);
               });
}

void InventoryEditor::OnRead(const ReduceContext& ctx,
                             const StoreReply& reply) {
  if (reply.status != StoreStatus::kOk &&
      reply.status != StoreStatus::kConflict) {
    Finish(ctx, false);
    return;
  }
  Inventory inventory = DecodeOrEmpty(reply);
  if (!mutator_(&inventory)) {
    Finish(ctx, true);
    return;
  }
  const StoreRevision expected = reply.entry ? reply.entry->revision : 0;
  calls_->Send(ctx,
               StoreCompareAndSwap{.key = key_,
                                   .expected = expected,
                                   .value = EncodeInventory(inventory)},
               {.deadline = deadline_},
               [this](const ReduceContext& at, const StoreReply& write_reply) {
                 OnWritten(at, write_reply);
               });
}

void InventoryEditor::OnWritten(const ReduceContext& ctx,
                                const StoreReply& reply) {
  switch (reply.status) {
    case StoreStatus::kOk:
      Finish(ctx, true);
      return;
    case StoreStatus::kConflict:
      OnRead(ctx, reply);
      return;
    case StoreStatus::kUnknown:
      ++lost_replies_;
      Read(ctx);
      return;
    case StoreStatus::kUnavailable:
    case StoreStatus::kLeaseLost:
      Finish(ctx, false);
      return;
  }
}

void InventoryEditor::Finish(const ReduceContext& ctx, bool done) {
  mutator_ = nullptr;
  const Handler handler = std::exchange(handler_, nullptr);
  handler(ctx, done);
}

}  // namespace cassiabend
