#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cassiabend/base/random.h"
#include "cassiabend/core/commit_job.h"
#include "cassiabend/core/config_reducer.h"
#include "cassiabend/model/codec.h"
#include "tests/support/fake_store.h"

namespace cassiabend::testing {

/// \brief A fault injected into one store call.
enum class Fault : std::uint8_t {
  kReplyLost,       ///< Takes effect; the caller gets `kUnknown`.
  kRequestLost,     ///< Has no effect; the caller gets `kUnknown`.
  kLateEffect,      ///< The caller gets `kUnknown`; takes effect later.
  kUnavailable,     ///< The caller gets `kUnavailable`.
  kOutage,          ///< The same for all calls of the next 4 s.
  kLongOutage,      ///< The same for all calls of the next 15 s.
  kSlowReply,       ///< The reply takes 5 s.
  kDuplicateReply,  ///< The reply arrives twice.
  kKillBefore,      ///< The process ends before the call leaves.
  kKillAfter,       ///< The process ends before the reply arrives.
  kPauseBefore,     ///< The process stops for 30 s before the call leaves.
  kPauseAfter,      ///< The process stops for 30 s before the reply arrives.
  kRestore,         ///< The store loses the newest version first.
};
inline constexpr int kFaults = 13;

struct PlannedFault {
  int step = 0;
  Fault fault = Fault::kReplyLost;
};

/// \brief Simulates several nodes' reducers, operators and a store with faults
/// in virtual time. Invariants are checked whenever the store changes and
/// whenever an operator gets an answer; `failures` collects the violations.
class CommitSimulation {
 public:
  struct Answer {
    CommitCode code = CommitCode::kOk;
    VersionMark mark;
    MonoTime at{};
  };

  CommitSimulation(int nodes, std::uint64_t seed, const ConfigOptions& options)
      : options_(options), random_(seed) {
    now_.mono += Seconds(1000);
    now_.wall = WallTime(Seconds(1'700'000'000));
    nodes_.resize(static_cast<std::size_t>(nodes));
    for (Node& it : nodes_) {
      it.reducer = std::make_unique<ConfigReducer>(options_, random_.Next());
    }
  }

  std::vector<std::string> failures;
  /// Every answer to each request, in order.
  std::map<AdminRequestId, std::vector<Answer>> answers;

  [[nodiscard]] const FakeStore& store() const { return store_; }
  [[nodiscard]] bool restored() const { return restores_ > 0; }
  [[nodiscard]] bool faults_left() const { return !faults_.empty(); }
  [[nodiscard]] RefPtr<const Snapshot> fleet() const { return fleet_; }
  [[nodiscard]] RefPtr<const Snapshot> newest(std::size_t node) const {
    return nodes_[node].newest;
  }
  [[nodiscard]] int effects_of(const ChangeId& id) const {
    const auto it = effects_.find(id);
    return it == effects_.end() ? 0 : it->second;
  }

  /// \brief Sets the faults; steps count the store calls from now on.
  void SetFaults(std::vector<PlannedFault> faults) {
    faults_ = std::move(faults);
    steps_ = 0;
  }

  /// \brief Sends an operator's request to node `node` after `delay`.
  void ScheduleRequest(int node,
                       Milliseconds delay,
                       const CommitRequest& request) {
    std::visit([&](const auto& it) { PostRequest(node, delay, it); }, request);
  }

  /// \brief Restores the store to its state before the newest version. The
  /// invariants start anew, so that the loss does not count as a violation.
  void RestoreOlderAndResetInvariants() {
    RestoreOlder();
    restores_ = 0;
    accepted_.clear();
    effects_.clear();
  }

  /// \brief Runs for at least the given time and until no event is pending.
  void Run(Milliseconds at_least = Seconds(12)) {
    const MonoTime end = now_.mono + at_least;
    const MonoTime limit = now_.mono + Seconds(300);
    while (now_.mono < limit && (now_.mono < end || !events_.empty())) {
      Step();
    }
    if (now_.mono >= limit) {
      failures.emplace_back("events are still pending after 300 s");
    }
  }

  [[nodiscard]] const Head& head() {
    const StoreEntry* entry = store_.Find(kHeadKey);
    const std::string bytes = entry == nullptr ? "" : entry->value;
    if (bytes != head_bytes_) {
      head_ = entry == nullptr ? Head{} : DecodeHead(bytes);
      head_bytes_ = bytes;
    }
    return head_;
  }

  /// \brief Checks that the newest `versions` entries of the head's history can
  /// be loaded.
  void CheckReferencedVersions(std::size_t versions) {
    std::size_t checked = 0;
    for (const HistoryEntry& it : head().history) {
      if (++checked > versions) {
        return;
      }
      std::string bytes;
      for (const std::string& key : it.value_keys) {
        const StoreEntry* entry = store_.Find(key);
        if (entry == nullptr) {
          Fail("version " + std::to_string(it.mark.number) + " lacks " + key);
          return;
        }
        bytes += entry->value;
      }
      if (checked_.insert({it.mark, Hash64(bytes)}).second &&
          MarkOf(DecodeConfig(bytes)) != it.mark) {
        Fail("a stored version does not match its hash");
      }
    }
  }

 private:
  using Action = std::function<void(CommitSimulation*)>;

  struct Node {
    std::unique_ptr<ConfigReducer> reducer;
    int generation = 0;
    MonoTime paused_until{};
    std::vector<ConfigEvent> inbox;
    RefPtr<const Snapshot> newest;
    bool head_outcome_hidden = false;
  };
  struct SentRequest {
    int node = 0;
    MonoTime at{};
  };

  static constexpr Milliseconds kTick{250};
  static constexpr Milliseconds kStoreTimeout{2'000};
  static constexpr Milliseconds kPause{30'000};

  template <typename Request>
  void PostRequest(int node, Milliseconds delay, const Request& request) {
    Post(delay, [this, node, request](CommitSimulation*) {
      Node& it = nodes_[static_cast<std::size_t>(node)];
      sent_requests_[request.request] = {node, now_.mono};
      if (now_.mono < it.paused_until) {
        it.inbox.emplace_back(request);
        return;
      }
      Reduce(node, request);
    });
  }

  void Fail(const std::string& text) {
    if (failures.size() < 5) {
      failures.push_back(text);
    }
  }

  void Post(Milliseconds delay, Action action) {
    events_.emplace(std::pair{now_.mono + delay, ++last_event_},
                    std::move(action));
  }

  void AdvanceTo(MonoTime time) {
    now_.wall += std::chrono::duration_cast<Milliseconds>(time - now_.mono);
    now_.mono = time;
  }

  void Step() {
    if (!events_.empty() && events_.begin()->first.first <= next_tick_) {
      auto event = events_.extract(events_.begin());
      AdvanceTo(std::max(now_.mono, event.key().first));
      event.mapped()(this);
      return;
    }
    AdvanceTo(std::max(now_.mono, next_tick_));
    next_tick_ = now_.mono + kTick;
    for (int i = 0; i < static_cast<int>(nodes_.size()); ++i) {
      TickNode(i);
    }
  }

  void TickNode(int index) {
    Node& node = nodes_[static_cast<std::size_t>(index)];
    if (now_.mono < node.paused_until) {
      return;
    }
    for (const ConfigEvent& it : std::exchange(node.inbox, {})) {
      Reduce(index, it);
    }
    // The fleet distributes its newest version to every running node.
    if (fleet_ &&
        (!node.newest || node.newest->mark().number < fleet_->mark().number)) {
      node.newest = fleet_;
      node.reducer->SetNewest(fleet_);
    }
    std::vector<ConfigEffect> out;
    node.reducer->Tick(now_, &out);
    HandleEffects(index, std::move(out));
  }

  void Reduce(int index, const ConfigEvent& event) {
    std::vector<ConfigEffect> out;
    nodes_[static_cast<std::size_t>(index)].reducer->Reduce(now_, event, &out);
    HandleEffects(index, std::move(out));
  }

  void HandleEffects(int index, std::vector<ConfigEffect> effects) {
    for (ConfigEffect& it : effects) {
      if (auto* call = std::get_if<StoreCall>(&it)) {
        OnCall(index, *call);
      } else if (auto* commit = std::get_if<CommitFinished>(&it)) {
        OnCommitFinished(*commit);
      } else if (auto* version = std::get_if<VersionCommitted>(&it)) {
        OnPublished(index, *version);
      }
    }
  }

  void OnPublished(int index, const VersionCommitted& version) {
    if (!past_heads_.contains(version.snapshot->mark())) {
      Fail("a version was published that was never the head");
    }
    Node& node = nodes_[static_cast<std::size_t>(index)];
    const VersionNumber number = version.snapshot->mark().number;
    if (!node.newest || node.newest->mark().number < number) {
      node.newest = version.snapshot;
      node.reducer->SetNewest(version.snapshot);
    }
    if (!fleet_ || fleet_->mark().number < number) {
      fleet_ = version.snapshot;
    }
  }

  void OnCommitFinished(const CommitFinished& answer) {
    const CommitResult& result = answer.result;
    const SentRequest& sent = sent_requests_[answer.request];
    answers[answer.request].push_back({result.code, result.mark, now_.mono});
    if (answers[answer.request].size() > 1) {
      Fail("a request was answered twice");
    }
    const Node& node = nodes_[static_cast<std::size_t>(sent.node)];
    if (now_.mono - sent.at > options_.commit_timeout + Seconds(1) &&
        node.paused_until == MonoTime()) {
      Fail("an answer came more than 1 s after the commit timeout");
    }
    if (result.code == CommitCode::kOutcomeUnknown &&
        !node.head_outcome_hidden) {
      Fail("an outcome was reported as unknown without a reason");
    }
    if (result.code == CommitCode::kOk && !restored() &&
        effects_of(result.change_id) == 0) {
      Fail("a change was reported as accepted that the head never listed");
    }
    if (result.code == CommitCode::kOk) {
      accepted_.insert(result.change_id);
    }
  }

  std::optional<Fault> TakeFaultAtStep(const StoreCall&) {
    const int step = steps_++;
    const auto it = std::ranges::find(faults_, step, &PlannedFault::step);
    if (it == faults_.end()) {
      return std::nullopt;
    }
    const Fault fault = it->fault;
    faults_.erase(it);
    return fault;
  }

  [[nodiscard]] Milliseconds RandomLatency() {
    return Milliseconds(1 + static_cast<std::int64_t>(random_.Below(12)));
  }

  void OnCall(int index, const StoreCall& call) {
    Node& node = nodes_[static_cast<std::size_t>(index)];
    const int generation = node.generation;
    if (now_.mono < node.paused_until) {
      // Emitted by the same reduction as the call that paused the process.
      Send(index, generation, call, kPause, RandomLatency());
      return;
    }
    switch (TakeFaultAtStep(call).value_or(Fault{kFaults})) {
      case Fault::kReplyLost:
        Execute(call, RandomLatency(), [](const StoreReply&) {});
        ReplyUnknown(index, generation, call);
        return;
      case Fault::kRequestLost:
        ReplyUnknown(index, generation, call);
        return;
      case Fault::kLateEffect:
        ExecuteLate(call);
        ReplyUnknown(index, generation, call);
        return;
      case Fault::kUnavailable:
        Reply(index, generation, RandomLatency(), call,
              {.status = StoreStatus::kUnavailable});
        return;
      case Fault::kOutage:
        outage_until_ = now_.mono + Seconds(4);
        break;
      case Fault::kLongOutage:
        outage_until_ = now_.mono + Seconds(15);
        break;
      case Fault::kSlowReply:
        node.head_outcome_hidden |= IsHeadWrite(call);
        Send(index, generation, call, RandomLatency(), Seconds(5));
        return;
      case Fault::kDuplicateReply:
        Execute(call, RandomLatency(), [=, this](const StoreReply& reply) {
          Reply(index, generation, RandomLatency(), call, reply);
          Reply(index, generation, RandomLatency(), call, reply);
        });
        return;
      case Fault::kKillBefore:
        Kill(index);
        return;
      case Fault::kKillAfter:
        Execute(call, RandomLatency(), [](const StoreReply&) {});
        Kill(index);
        return;
      case Fault::kPauseBefore:
        node.paused_until = now_.mono + kPause;
        node.head_outcome_hidden |= IsHeadWrite(call);
        Send(index, generation, call, kPause, RandomLatency());
        return;
      case Fault::kPauseAfter:
        node.paused_until = now_.mono + kPause;
        node.head_outcome_hidden |= IsHeadWrite(call);
        Send(index, generation, call, RandomLatency(), RandomLatency());
        return;
      case Fault::kRestore:
        RestoreOlder();
        break;
    }
    Send(index, generation, call, RandomLatency(), RandomLatency());
  }

  static bool IsHeadWrite(const StoreCall& call) {
    const auto* swap = std::get_if<StoreCompareAndSwap>(&call.request);
    return swap != nullptr && swap->key == kHeadKey;
  }

  void Send(int index,
            int generation,
            const StoreCall& call,
            Milliseconds request_delay,
            Milliseconds reply_delay) {
    Execute(call, request_delay, [=, this](const StoreReply& reply) {
      Reply(index, generation, reply_delay, call, reply);
    });
  }

  void Execute(const StoreCall& call,
               Milliseconds delay,
               std::function<void(const StoreReply&)> then) {
    Post(delay, [this, call, then = std::move(then),
                 sent_at = now_.mono](CommitSimulation*) {
      if (now_.mono < outage_until_) {
        then({.status = StoreStatus::kUnavailable, .sent_at = sent_at});
        return;
      }
      const StoreReply reply = store_.Execute(call.request, sent_at);
      const bool read = std::holds_alternative<StoreGet>(call.request);
      if (!read && reply.status == StoreStatus::kOk) {
        OnStoreChanged();
      }
      then(reply);
    });
  }

  /// \brief Executes the call late, even during an outage. It is dropped if the
  /// store was restored meanwhile, because the restored store is another
  /// process and does not get the call's connection.
  void ExecuteLate(const StoreCall& call) {
    const Milliseconds delay =
        kStoreTimeout + Milliseconds(random_.Below(16'000));
    Post(delay, [this, call, restores = restores_](CommitSimulation*) {
      if (restores == restores_ &&
          store_.Execute(call.request, now_.mono).status == StoreStatus::kOk) {
        OnStoreChanged();
      }
    });
  }

  void Reply(int index,
             int generation,
             Milliseconds delay,
             const StoreCall& call,
             const StoreReply& reply) {
    Post(delay, [this, index, generation,
                 event = StoreReplied{call.id, reply}](CommitSimulation*) {
      Node& node = nodes_[static_cast<std::size_t>(index)];
      if (node.generation != generation) {
        return;
      }
      if (now_.mono < node.paused_until) {
        node.inbox.emplace_back(event);
        return;
      }
      Reduce(index, event);
    });
  }

  void ReplyUnknown(int index, int generation, const StoreCall& call) {
    nodes_[static_cast<std::size_t>(index)].head_outcome_hidden |=
        IsHeadWrite(call);
    Reply(index, generation, kStoreTimeout, call,
          {.status = StoreStatus::kUnknown});
  }

  /// \brief Kills a node's process; a new one starts without any state.
  void Kill(int index) {
    ++nodes_[static_cast<std::size_t>(index)].generation;
    Post(Milliseconds(0), [this, index](CommitSimulation*) {
      Node& node = nodes_[static_cast<std::size_t>(index)];
      node.reducer = std::make_unique<ConfigReducer>(options_, random_.Next());
      node.newest = nullptr;
      node.inbox.clear();
      node.paused_until = MonoTime();
    });
  }

  void RestoreOlder() {
    if (copies_.size() < 2) {
      return;
    }
    copies_.pop_back();
    store_.Restore(copies_.back().copy);
    last_head_ = copies_.back().head;
    ++restores_;
  }

  void OnStoreChanged() {
    const Head& now = head();
    if (now.mark != last_head_.mark) {
      OnHeadMoved(now);
      last_head_ = now;
      copies_.push_back({now, store_.Save()});
    }
    if (!restored()) {
      CheckReferencedVersions(options_.kept_versions);
    }
  }

  void OnHeadMoved(const Head& now) {
    if (now.mark.number <= last_head_.mark.number) {
      Fail("the version number of the head did not increase");
    }
    past_heads_.insert(now.mark);
    const ChangeId id = now.recent.front().change_id;
    if (++effects_[id] > 1 && !restored()) {
      Fail("a change took effect twice");
    }
    for (const ChangeId& it : accepted_) {
      if (!restored() &&
          std::ranges::find(now.recent, it, &CommittedChange::change_id) ==
              now.recent.end()) {
        Fail("an accepted change is missing from the new head");
      }
    }
  }

  struct SavedStore {
    Head head;
    FakeStore::Backup copy;
  };

  ConfigOptions options_;
  Random random_;
  std::vector<PlannedFault> faults_;
  FakeStore store_;
  std::vector<Node> nodes_;
  Instant now_;
  MonoTime next_tick_{Seconds(1000)};
  std::map<std::pair<MonoTime, std::uint64_t>, Action> events_;
  std::uint64_t last_event_ = 0;
  int steps_ = 0;
  MonoTime outage_until_{};
  int restores_ = 0;
  /// The store's head, decoded.
  Head head_;
  std::string head_bytes_;
  Head last_head_;
  std::vector<SavedStore> copies_;
  std::set<VersionMark> past_heads_;
  std::set<std::pair<VersionMark, std::uint64_t>> checked_;
  std::map<ChangeId, int> effects_;
  std::set<ChangeId> accepted_;
  std::map<AdminRequestId, SentRequest> sent_requests_;
  RefPtr<const Snapshot> fleet_;
};

}  // namespace cassiabend::testing
