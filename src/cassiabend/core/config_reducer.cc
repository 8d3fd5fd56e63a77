#include "cassiabend/core/config_reducer.h"

#include <algorithm>
#include <deque>
#include <type_traits>
#include <utility>

#include "cassiabend/core/cleaner.h"
#include "cassiabend/core/commit_job.h"
#include "cassiabend/core/read_job.h"

namespace cassiabend {

/// \brief Runs the jobs: changes one at a time, reads concurrently.
class ConfigReducer::Impl {
 public:
  Impl(const ConfigOptions& options, std::uint64_t seed)
      : env_{.options = options, .random = Random(seed)}, cleaner_(&env_) {}

  void Reduce(const ReduceContext& ctx, const ConfigEvent& event) {
    std::visit(
        [this, &ctx](const auto& it) {
          using E = std::decay_t<decltype(it)>;
          if constexpr (std::is_same_v<E, StoreReplied>) {
            OnReply(ctx, it);
          } else if constexpr (std::is_same_v<E, HistoryRequested> ||
                               std::is_same_v<E, VersionRequested>) {
            AddRead(ctx, it);
          } else {
            AddChange(ctx, it);
          }
        },
        event);
    RemoveFinishedJobs(ctx);
  }

  void Tick(const ReduceContext& ctx) {
    if (!changes_.empty()) {
      changes_.front()->Tick(ctx);
    }
    for (const auto& it : reads_) {
      it->Tick(ctx);
    }
    cleaner_.Tick(ctx);
    ExpireWaiting(ctx);
    RemoveFinishedJobs(ctx);
  }

  void SetNewest(RefPtr<const Snapshot> snapshot) {
    env_.newest = std::move(snapshot);
  }

 private:
  [[nodiscard]] MonoTime DeadlineOf(const ReduceContext& ctx) const {
    return ctx.now.mono + env_.options.commit_timeout;
  }

  void AddChange(const ReduceContext& ctx, const CommitRequest& request) {
    auto job = std::make_unique<CommitJob>(&env_, request, DeadlineOf(ctx));
    if (changes_.size() > env_.options.max_waiting_changes) {
      job->Finish(ctx, MakeRefusal(CommitCode::kBusy, "change",
                                   "too many changes are waiting"));
      return;
    }
    changes_.push_back(std::move(job));
    if (changes_.size() == 1) {
      changes_.front()->Start(ctx);
    }
  }

  void AddRead(const ReduceContext& ctx, const ReadRequest& request) {
    auto job = std::make_unique<ReadJob>(&env_, request, DeadlineOf(ctx));
    if (reads_.size() >= env_.options.max_waiting_changes) {
      job->Refuse(ctx, CommitCode::kBusy, "request",
                  "too many requests are waiting");
      return;
    }
    reads_.push_back(std::move(job));
    reads_.back()->Start(ctx);
  }

  void OnReply(const ReduceContext& ctx, const StoreReplied& event) {
    if (cleaner_.OnReply(ctx, event)) {
      return;
    }
    if (!changes_.empty() && changes_.front()->OnReply(ctx, event)) {
      return;
    }
    for (const auto& it : reads_) {
      if (it->OnReply(ctx, event)) {
        return;
      }
    }
  }

  /// \brief Fails the waiting changes whose deadline has passed.
  void ExpireWaiting(const ReduceContext& ctx) {
    for (std::size_t i = 1; i < changes_.size(); ++i) {
      if (ctx.now.mono < changes_[i]->deadline()) {
        continue;
      }
      changes_[i]->Finish(
          ctx, MakeRefusal(
                   CommitCode::kBusy, "change",
                   "its deadline passed while it waited for earlier changes"));
    }
  }

  void RemoveFinishedJobs(const ReduceContext& ctx) {
    std::erase_if(reads_, [](const auto& it) { return it->done(); });
    for (;;) {
      if (!changes_.empty() && changes_[0]->done() &&
          changes_[0]->wrote_values()) {
        cleaner_.SchedulePasses(ctx);
      }
      const CommitJob* first = changes_.empty() ? nullptr : changes_[0].get();
      std::erase_if(changes_, [](const auto& it) { return it->done(); });
      if (changes_.empty() || changes_[0].get() == first) {
        return;
      }
      changes_[0]->Start(ctx);
    }
  }

  ConfigEnv env_;
  Cleaner cleaner_;
  /// The first one is running; the others wait.
  std::deque<std::unique_ptr<CommitJob>> changes_;
  std::vector<std::unique_ptr<ReadJob>> reads_;
};

ConfigReducer::ConfigReducer(const ConfigOptions& options, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(options, seed)) {}

ConfigReducer::~ConfigReducer() = default;

void ConfigReducer::Reduce(const Instant& now,
                           const ConfigEvent& event,
                           std::vector<ConfigEffect>* out) {
  impl_->Reduce({now, out}, event);
}

void ConfigReducer::Tick(const Instant& now, std::vector<ConfigEffect>* out) {
  impl_->Tick({now, out});
}

void ConfigReducer::SetNewest(RefPtr<const Snapshot> snapshot) {
  impl_->SetNewest(std::move(snapshot));
}

}  // namespace cassiabend
