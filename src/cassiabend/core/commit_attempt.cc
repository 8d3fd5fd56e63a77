#include "cassiabend/core/commit_attempt.h"

#include <algorithm>
#include <utility>

#include "cassiabend/base/error.h"
#include "cassiabend/model/codec.h"

namespace cassiabend {
namespace {

/// Maximum number of chunks of one version.
constexpr std::size_t kMaxChunks = 32;

/// \brief Splits the encoded version into chunks under new keys and lists the
/// keys in the head of `attempt`.
void AddChunks(const std::string& bytes,
               const std::string& suffix,
               CommitAttempt* attempt) {
  for (std::size_t at = 0; at < bytes.size(); at += kStoreValueLimitBytes) {
    const std::string key =
        kValuePrefix + suffix + "-" + std::to_string(attempt->values.size());
    attempt->values.push_back({key, bytes.substr(at, kStoreValueLimitBytes)});
    attempt->head.value_keys.push_back(key);
  }
}

void AddDelta(const std::string& suffix, CommitAttempt* attempt) {
  if (!attempt->next.delta) {
    return;
  }
  std::string bytes = EncodeDelta(*attempt->next.delta);
  if (bytes.size() > kStoreValueLimitBytes) {
    return;
  }
  attempt->head.delta_key = kDeltaPrefix + suffix;
  attempt->values.push_back({attempt->head.delta_key, std::move(bytes)});
}

template <typename T>
void Prepend(T value, std::size_t limit, std::vector<T>* list) {
  list->insert(list->begin(), std::move(value));
  if (list->size() > limit) {
    list->resize(limit);
  }
}

/// \brief Prepends the new version to the recent changes and the history of the
/// old head.
void ExtendChain(const Head& old_head,
                 WallTime now,
                 const ConfigOptions& options,
                 CommitAttempt* attempt) {
  Head& head = attempt->head;
  const Config& config = attempt->next.snapshot->config();
  head.recent = old_head.recent;
  Prepend(CommittedChange{config.number, config.change_id},
          options.remembered_changes, &head.recent);
  head.history = old_head.history;
  Prepend(HistoryEntry{.mark = head.mark,
                       .change_id = config.change_id,
                       .author = config.author,
                       .committed_at = now,
                       .value_keys = head.value_keys},
          options.kept_versions, &head.history);
}

}  // namespace

std::vector<std::string> CommitAttempt::Keys() const {
  std::vector<std::string> out;
  for (const KeyValue& it : values) {
    out.push_back(it.key);
  }
  return out;
}

CommitAttempt MakeAttempt(const NextVersion& next,
                          const Head& old_head,
                          StoreRevision expected,
                          WallTime now,
                          ConfigEnv* env) {
  CommitAttempt out{.next = next, .base = old_head.mark, .expected = expected};
  out.head.mark = next.snapshot->mark();
  const std::string bytes = EncodeConfig(next.snapshot->config());
  // A version that nodes cannot decode must never become the head.
  if (DecodeConfig(bytes) != next.snapshot->config()) {
    throw ModelError("cannot store the version", "configuration",
                     "decoding it again gives a different configuration");
  }
  if (bytes.size() > kMaxChunks * kStoreValueLimitBytes) {
    throw ModelError("cannot store the version", "configuration",
                     std::to_string(bytes.size()) + " bytes exceed the limit");
  }
  const std::string suffix = ToHex(next.snapshot->config().change_id) + "-" +
                             ToHex(env->random.NextId());
  AddChunks(bytes, suffix, &out);
  AddDelta(suffix, &out);
  ExtendChain(old_head, now, env->options, &out);
  out.head_bytes = EncodeHead(out.head);
  if (out.head_bytes.size() > kStoreValueLimitBytes) {
    throw ModelError(
        "cannot store the head", kHeadKey,
        std::to_string(out.head_bytes.size()) + " bytes exceed the limit");
  }
  return out;
}

}  // namespace cassiabend
