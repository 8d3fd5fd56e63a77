#pragma once

#include <optional>
#include <string>
#include <variant>

#include "cassiabend/core/cleanup_inventory.h"
#include "cassiabend/core/commit_attempt.h"
#include "cassiabend/core/commit_plan.h"
#include "cassiabend/core/store_caller.h"
#include "cassiabend/core/value_writer.h"
#include "cassiabend/core/version_loader.h"

namespace cassiabend {

/// \brief A request that creates a new version.
using CommitRequest =
    std::variant<CommitRequested, RollbackRequested, RecoverRequested>;

/// \brief Processes one request: reads the head, plans the next version, writes
/// it under new keys and replaces the head by compare-and-swap.
///
/// While a write of the head may still take effect (`in_doubt_`), the request
/// is never refused: the job reads the head until its revision shows that the
/// write has taken effect or no longer can.
class CommitJob {
 public:
  CommitJob(ConfigEnv* env, CommitRequest request, MonoTime deadline);
  CommitJob(const CommitJob&) = delete;
  CommitJob& operator=(const CommitJob&) = delete;

  [[nodiscard]] bool done() const noexcept { return done_; }
  /// \returns Whether the job wrote values that may need cleaning up.
  [[nodiscard]] bool wrote_values() const noexcept { return wrote_values_; }
  [[nodiscard]] MonoTime deadline() const noexcept { return deadline_; }

  void Start(const ReduceContext& ctx);
  /// \returns Whether the reply belongs to a call of this job.
  bool OnReply(const ReduceContext& ctx, const StoreReplied& event);
  void Tick(const ReduceContext& ctx);

  /// \brief Answers the request and ends the job.
  void Finish(const ReduceContext& ctx, CommitResult result);

 private:
  void ReadHead(const ReduceContext& ctx);
  void OnHead(const ReduceContext& ctx, const StoreReply& reply);
  [[nodiscard]] bool ParseHead(const ReduceContext& ctx,
                               const StoreReply& reply);
  [[nodiscard]] std::optional<CommitResult> CheckStoreBehind() const;
  void LoadBase(const ReduceContext& ctx);
  void OnBase(const ReduceContext& ctx, const LoadedVersion& loaded);
  void OnLoadFailed(const ReduceContext& ctx, const LoadedVersion& loaded);

  void PlanNextVersion(const ReduceContext& ctx);
  void StartRollback(const ReduceContext& ctx,
                     const RollbackRequested& requested);
  void StartRecovery(const ReduceContext& ctx,
                     const RecoverRequested& requested);
  void OnPlanned(const ReduceContext& ctx, const Plan& plan);

  void RecordKeys(const ReduceContext& ctx);
  void WriteValues(const ReduceContext& ctx);
  void WriteHead(const ReduceContext& ctx);
  void OnHeadWritten(const ReduceContext& ctx, const StoreReply& reply);

  void OnChangeInHead(const ReduceContext& ctx, const StorePosition& position);

  void FinishAccepted(const ReduceContext& ctx);
  void Publish(const ReduceContext& ctx,
               const NextVersion& version,
               MonoTime confirmed_at) const;
  void Answer(const ReduceContext& ctx, CommitResult result) const;
  void Fail(const ReduceContext& ctx, const std::string& reason);
  /// \returns Whether the head as last read was written by this attempt.
  [[nodiscard]] bool IsHeadFromAttempt() const;
  /// \returns Whether the head is still the one that the attempt replaces.
  [[nodiscard]] bool IsHeadUnchanged() const;
  /// \returns Whether the version in force here has a lower number than the
  /// attempt's version.
  [[nodiscard]] bool IsNumberAvailable() const;
  /// \brief Fails the request if its deadline has passed.
  /// \returns Whether it has.
  [[nodiscard]] bool FailIfExpired(const ReduceContext& ctx);

  ConfigEnv* env_;
  CommitRequest request_;
  ChangeId change_id_;
  MonoTime deadline_;
  StoreCaller calls_;
  VersionLoader loader_;
  InventoryEditor inventory_;
  ValueWriter values_;

  /// The head as last read, with its revision (0 when it is absent).
  Head head_;
  StoreRevision head_revision_ = 0;
  MonoTime head_request_sent_at_{};
  /// The version in force here when the last read or write of the head was
  /// sent.
  VersionMark newest_at_read_;
  RefPtr<const Snapshot> base_;
  int load_failures_ = 0;

  std::optional<CommitAttempt> attempt_;
  bool wrote_values_ = false;
  /// Whether a sent write of the head may still take effect.
  bool in_doubt_ = false;
  std::uint32_t head_write_failures_ = 0;
  bool done_ = false;
};

}  // namespace cassiabend
