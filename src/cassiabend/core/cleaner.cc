#include "cassiabend/core/cleaner.h"

#include <algorithm>
#include <utility>

#include "cassiabend/base/error.h"
#include "cassiabend/model/codec.h"

namespace cassiabend {
namespace {

constexpr std::size_t kMaxDeletesPerPass = 16;
constexpr double kPeriodJitter = 0.5;

}  // namespace

std::set<std::string> ReferencedKeys(const Head& head) {
  std::set<std::string> out(head.value_keys.begin(), head.value_keys.end());
  out.insert(head.delta_key);
  for (const HistoryEntry& it : head.history) {
    out.insert(it.value_keys.begin(), it.value_keys.end());
  }
  return out;
}

bool IsUnreferenced(const InventoryEntry& entry,
                    const std::set<std::string>& referenced,
                    StoreRevision head_revision) noexcept {
  return head_revision > entry.head_revision && !referenced.contains(entry.key);
}

Cleaner::Cleaner(ConfigEnv* env)
    : env_(env),
      calls_(StoreClientRole::kCleanup, env),
      editor_(&calls_),
      shard_(static_cast<std::uint32_t>(env->random.Below(kInventoryShards))) {}

void Cleaner::SchedulePasses(const ReduceContext& ctx) {
  if (passes_left_ == 0) {
    next_pass_ =
        ctx.now.mono +
        env_->random.Jitter(env_->options.cleanup_period, kPeriodJitter);
  }
  passes_left_ = kInventoryShards;
}

bool Cleaner::OnReply(const ReduceContext& ctx, const StoreReplied& event) {
  return calls_.OnReply(ctx, event);
}

void Cleaner::Tick(const ReduceContext& ctx) {
  calls_.Tick(ctx);
  if (!running_ && passes_left_ > 0 && ctx.now.mono >= next_pass_) {
    StartPass(ctx);
  }
}

void Cleaner::StartPass(const ReduceContext& ctx) {
  running_ = true;
  --passes_left_;
  shard_ = (shard_ + 1) % kInventoryShards;
  deadline_ = ctx.now.mono + env_->options.commit_timeout;
  to_delete_.clear();
  removed_keys_.clear();
  newly_unreferenced_.clear();
  Read(ctx, InventoryKey(shard_),
       [this](const ReduceContext& at, const StoreReply& reply) {
         OnInventory(at, reply);
       });
}

void Cleaner::Read(const ReduceContext& ctx,
                   const std::string& key,
                   StoreCaller::Handler handler) {
  calls_.Send(ctx, StoreGet{key}, {.deadline = deadline_}, std::move(handler));
}

void Cleaner::OnInventory(const ReduceContext& ctx, const StoreReply& reply) {
  if (reply.status != StoreStatus::kOk || !reply.entry) {
    EndPass(ctx);
    return;
  }
  try {
    inventory_ = DecodeInventory(reply.entry->value);
  } catch (const ModelError&) {
    EndPass(ctx);
    return;
  }
  Read(ctx, kHeadKey, [this](const ReduceContext& at, const StoreReply& head) {
    OnHeadRead(at, head);
  });
}

bool Cleaner::ParseHead(const StoreReply& reply) {
  if (reply.status != StoreStatus::kOk || !reply.entry) {
    return false;
  }
  try {
    const Head head = DecodeHead(reply.entry->value);
    // Nothing is deleted from a store that is behind the fleet until it has
    // been recovered.
    if (head.mark.number < env_->newest_mark().number) {
      return false;
    }
    referenced_ = ReferencedKeys(head);
  } catch (const ModelError&) {
    return false;
  }
  head_revision_ = reply.entry->revision;
  return true;
}

void Cleaner::OnHeadRead(const ReduceContext& ctx, const StoreReply& reply) {
  if (!ParseHead(reply)) {
    EndPass(ctx);
    return;
  }
  for (const InventoryEntry& it : inventory_) {
    if (!IsUnreferenced(it, referenced_, head_revision_)) {
      continue;
    }
    if (it.unreferenced_since == WallTime()) {
      newly_unreferenced_.insert(it.key);
    } else if (ctx.now.wall - it.unreferenced_since >=
                   env_->options.cleanup_grace &&
               to_delete_.size() < kMaxDeletesPerPass) {
      to_delete_.push_back(it);
    }
  }
  DeleteNext(ctx);
}

void Cleaner::DeleteNext(const ReduceContext& ctx) {
  if (to_delete_.empty() || ctx.now.mono >= deadline_) {
    WriteInventory(ctx);
    return;
  }
  Read(ctx, to_delete_.back().key,
       [this](const ReduceContext& at, const StoreReply& reply) {
         OnValueRead(at, reply);
       });
}

void Cleaner::OnValueRead(const ReduceContext& ctx, const StoreReply& reply) {
  if (reply.status != StoreStatus::kOk) {
    WriteInventory(ctx);
    return;
  }
  if (!reply.entry) {
    removed_keys_.insert(to_delete_.back().key);
    to_delete_.pop_back();
    DeleteNext(ctx);
    return;
  }
  Read(ctx, kHeadKey,
       [this, revision = reply.entry->revision](const ReduceContext& at,
                                                const StoreReply& head) {
         OnHeadRechecked(at, revision, head);
       });
}

void Cleaner::OnHeadRechecked(const ReduceContext& ctx,
                              StoreRevision value_revision,
                              const StoreReply& reply) {
  const InventoryEntry& entry = to_delete_.back();
  if (!ParseHead(reply) ||
      !IsUnreferenced(entry, referenced_, head_revision_)) {
    WriteInventory(ctx);
    return;
  }
  calls_.Send(ctx, StoreCompareAndDelete{entry.key, value_revision},
              {.deadline = deadline_},
              [this](const ReduceContext& at, const StoreReply& answer) {
                OnDeleted(at, answer);
              });
}

void Cleaner::OnDeleted(const ReduceContext& ctx, const StoreReply& reply) {
  if (reply.status == StoreStatus::kOk) {
    removed_keys_.insert(to_delete_.back().key);
  }
  to_delete_.pop_back();
  DeleteNext(ctx);
}

void Cleaner::WriteInventory(const ReduceContext& ctx) {
  if (removed_keys_.empty() && newly_unreferenced_.empty()) {
    EndPass(ctx);
    return;
  }
  const auto mutator = [this, now = ctx.now.wall](Inventory* inventory) {
    for (InventoryEntry& it : *inventory) {
      if (newly_unreferenced_.contains(it.key) &&
          it.unreferenced_since == WallTime()) {
        it.unreferenced_since = now;
      }
    }
    std::erase_if(*inventory, [this](const InventoryEntry& it) {
      return removed_keys_.contains(it.key);
    });
    return true;
  };
  editor_.Edit(ctx, shard_, deadline_, mutator,
               [this](const ReduceContext& at, bool /*done*/) { EndPass(at); });
}

void Cleaner::EndPass(const ReduceContext& ctx) {
  running_ = false;
  next_pass_ = ctx.now.mono +
               env_->random.Jitter(env_->options.cleanup_period, kPeriodJitter);
}

}  // namespace cassiabend
