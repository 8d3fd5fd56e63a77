#include "cassiabend/core/cleanup.h"

#include <algorithm>
#include <utility>

#include "cassiabend/base/error.h"
#include "cassiabend/model/codec.h"

namespace cassiabend {
namespace {

constexpr std::size_t kMaxDeletesPerPass = 16;
constexpr double kPeriodJitter = 0.5;

}  // namespace

std::set<std::string> ReachableKeys(const Head& head) {
  std::set<std::string> out(head.value_keys.begin(), head.value_keys.end());
  out.insert(head.delta_key);
  for (const HistoryEntry& it : head.history) {
    out.insert(it.value_keys.begin(), it.value_keys.end());
  }
  return out;
}

bool IsDead(const InventoryEntry& entry,
            const std::set<std::string>& reachable,
            StoreRevision head_revision) noexcept {
  return head_revision > entry.head_revision && !reachable.contains(entry.key);
}

Cleaner::Cleaner(ConfigEnv* env)
    : env_(env),
      calls_(StoreClientRole::kCleanup, env),
      editor_(&calls_),
      slot_(static_cast<std::uint32_t>(env->random.Below(kInventorySlots))) {}

void Cleaner::Request(const ReduceContext& ctx) {
  if (passes_ == 0) {
    next_pass_ =
        ctx.now.mono +
        env_->random.Jitter(env_->options.cleanup_period, kPeriodJitter);
  }
  passes_ = kInventorySlots;
}

bool Cleaner::OnReply(const ReduceContext& ctx, const StoreReplied& event) {
  return calls_.OnReply(ctx, event);
}

void Cleaner::Tick(const ReduceContext& ctx) {
  calls_.Tick(ctx);
  if (!running_ && passes_ > 0 && ctx.now.mono >= next_pass_) {
    StartPass(ctx);
  }
}

void Cleaner::StartPass(const ReduceContext& ctx) {
  running_ = true;
  --passes_;
  slot_ = (slot_ + 1) % kInventorySlots;
  deadline_ = ctx.now.mono + env_->options.commit_timeout;
  due_.clear();
  gone_.clear();
  newly_dead_.clear();
  Read(ctx, InventoryKey(slot_),
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
    OnHead(at, head);
  });
}

bool Cleaner::TakeHead(const StoreReply& reply) {
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
    reachable_ = ReachableKeys(head);
  } catch (const ModelError&) {
    return false;
  }
  head_revision_ = reply.entry->revision;
  return true;
}

void Cleaner::OnHead(const ReduceContext& ctx, const StoreReply& reply) {
  if (!TakeHead(reply)) {
    EndPass(ctx);
    return;
  }
  for (const InventoryEntry& it : inventory_) {
    if (!IsDead(it, reachable_, head_revision_)) {
      continue;
    }
    if (it.dead_since == WallTime()) {
      newly_dead_.insert(it.key);
    } else if (ctx.now.wall - it.dead_since >= env_->options.cleanup_grace &&
               due_.size() < kMaxDeletesPerPass) {
      due_.push_back(it);
    }
  }
  DeleteNext(ctx);
}

void Cleaner::DeleteNext(const ReduceContext& ctx) {
  if (due_.empty() || ctx.now.mono >= deadline_) {
    WriteInventory(ctx);
    return;
  }
  Read(ctx, due_.back().key,
       [this](const ReduceContext& at, const StoreReply& reply) {
         OnValue(at, reply);
       });
}

void Cleaner::OnValue(const ReduceContext& ctx, const StoreReply& reply) {
  if (reply.status != StoreStatus::kOk) {
    WriteInventory(ctx);
    return;
  }
  if (!reply.entry) {
    gone_.insert(due_.back().key);
    due_.pop_back();
    DeleteNext(ctx);
    return;
  }
  Read(ctx, kHeadKey,
       [this, revision = reply.entry->revision](const ReduceContext& at,
                                                const StoreReply& head) {
         OnHeadAgain(at, revision, head);
       });
}

void Cleaner::OnHeadAgain(const ReduceContext& ctx,
                          StoreRevision value_revision,
                          const StoreReply& reply) {
  const InventoryEntry& entry = due_.back();
  if (!TakeHead(reply) || !IsDead(entry, reachable_, head_revision_)) {
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
    gone_.insert(due_.back().key);
  }
  due_.pop_back();
  DeleteNext(ctx);
}

void Cleaner::WriteInventory(const ReduceContext& ctx) {
  if (gone_.empty() && newly_dead_.empty()) {
    EndPass(ctx);
    return;
  }
  const auto change = [this, now = ctx.now.wall](Inventory* inventory) {
    for (InventoryEntry& it : *inventory) {
      if (newly_dead_.contains(it.key) && it.dead_since == WallTime()) {
        it.dead_since = now;
      }
    }
    std::erase_if(*inventory, [this](const InventoryEntry& it) {
      return gone_.contains(it.key);
    });
    return true;
  };
  editor_.Edit(ctx, slot_, deadline_, change,
               [this](const ReduceContext& at, bool /*done*/) { EndPass(at); });
}

void Cleaner::EndPass(const ReduceContext& ctx) {
  running_ = false;
  next_pass_ = ctx.now.mono +
               env_->random.Jitter(env_->options.cleanup_period, kPeriodJitter);
}

}  // namespace cassiabend
