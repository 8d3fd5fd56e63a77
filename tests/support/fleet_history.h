#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "cassiabend/base/random.h"
#include "cassiabend/model/change.h"
#include "cassiabend/model/codec.h"
#include "cassiabend/model/snapshot.h"
#include "tests/support/fleet_fake_store.h"

namespace cassiabend::testing {

/// \brief Commits versions to a fake store as the commit path does, and records
/// what was committed when, so that tests can check the nodes against it.
class FleetHistory {
 public:
  [[nodiscard]] const RefPtr<const Snapshot>& newest() const noexcept {
    return newest_;
  }
  [[nodiscard]] VersionNumber newest_number() const {
    return newest_ ? newest_->mark().number : 0;
  }
  /// \returns The version number of the head at time `at`, 0 before the first.
  [[nodiscard]] VersionNumber HeadNumberAt(MonoTime at) const {
    VersionNumber head_number = 0;
    for (const auto& [time, number] : heads_) {
      head_number = time <= at ? number : head_number;
    }
    return head_number;
  }
  [[nodiscard]] bool IsCommitted(const Snapshot& snapshot) const {
    const auto it = committed_.find(snapshot.mark().number);
    return it != committed_.end() && it->second->config() == snapshot.config();
  }
  /// \returns Whether the store's head is older than the newest version.
  [[nodiscard]] bool IsRestored() const {
    return !heads_.empty() && heads_.back().second != newest_number();
  }

  /// \brief Commits the next version, which changes one site.
  /// \returns The delta from the previous version.
  ConfigDelta Commit(MonoTime now, Random& random, FleetFakeStore* store) {
    const RefPtr<const Snapshot> before = newest_;
    const Config base = before ? before->config() : Config{};
    const VersionNumber number = base.number + 1;
    ConfigDelta delta;
    delta.base = before ? before->mark() : VersionMark{};
    delta.change_id = {number, random.Next()};
    delta.author = "operator";
    delta.edits = {{Site{"site-" + std::to_string(number % 5),
                         "team-" + std::to_string(number), "GMT+00", 0},
                    std::nullopt}};
    newest_ = RefPtr<const Snapshot>(new Snapshot(
        ApplyEdits(base, delta.edits, delta.change_id, delta.author)));
    delta.mark = newest_->mark();
    WriteVersion(delta, before != nullptr, store);
    committed_[number] = newest_;
    heads_.emplace_back(now, number);
    return delta;
  }
  /// \brief Sets the head back to the first one, as when the store is restored
  /// from an old backup.
  void RestoreOldestHead(MonoTime now, FleetFakeStore* store) {
    if (!oldest_head_.empty()) {
      store->Put(kHeadKey, oldest_head_);
      heads_.emplace_back(now, DecodeHead(oldest_head_).mark.number);
    }
  }

 private:
  void WriteVersion(const ConfigDelta& delta,
                    bool has_base,
                    FleetFakeStore* store) {
    const std::string number = std::to_string(delta.mark.number);
    Head head;
    head.mark = delta.mark;
    // Split into two chunks, as a value that exceeds the store's size limit.
    const std::string value = EncodeConfig(newest_->config());
    head.value_keys = {kValuePrefix + number + "/0",
                       kValuePrefix + number + "/1"};
    store->Put(head.value_keys[0], value.substr(0, value.size() / 2));
    store->Put(head.value_keys[1], value.substr(value.size() / 2));
    if (has_base) {
      head.delta_key = kDeltaPrefix + number;
      store->Put(head.delta_key, EncodeDelta(delta));
    }
    const std::string bytes = EncodeHead(head);
    store->Put(kHeadKey, bytes);
    oldest_head_ = oldest_head_.empty() ? bytes : oldest_head_;
  }

  RefPtr<const Snapshot> newest_;
  std::string oldest_head_;
  std::map<VersionNumber, RefPtr<const Snapshot>> committed_;
  /// Time and version number of each head, in the order of their writing.
  std::vector<std::pair<MonoTime, VersionNumber>> heads_;
};

}  // namespace cassiabend::testing
