#include "cassiabend/core/rollout/rollout_orders.h"

#include <utility>

#include "cassiabend/base/error.h"

namespace cassiabend {

bool ReadStatus(const FleetContext& context,
                const StoreEntry& entry,
                Rollout* rollout) {
  try {
    *rollout = context.options().rollout_codec->DecodeStatus(entry.value);
    return true;
  } catch (const ModelError& e) {
    context.Emit(RolloutRefused{entry.key, e.what()});
    return false;
  }
}

bool RolloutOrders::ReadOrder(const FleetContext& context,
                              const StoreEntry& entry,
                              StoreEra era,
                              Rollout* rollout) {
  const RolloutCodec& codec = *context.options().rollout_codec;
  if (!entry.key.starts_with(codec.order_prefix())) {
    return false;
  }
  try {
    rollout->order = codec.DecodeOrder(entry.value);
  } catch (const ModelError& e) {
    context.Emit(RolloutRefused{entry.key, e.what()});
    return false;
  }
  if (codec.order_prefix() + rollout->order.service != entry.key) {
    context.Emit(RolloutRefused{entry.key, "it names another service"});
    return false;
  }
  rollout->order_revision = OrderRevision({era, entry.revision});
  return true;
}

void RolloutOrders::Tick(const FleetContext& context,
                         std::uint64_t whole_reads) {
  const MonoTime now = context.now();
  if (context.options().rollout_codec == nullptr || whole_reads == 0) {
    return;
  }
  if (list_call_.IsOverdueAt(now) || status_call_.IsOverdueAt(now)) {
    list_call_.Abandon();
    status_call_.Abandon();
    listed_after_ = 0;
    next_list_at_ =
        backoff_.NextAttemptTime(context, context.options().reader_retry_limit);
  }
  if (listed_after_ == whole_reads || list_call_.active() ||
      status_call_.active() || now < next_list_at_) {
    return;
  }
  listed_after_ = whole_reads;
  list_call_.Start(
      context, StoreList{context.options().rollout_codec->order_prefix(), true},
      kStoreCallTimeout);
}

void RolloutOrders::OnWatched(const FleetContext& context,
                              const StoreReply& reply,
                              RolloutTable* table) {
  for (const StoreEntry& it : reply.entries) {
    Rollout rollout;
    if (it.value.empty()) {
      Withdraw(context, it, reply.era, table);
    } else if (ReadOrder(context, it, reply.era, &rollout)) {
      KeepStateAcrossRestore(*table, &rollout);
      table->Update(context, rollout);
    }
  }
}

/// \brief Gives an order that the operator has written again, after the store
/// was restored, the state that it had reached.
void RolloutOrders::KeepStateAcrossRestore(const RolloutTable& table,
                                           Rollout* rollout) {
  const RolloutTable::Entry* entry = table.Find(rollout->order.service);
  if (entry == nullptr || entry->rollout.order != rollout->order ||
      EraOfOrder(entry->rollout.order_revision) ==
          EraOfOrder(rollout->order_revision)) {
    return;
  }
  const StoreRevision number = rollout->order_revision;
  *rollout = entry->rollout;
  rollout->order_revision = number;
}

/// \brief Stops the roll-out whose order was deleted, unless it has ended.
void RolloutOrders::Withdraw(const FleetContext& context,
                             const StoreEntry& entry,
                             StoreEra era,
                             RolloutTable* table) {
  const std::string& prefix = context.options().rollout_codec->order_prefix();
  if (!entry.key.starts_with(prefix)) {
    return;
  }
  const RolloutTable::Entry* known =
      table->Find(entry.key.substr(prefix.size()));
  if (known != nullptr && known->rollout.is_running() &&
      known->rollout.order_revision < OrderRevision({era, entry.revision})) {
    table->Update(context, Halted(known->rollout));
  }
}

bool RolloutOrders::OnReply(const FleetContext& context,
                            const StoreReplied& replied,
                            RolloutTable* table) {
  const StoreReply& reply = replied.reply;
  const bool is_list = list_call_.Finish(replied.id.sequence);
  if (!is_list && !status_call_.Finish(replied.id.sequence)) {
    return false;
  }
  if (reply.status != StoreStatus::kOk) {
    listed_.clear();
    listed_after_ = 0;
    next_list_at_ =
        backoff_.NextAttemptTime(context, context.options().reader_retry_limit);
    return true;
  }
  backoff_.Reset();
  if (!is_list) {
    Rollout status;
    Rollout rollout = std::move(listed_.back());
    listed_.pop_back();
    const bool is_of_order = reply.entry &&
                             ReadStatus(context, *reply.entry, &status) &&
                             status.order_revision == rollout.order_revision;
    if (is_of_order) {
      status.order = rollout.order;
      rollout = std::move(status);
    }
    table->Update(context, rollout);
    ReadNextStatus(context);
    return true;
  }
  for (const StoreEntry& it : reply.entries) {
    Rollout rollout;
    if (!ReadOrder(context, it, reply.era, &rollout)) {
      continue;
    }
    KeepStateAcrossRestore(*table, &rollout);
    const RolloutTable::Entry* known = table->Find(rollout.order.service);
    if (known == nullptr ||
        known->rollout.order_revision < rollout.order_revision) {
      listed_.push_back(std::move(rollout));
    }
  }
  ReadNextStatus(context);
  return true;
}

void RolloutOrders::ReadNextStatus(const FleetContext& context) {
  if (listed_.empty()) {
    return;
  }
  const RolloutCodec& codec = *context.options().rollout_codec;
  status_call_.Start(context,
                     StoreGet{codec.StatusKey(listed_.back().order.service)},
                     kStoreCallTimeout);
}

}  // namespace cassiabend
