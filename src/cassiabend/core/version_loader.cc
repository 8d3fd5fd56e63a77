#include "cassiabend/core/version_loader.h"

#include <utility>

#include "cassiabend/base/error.h"
#include "cassiabend/model/codec.h"

namespace cassiabend {

RefPtr<const Snapshot> DecodeVersion(const std::string& bytes,
                                     const VersionMark& mark) {
  RefPtr<const Snapshot> out(new Snapshot(DecodeConfig(bytes)));
  if (out->mark() != mark) {
    throw ModelError("cannot read", "version " + std::to_string(mark.number),
                     "the stored value has a different version number or hash");
  }
  return out;
}

void VersionLoader::Load(const ReduceContext& ctx,
                         const VersionMark& mark,
                         const std::vector<std::string>& keys,
                         MonoTime deadline,
                         Handler handler) {
  mark_ = mark;
  handler_ = std::move(handler);
  chunks_.assign(keys.size(), {});
  chunks_pending_ = keys.size();
  result_ = {};
  if (keys.empty()) {
    result_.reason = "the head names no keys for the version";
    Finish(ctx);
    return;
  }
  for (std::size_t i = 0; i < keys.size(); ++i) {
    calls_->Send(ctx, StoreGet{keys[i]}, {.deadline = deadline},
                 [this, i, key = keys[i]](const ReduceContext& at,
                                          const StoreReply& reply) {
                   OnChunk(at, i, key, reply);
                 });
  }
}

void VersionLoader::OnChunk(const ReduceContext& ctx,
                            std::size_t index,
                            const std::string& key,
                            const StoreReply& reply) {
  if (reply.status != StoreStatus::kOk) {
    result_.reason = "the store is unreachable";
    result_.unavailable = true;
  } else if (!reply.entry) {
    result_.reason = "the store has no value under " + key;
  } else {
    chunks_[index] = reply.entry->value;
  }
  if (--chunks_pending_ == 0) {
    Finish(ctx);
  }
}

void VersionLoader::Finish(const ReduceContext& ctx) {
  if (result_.reason.empty()) {
    std::string bytes;
    for (const std::string& it : chunks_) {
      bytes += it;
    }
    try {
      result_.snapshot = DecodeVersion(bytes, mark_);
    } catch (const ModelError& e) {
      result_.reason = e.what();
    }
  }
  chunks_.clear();
  const Handler handler = std::move(handler_);
  handler(ctx, std::move(result_));
}

}  // namespace cassiabend
