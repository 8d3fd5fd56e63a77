#include "cassiabend/core/commit_job.h"

#include <algorithm>
#include <utility>

#include "cassiabend/base/error.h"
#include "cassiabend/model/codec.h"

namespace cassiabend {
namespace {

/// How often the head is read again when its version is missing or damaged.
constexpr int kMaxLoadFailures = 3;

AdminRequestId RequestOf(const CommitRequest& request) {
  return std::visit([](const auto& it) { return it.request; }, request);
}

ChangeId ChangeIdOf(const CommitRequest& request) {
  if (const auto* commit = std::get_if<CommitRequested>(&request)) {
    return commit->change.id;
  }
  if (const auto* rollback = std::get_if<RollbackRequested>(&request)) {
    return rollback->change_id;
  }
  return std::get<RecoverRequested>(request).change_id;
}

std::string VersionText(VersionNumber number) {
  return "version " + std::to_string(number);
}

}  // namespace

CommitJob::CommitJob(ConfigEnv* env, CommitRequest request, MonoTime deadline)
    : env_(env),
      request_(std::move(request)),
      change_id_(ChangeIdOf(request_)),
      deadline_(deadline),
      calls_(StoreClientRole::kCommit, env),
      loader_(&calls_),
      inventory_(&calls_),
      values_(&calls_) {}

bool CommitJob::OnReply(const ReduceContext& ctx, const StoreReplied& event) {
  return calls_.OnReply(ctx, event);
}

void CommitJob::Tick(const ReduceContext& ctx) {
  calls_.Tick(ctx);
}

void CommitJob::Start(const ReduceContext& ctx) {
  if (change_id_.IsZero()) {
    Finish(ctx, MakeRefusal(CommitCode::kInvalid, "change.id",
                            "the change id must not be zero"));
    return;
  }
  if (const auto* commit = std::get_if<CommitRequested>(&request_)) {
    if (auto refusal = CheckChange(commit->change)) {
      Finish(ctx, *std::move(refusal));
      return;
    }
  }
  ReadHead(ctx);
}

void CommitJob::ReadHead(const ReduceContext& ctx) {
  if (FailIfExpired(ctx)) {
    return;
  }
  newest_at_read_ = env_->newest_mark();
  SendOptions options{.deadline = deadline_};
  if (head_write_failures_ > 0) {
    options.not_before = ctx.now.mono + calls_.Backoff(head_write_failures_);
  }
  calls_.Send(ctx, StoreGet{kHeadKey}, options,
              [this](const ReduceContext& at, const StoreReply& reply) {
                OnHead(at, reply);
              });
}

void CommitJob::OnHead(const ReduceContext& ctx, const StoreReply& reply) {
  if (!ParseHead(ctx, reply)) {
    return;
  }
  if (FindChange(head_, change_id_)) {
    OnChangeInHead(ctx, reply.position());
    return;
  }
  if (IsHeadUnchanged() && (in_doubt_ || IsNumberAvailable())) {
    WriteHead(ctx);
    return;
  }
  in_doubt_ = false;
  if (auto refusal = CheckStoreBehind()) {
    if (std::holds_alternative<RecoverRequested>(request_)) {
      PlanNextVersion(ctx);
      return;
    }
    Finish(ctx, *std::move(refusal));
    return;
  }
  LoadBase(ctx);
}

bool CommitJob::ParseHead(const ReduceContext& ctx, const StoreReply& reply) {
  if (reply.status != StoreStatus::kOk &&
      reply.status != StoreStatus::kConflict) {
    Fail(ctx, "the head cannot be read from the store");
    return false;
  }
  try {
    head_ = reply.entry ? DecodeHead(reply.entry->value) : Head{};
  } catch (const ModelError& e) {
    if (!std::holds_alternative<RecoverRequested>(request_)) {
      Fail(ctx, e.what());
      return false;
    }
    // A recovery replaces a head that cannot be read.
    head_ = {};
  }
  head_revision_ = reply.entry ? reply.entry->revision : 0;
  head_request_sent_at_ = reply.sent_at;
  return true;
}

std::optional<CommitResult> CommitJob::CheckStoreBehind() const {
  const VersionMark& newest = newest_at_read_;
  if (head_.mark.number > newest.number || head_.mark == newest) {
    return std::nullopt;
  }
  const std::string held =
      head_revision_ == 0 ? "no version" : VersionText(head_.mark.number);
  const std::string difference =
      head_.mark.number == newest.number ? " with different content" : "";
  return MakeRefusal(CommitCode::kStoreBehind, kHeadKey,
                     "the store holds " + held + difference +
                         " while the fleet has " + VersionText(newest.number) +
                         "; use the command recover");
}

void CommitJob::LoadBase(const ReduceContext& ctx) {
  if (head_revision_ == 0) {
    base_ = nullptr;
    PlanNextVersion(ctx);
    return;
  }
  if (env_->newest_mark() == head_.mark) {
    base_ = env_->newest;
  }
  if (base_ && base_->mark() == head_.mark) {
    PlanNextVersion(ctx);
    return;
  }
  loader_.Load(ctx, head_.mark, head_.value_keys, deadline_,
               [this](const ReduceContext& at, const LoadedVersion& loaded) {
                 OnBase(at, loaded);
               });
}

void CommitJob::OnBase(const ReduceContext& ctx, const LoadedVersion& loaded) {
  if (!loaded.snapshot) {
    OnLoadFailed(ctx, loaded);
    return;
  }
  base_ = loaded.snapshot;
  Publish(ctx, {.snapshot = base_}, head_request_sent_at_);
  if (!env_->newest) {
    // A node without a version cannot tell whether the store is behind the
    // fleet.
    Finish(ctx,
           MakeRefusal(
               CommitCode::kBusy, kHeadKey,
               "no version was in force on this node yet; retry the request"));
    return;
  }
  PlanNextVersion(ctx);
}

void CommitJob::OnLoadFailed(const ReduceContext& ctx,
                             const LoadedVersion& loaded) {
  ++load_failures_;
  if (!loaded.unavailable && load_failures_ <= kMaxLoadFailures) {
    ReadHead(ctx);
    return;
  }
  if (!loaded.unavailable &&
      std::holds_alternative<RecoverRequested>(request_)) {
    PlanNextVersion(ctx);
    return;
  }
  Fail(ctx, loaded.reason);
}

void CommitJob::PlanNextVersion(const ReduceContext& ctx) {
  if (const auto* commit = std::get_if<CommitRequested>(&request_)) {
    OnPlanned(ctx, PlanChange(base_.get(), commit->change));
  } else if (const auto* rollback = std::get_if<RollbackRequested>(&request_)) {
    StartRollback(ctx, *rollback);
  } else {
    StartRecovery(ctx, std::get<RecoverRequested>(request_));
  }
}

void CommitJob::StartRollback(const ReduceContext& ctx,
                              const RollbackRequested& requested) {
  const auto entry =
      std::ranges::find(head_.history, requested.number,
                        [](const HistoryEntry& it) { return it.mark.number; });
  if (entry == head_.history.end()) {
    Finish(ctx,
           MakeRefusal(CommitCode::kNotFound, VersionText(requested.number),
                       "the head's history does not contain it"));
    return;
  }
  loader_.Load(ctx, entry->mark, entry->value_keys, deadline_,
               [this](const ReduceContext& at, const LoadedVersion& loaded) {
                 if (!loaded.snapshot) {
                   OnLoadFailed(at, loaded);
                   return;
                 }
                 const auto& rollback = std::get<RollbackRequested>(request_);
                 OnPlanned(at,
                           PlanRollback(*base_, *loaded.snapshot,
                                        rollback.change_id, rollback.author));
               });
}

void CommitJob::StartRecovery(const ReduceContext& ctx,
                              const RecoverRequested& requested) {
  if (!env_->newest) {
    Finish(ctx, MakeRefusal(CommitCode::kNotFound, "version",
                            "no version is in force on this node"));
    return;
  }
  const VersionMark newest = env_->newest_mark();
  const bool readable = load_failures_ <= kMaxLoadFailures;
  if (head_.mark.number > newest.number && readable) {
    CommitResult result = MakeRefusal(
        CommitCode::kConflict, kHeadKey,
        "the store is not behind: it holds " + VersionText(head_.mark.number));
    result.conflict_number = head_.mark.number;
    Finish(ctx, result);
    return;
  }
  // The store may have lost the change that created the newest version. The
  // new head lists it, so that a retry of that change is not applied twice.
  const ChangeId newest_change = env_->newest->config().change_id;
  if (!FindChange(head_, newest_change)) {
    head_.recent.insert(head_.recent.begin(), {newest.number, newest_change});
  }
  OnPlanned(ctx, PlanRecovery(*env_->newest, head_.mark.number,
                              requested.change_id, requested.author));
}

void CommitJob::OnPlanned(const ReduceContext& ctx, const Plan& plan) {
  if (const auto* refusal = std::get_if<CommitResult>(&plan)) {
    Finish(ctx, *refusal);
    return;
  }
  const auto& next = std::get<NextVersion>(plan);
  try {
    attempt_ = MakeAttempt(next, head_, head_revision_, ctx.now.wall, env_);
  } catch (const ModelError& e) {
    Finish(ctx, MakeRefusal(CommitCode::kInvalid, e.where(), e.why()));
    return;
  }
  const auto* commit = std::get_if<CommitRequested>(&request_);
  if (commit != nullptr && commit->dry_run) {
    CommitResult result{.mark = next.snapshot->mark()};
    Finish(ctx, result);
    return;
  }
  RecordKeys(ctx);
}

void CommitJob::RecordKeys(const ReduceContext& ctx) {
  const auto record = [this](Inventory* inventory) {
    bool changed = false;
    for (const KeyValue& it : attempt_->values) {
      if (std::ranges::find(*inventory, it.key, &InventoryEntry::key) !=
          inventory->end()) {
        continue;
      }
      inventory->push_back(
          {.key = it.key, .head_revision = attempt_->expected});
      changed = true;
    }
    return changed;
  };
  const auto shard =
      static_cast<std::uint32_t>(env_->random.Below(kInventoryShards));
  inventory_.Edit(ctx, shard, deadline_, record,
                  [this](const ReduceContext& at, bool done) {
                    if (done) {
                      WriteValues(at);
                    } else {
                      Fail(at, "the inventory cannot be written to the store");
                    }
                  });
}

void CommitJob::WriteValues(const ReduceContext& ctx) {
  if (FailIfExpired(ctx)) {
    return;
  }
  wrote_values_ = true;
  values_.Write(ctx, attempt_->values, deadline_,
                [this](const ReduceContext& at, bool done) {
                  if (done) {
                    WriteHead(at);
                  } else {
                    Fail(at, "the version cannot be written to the store");
                  }
                });
}

void CommitJob::WriteHead(const ReduceContext& ctx) {
  if (FailIfExpired(ctx)) {
    return;
  }
  if (!in_doubt_ && !IsNumberAvailable()) {
    // A newer version came into force while the values were being written.
    ReadHead(ctx);
    return;
  }
  newest_at_read_ = env_->newest_mark();
  calls_.Send(ctx,
              StoreCompareAndSwap{.key = kHeadKey,
                                  .expected = attempt_->expected,
                                  .value = attempt_->head_bytes},
              {.deadline = deadline_, .retry_policy = StoreRetryPolicy::kNever},
              [this](const ReduceContext& at, const StoreReply& reply) {
                OnHeadWritten(at, reply);
              });
}

void CommitJob::OnHeadWritten(const ReduceContext& ctx,
                              const StoreReply& reply) {
  switch (reply.status) {
    case StoreStatus::kOk:
      head_ = attempt_->head;
      head_request_sent_at_ = reply.sent_at;
      OnChangeInHead(ctx, reply.position());
      return;
    case StoreStatus::kConflict:
      OnHead(ctx, reply);
      return;
    case StoreStatus::kUnknown:
      in_doubt_ = true;
      [[fallthrough]];
    case StoreStatus::kUnavailable:
      // The head is read before the write is retried: a store that was
      // restored meanwhile may have another head at the same revision.
      ++head_write_failures_;
      ReadHead(ctx);
      return;
    case StoreStatus::kLeaseLost:
      Fail(ctx, "the head cannot be written to the store");
      return;
  }
}

void CommitJob::OnChangeInHead(const ReduceContext& ctx,
                               const StorePosition& position) {
  if (!IsHeadFromAttempt()) {
    FinishAccepted(ctx);
    return;
  }
  Publish(ctx, attempt_->next, head_request_sent_at_);
  values_.Check(
      ctx, position, deadline_,
      [this](const ReduceContext& at, bool /*done*/) { FinishAccepted(at); });
}

bool CommitJob::IsHeadFromAttempt() const {
  return attempt_ && attempt_->head.mark == head_.mark;
}

bool CommitJob::IsHeadUnchanged() const {
  return attempt_ && head_revision_ == attempt_->expected &&
         head_.mark == attempt_->base;
}

bool CommitJob::IsNumberAvailable() const {
  return env_->newest_mark().number < attempt_->head.mark.number;
}

void CommitJob::FinishAccepted(const ReduceContext& ctx) {
  CommitResult result{.mark = *FindChange(head_, change_id_)};
  if (IsHeadFromAttempt() || head_.mark.number <= env_->newest_mark().number) {
    Finish(ctx, std::move(result));
    return;
  }
  Answer(ctx, std::move(result));
  loader_.Load(ctx, head_.mark, head_.value_keys, deadline_,
               [this](const ReduceContext& at, const LoadedVersion& loaded) {
                 if (loaded.snapshot) {
                   Publish(at, {.snapshot = loaded.snapshot},
                           head_request_sent_at_);
                 }
                 done_ = true;
               });
}

void CommitJob::Publish(const ReduceContext& ctx,
                        const NextVersion& version,
                        MonoTime confirmed_at) const {
  ctx.out->emplace_back(
      VersionCommitted{.snapshot = version.snapshot,
                       .delta = version.delta.value_or(ConfigDelta{}),
                       .confirmed_at = confirmed_at});
}

bool CommitJob::FailIfExpired(const ReduceContext& ctx) {
  if (ctx.now.mono < deadline_) {
    return false;
  }
  Fail(ctx, "the deadline of the request has passed");
  return true;
}

void CommitJob::Fail(const ReduceContext& ctx, const std::string& reason) {
  const CommitCode code =
      in_doubt_ ? CommitCode::kOutcomeUnknown : CommitCode::kStoreUnavailable;
  Finish(ctx, MakeRefusal(code, kHeadKey, reason));
}

void CommitJob::Finish(const ReduceContext& ctx, CommitResult result) {
  done_ = true;
  calls_.Clear();
  Answer(ctx, std::move(result));
}

void CommitJob::Answer(const ReduceContext& ctx, CommitResult result) const {
  result.change_id = change_id_;
  ctx.out->emplace_back(CommitFinished{RequestOf(request_), std::move(result)});
}

}  // namespace cassiabend
