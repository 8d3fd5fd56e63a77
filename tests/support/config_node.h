#pragma once

#include <doctest/doctest.h>

#include <deque>
#include <functional>
#include <optional>
#include <utility>
#include <vector>

#include "cassiabend/base/clock.h"
#include "cassiabend/core/config_reducer.h"
#include "tests/support/fake_store.h"

namespace cassiabend::testing {

/// \returns A different seed at each call.
inline std::uint64_t NextSeed() {
  static std::uint64_t seed = 0;
  return ++seed;
}

/// \brief One node's `ConfigReducer` with a fake store. The versions that it
/// publishes come into force on it immediately.
class ConfigNode {
 public:
  /// \brief Returns a reply in place of the store, or nothing to pass the call
  /// on to the store.
  using Fault = std::function<std::optional<StoreReply>(const StoreCall&)>;

  explicit ConfigNode(FakeStore* store, const ConfigOptions& options = {})
      : store_(store), reducer_(options, NextSeed()) {
    clock_.Advance(Seconds(1000));
  }

  Fault fault;
  /// Whether store calls get no reply at all.
  bool silent = false;
  std::vector<CommitFinished> commits;
  std::vector<HistoryFinished> histories;
  std::vector<VersionFinished> versions;
  std::vector<VersionCommitted> published;
  int calls = 0;

  void Send(const ConfigEvent& event) {
    std::vector<ConfigEffect> out;
    reducer_.Reduce(clock_.Now(), event, &out);
    HandleEffects(std::move(out));
    DeliverReplies();
  }

  void RunFor(Milliseconds time) {
    constexpr Milliseconds kStep{100};
    for (Milliseconds passed{0}; passed < time; passed += kStep) {
      clock_.Advance(kStep);
      std::vector<ConfigEffect> out;
      reducer_.Tick(clock_.Now(), &out);
      HandleEffects(std::move(out));
      DeliverReplies();
    }
  }

  void SetNewest(RefPtr<const Snapshot> snapshot) {
    reducer_.SetNewest(std::move(snapshot));
  }

  [[nodiscard]] RefPtr<const Snapshot> newest() const {
    return published.empty() ? nullptr : published.back().snapshot;
  }

  CommitResult SendAndWait(const ConfigEvent& event) {
    const std::size_t before = commits.size();
    Send(event);
    for (int i = 0; i < 200 && commits.size() == before; ++i) {
      RunFor(Milliseconds(100));
    }
    REQUIRE(commits.size() == before + 1);
    return commits.back().result;
  }

  CommitResult Commit(const Change& change, bool dry_run = false) {
    return SendAndWait(CommitRequested{1, change, dry_run});
  }

 private:
  void HandleEffects(std::vector<ConfigEffect> effects) {
    for (ConfigEffect& it : effects) {
      if (auto* call = std::get_if<StoreCall>(&it)) {
        ExecuteCall(*call);
      } else if (auto* commit = std::get_if<CommitFinished>(&it)) {
        commits.push_back(*commit);
      } else if (auto* history = std::get_if<HistoryFinished>(&it)) {
        histories.push_back(*history);
      } else if (auto* version = std::get_if<VersionFinished>(&it)) {
        versions.push_back(*version);
      } else {
        published.push_back(std::get<VersionCommitted>(it));
        SetNewest(published.back().snapshot);
      }
    }
  }

  void ExecuteCall(const StoreCall& call) {
    ++calls;
    if (silent) {
      return;
    }
    const auto faked = fault ? fault(call) : std::nullopt;
    replies_.push_back(
        {call.id,
         faked ? *faked : store_->Execute(call.request, clock_.Now().mono)});
  }

  void DeliverReplies() {
    while (!replies_.empty()) {
      const StoreReplied reply = replies_.front();
      replies_.pop_front();
      std::vector<ConfigEffect> out;
      reducer_.Reduce(clock_.Now(), reply, &out);
      HandleEffects(std::move(out));
    }
  }

  FakeStore* store_;
  ConfigReducer reducer_;
  ManualClock clock_;
  std::deque<StoreReplied> replies_;
};

}  // namespace cassiabend::testing
