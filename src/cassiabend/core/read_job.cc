#include "cassiabend/core/read_job.h"

#include <algorithm>
#include <utility>

#include "cassiabend/base/error.h"
#include "cassiabend/core/commit_plan.h"
#include "cassiabend/model/codec.h"

namespace cassiabend {

ReadJob::ReadJob(ConfigEnv* env, ReadRequest request, MonoTime deadline)
    : env_(env),
      request_(request),
      deadline_(deadline),
      calls_(StoreClientRole::kCommit, env),
      loader_(&calls_) {}

bool ReadJob::OnReply(const ReduceContext& ctx, const StoreReplied& event) {
  return calls_.OnReply(ctx, event);
}

void ReadJob::Tick(const ReduceContext& ctx) {
  calls_.Tick(ctx);
}

void ReadJob::Start(const ReduceContext& ctx) {
  const auto* read_request = std::get_if<VersionRequested>(&request_);
  if (read_request != nullptr && env_->newest &&
      env_->newest_mark().number == read_request->number) {
    OnVersion(ctx, {.snapshot = env_->newest});
    return;
  }
  calls_.Send(ctx, StoreGet{kHeadKey}, {.deadline = deadline_},
              [this](const ReduceContext& at, const StoreReply& reply) {
                OnHead(at, reply);
              });
}

void ReadJob::OnHead(const ReduceContext& ctx, const StoreReply& reply) {
  if (reply.status != StoreStatus::kOk) {
    Refuse(ctx, CommitCode::kStoreUnavailable, kHeadKey,
           "the head cannot be read from the store");
    return;
  }
  Head head;
  try {
    head = reply.entry ? DecodeHead(reply.entry->value) : Head{};
  } catch (const ModelError& e) {
    Refuse(ctx, CommitCode::kStoreUnavailable, kHeadKey, e.what());
    return;
  }
  if (const auto* read_request = std::get_if<HistoryRequested>(&request_)) {
    done_ = true;
    CommitResult result{.mark = head.mark};
    ctx.out->emplace_back(HistoryFinished{
        read_request->request, std::move(result), std::move(head.history)});
    return;
  }
  LoadVersion(ctx, head);
}

void ReadJob::LoadVersion(const ReduceContext& ctx, const Head& head) {
  const VersionNumber requested = std::get<VersionRequested>(request_).number;
  const VersionNumber number = requested == 0 ? head.mark.number : requested;
  const auto entry =
      std::ranges::find(head.history, number,
                        [](const HistoryEntry& it) { return it.mark.number; });
  if (entry == head.history.end()) {
    Refuse(ctx, CommitCode::kNotFound, "version " + std::to_string(number),
           "the head's history does not contain it");
    return;
  }
  loader_.Load(ctx, entry->mark, entry->value_keys, deadline_,
               [this](const ReduceContext& at, const LoadedVersion& loaded) {
                 OnVersion(at, loaded);
               });
}

void ReadJob::OnVersion(const ReduceContext& ctx, const LoadedVersion& loaded) {
  const auto& read_request = std::get<VersionRequested>(request_);
  if (!loaded.snapshot) {
    Refuse(ctx,
           loaded.unavailable ? CommitCode::kStoreUnavailable
                              : CommitCode::kNotFound,
           "version " + std::to_string(read_request.number), loaded.reason);
    return;
  }
  done_ = true;
  CommitResult result{.mark = loaded.snapshot->mark()};
  ctx.out->emplace_back(VersionFinished{read_request.request, std::move(result),
                                        loaded.snapshot});
}

void ReadJob::Refuse(const ReduceContext& ctx,
                     CommitCode code,
                     const std::string& path,
                     const std::string& reason) {
  done_ = true;
  calls_.Clear();
  CommitResult result = MakeRefusal(code, path, reason);
  if (const auto* read_request = std::get_if<HistoryRequested>(&request_)) {
    ctx.out->emplace_back(
        HistoryFinished{read_request->request, std::move(result)});
    return;
  }
  const auto& read_request = std::get<VersionRequested>(request_);
  ctx.out->emplace_back(
      VersionFinished{read_request.request, std::move(result)});
}

}  // namespace cassiabend
