#pragma once

#include <functional>
#include <vector>

#include "cassiabend/core/commit_attempt.h"
#include "cassiabend/core/store_caller.h"

namespace cassiabend {

/// \brief Writes the values of one commit attempt, and checks after the head
/// was replaced that the store still has them.
class ValueWriter {
 public:
  using Handler = std::function<void(const ReduceContext& ctx, bool done)>;

  explicit ValueWriter(StoreCaller* calls) : calls_(calls) {}

  /// \brief Creates all values concurrently.
  /// \param values Must outlive all calls of this writer.
  /// \param handler Called once, with whether all were written.
  void Write(const ReduceContext& ctx,
             const std::vector<KeyValue>& values,
             MonoTime deadline,
             Handler handler);

  /// \brief Reads the values back, and writes all of them again when one is
  /// missing because the store was restored to an older state. Values that
  /// cannot be read count as present.
  /// \param head_position Position of the store in the reply that showed the
  /// new head; revision 0 when unknown. \param handler Called once, always with
  /// true.
  void Check(const ReduceContext& ctx,
             const StorePosition& head_position,
             MonoTime deadline,
             Handler handler);

 private:
  void OnWritten(const ReduceContext& ctx,
                 const KeyValue& value,
                 const StoreReply& reply);
  /// \returns Whether it is enough to read the last value back: no call has
  /// failed and the store has not been restored.
  [[nodiscard]] bool CanTrustWrites(const StorePosition& head_position) const;
  void CheckValue(const ReduceContext& ctx, const KeyValue& value);
  void Rewrite(const ReduceContext& ctx);
  void OnChecked(const ReduceContext& ctx);
  void Finish(const ReduceContext& ctx, bool done);

  StoreCaller* calls_;
  const std::vector<KeyValue>* values_ = nullptr;
  MonoTime deadline_{};
  Handler handler_;
  std::size_t values_pending_ = 0;
  /// Highest position of the store in the replies to the writes.
  StorePosition written_;
};

}  // namespace cassiabend
