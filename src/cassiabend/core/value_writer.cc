#include "cassiabend/core/value_writer.h"

#include <algorithm>
#include <utility>

namespace cassiabend {

void ValueWriter::Write(const ReduceContext& ctx,
                        const std::vector<KeyValue>& values,
                        MonoTime deadline,
                        Handler handler) {
  values_ = &values;
  deadline_ = deadline;
  handler_ = std::move(handler);
  values_pending_ = values.size();
  written_ = {};
  for (const KeyValue& it : values) {
    calls_->Send(
        ctx, StoreCompareAndSwap{.key = it.key, .value = it.value},
        {.deadline = deadline_, .retry_policy = StoreRetryPolicy::kAlways},
        [this, &it](const ReduceContext& at, const StoreReply& reply) {
          OnWritten(at, it, reply);
        });
  }
}

void ValueWriter::OnWritten(const ReduceContext& ctx,
                            const KeyValue& value,
                            const StoreReply& reply) {
  // An earlier transmission of the same write may have taken effect.
  const bool written = reply.status == StoreStatus::kOk ||
                       (reply.status == StoreStatus::kConflict && reply.entry &&
                        reply.entry->value == value.value);
  if (!written) {
    Finish(ctx, false);
    return;
  }
  written_ = std::max(written_, reply.position());
  if (--values_pending_ == 0) {
    Finish(ctx, true);
  }
}

void ValueWriter::Check(const ReduceContext& ctx,
                        const StorePosition& head_position,
                        MonoTime deadline,
                        Handler handler) {
  deadline_ = deadline;
  handler_ = std::move(handler);
  if (CanTrustWrites(head_position)) {
    values_pending_ = 1;
    CheckValue(ctx, values_->back());
    return;
  }
  values_pending_ = values_->size();
  for (const KeyValue& it : *values_) {
    CheckValue(ctx, it);
  }
}

bool ValueWriter::CanTrustWrites(const StorePosition& head_position) const {
  const bool went_back = head_position.revision != 0 &&
                         (head_position.era != written_.era ||
                          head_position.revision <= written_.revision);
  return !calls_->has_failures() && !went_back;
}

void ValueWriter::CheckValue(const ReduceContext& ctx, const KeyValue& value) {
  calls_->Send(ctx, StoreGet{value.key}, {.deadline = deadline_},
               [this](const ReduceContext& at, const StoreReply& reply) {
                 if (reply.status != StoreStatus::kOk || reply.entry) {
                   OnChecked(at);
                   return;
                 }
                 calls_->Clear();
                 Rewrite(at);
               });
}

void ValueWriter::Rewrite(const ReduceContext& ctx) {
  values_pending_ = values_->size();
  for (const KeyValue& it : *values_) {
    calls_->Send(
        ctx, StoreCompareAndSwap{.key = it.key, .value = it.value},
        {.deadline = deadline_, .retry_policy = StoreRetryPolicy::kAlways},
        [this](const ReduceContext& at, const StoreReply& /*reply*/) {
          OnChecked(at);
        });
  }
}

void ValueWriter::OnChecked(const ReduceContext& ctx) {
  if (--values_pending_ == 0) {
    Finish(ctx, true);
  }
}

void ValueWriter::Finish(const ReduceContext& ctx, bool done) {
  const Handler handler = std::exchange(handler_, nullptr);
  handler(ctx, done);
}

}  // namespace cassiabend
