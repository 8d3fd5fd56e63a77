#pragma once

#include <functional>
#include <vector>

#include "cassiabend/core/commit_attempt.h"
#include "cassiabend/core/config_store_caller.h"

namespace cassiabend {

/// \brief Writes the fresh values of one attempt, and checks later that the
/// store still has them.
class ValueWriter {
 public:
  using Handler = std::function<void(const ReduceContext& ctx, bool done)>;

  explicit ValueWriter(StoreCaller* calls) : calls_(calls) {}

  /// \brief Creates all values side by side.
  /// \param values Kept by the caller until the end of all calls.
  /// \param handler Called once, with whether all were written.
  void Write(const ReduceContext& ctx,
             const std::vector<FreshValue>& values,
             MonoTime deadline,
             Handler handler);

  /// \brief Looks for values that a restored store has lost, and writes all
  /// again where one is missing. Values that cannot be looked for are left.
  /// \param head_store_revision Revision of the store as the head was found
  /// written; 0 when unknown.
  /// \param handler Called once, always with true.
  void Check(const ReduceContext& ctx,
             StoreRevision head_store_revision,
             MonoTime deadline,
             Handler handler);

 private:
  void OnWritten(const ReduceContext& ctx,
                 const FreshValue& value,
                 const StoreReply& reply);
  [[nodiscard]] bool Trusted(StoreRevision head_store_revision) const;
  void CheckOne(const ReduceContext& ctx, const FreshValue& value);
  void Rewrite(const ReduceContext& ctx);
  void OnChecked(const ReduceContext& ctx);
  void Finish(const ReduceContext& ctx, bool done);

  StoreCaller* calls_;
  const std::vector<FreshValue>* values_ = nullptr;
  MonoTime deadline_{};
  Handler handler_;
  std::size_t missing_ = 0;
  /// Highest revision of the store that the writes were told.
  StoreRevision written_revision_ = 0;
};

}  // namespace cassiabend
