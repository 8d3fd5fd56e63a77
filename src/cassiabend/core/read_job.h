#pragma once

#include <string>
#include <variant>

#include "cassiabend/core/store_caller.h"
#include "cassiabend/core/version_loader.h"
#include "cassiabend/model/head.h"

namespace cassiabend {

/// \brief A request that only reads the store.
using ReadRequest = std::variant<HistoryRequested, VersionRequested>;

/// \brief Answers one request for the history or for an earlier version.
class ReadJob {
 public:
  ReadJob(ConfigEnv* env, ReadRequest request, MonoTime deadline);
  ReadJob(const ReadJob&) = delete;
  ReadJob& operator=(const ReadJob&) = delete;

  [[nodiscard]] bool done() const noexcept { return done_; }

  void Start(const ReduceContext& ctx);
  /// \returns Whether the reply belongs to a call of this job.
  bool OnReply(const ReduceContext& ctx, const StoreReplied& event);
  void Tick(const ReduceContext& ctx);

  /// \brief Refuses the request and ends the job.
  void Refuse(const ReduceContext& ctx,
              CommitCode code,
              const std::string& path,
              const std::string& reason);

 private:
  void OnHead(const ReduceContext& ctx, const StoreReply& reply);
  void LoadVersion(const ReduceContext& ctx, const Head& head);
  void OnVersion(const ReduceContext& ctx, const LoadedVersion& loaded);

  ConfigEnv* env_;
  ReadRequest request_;
  MonoTime deadline_;
  StoreCaller calls_;
  VersionLoader loader_;
  bool done_ = false;
};

}  // namespace cassiabend
