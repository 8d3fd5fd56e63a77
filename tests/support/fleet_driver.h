#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cassiabend/base/random.h"
#include "cassiabend/core/fleet_reducer.h"
#include "cassiabend/core/membership_updates.h"
#include "cassiabend/model/codec.h"
#include "tests/support/fleet_fake_store.h"
#include "tests/support/fleet_faults.h"
#include "tests/support/fleet_history.h"

namespace cassiabend::testing {

/// \brief Simulates a fleet of reducers with a fake network and a fake store in
/// virtual time, and checks the invariants on every effect.
class FleetDriver {
 public:
  struct Node {
    Member self;
    std::unique_ptr<FleetReducer> reducer;
    /// Incremented at every start and kill; events for an earlier value are
    /// dropped.
    std::uint64_t epoch = 0;
    bool up = false;
    MonoTime paused_until{};
    /// How far the host's clock is ahead of the driver's.
    Nanoseconds clock_offset{0};
    VersionNumber applied = 0;
    bool ready = false;
    std::string reason;
    std::uint64_t store_calls = 0;
    std::uint64_t bytes_sent = 0;
    /// Number of versions applied after the node left.
    std::uint64_t applied_after_leave = 0;
    bool left = false;
  };

  /// \param count Number of nodes.
  /// \param zones Names of the zones; nodes are assigned to them in turn.
  /// \param options Options of every node. If they name no seeds, the first
  ///     node of each zone becomes one.
  /// \param seed Seed of the reducers, the latencies and the faults.
  FleetDriver(std::size_t count,
              const std::vector<std::string>& zones,
              const FleetOptions& options,
              std::uint64_t seed)
      : options_(options), random_(seed), seed_(seed) {
    now_ = MonoTime(Seconds(1'000));
    nodes_.resize(count);
    for (std::size_t i = 0; i < count; ++i) {
      Member& self = nodes_[i].self;
      const std::size_t zone = i % zones.size();
      self.id = {"10." + std::to_string(zone) + ".0." + std::to_string(i + 1),
                 7000};
      self.region = "region-" + std::to_string(zone / 2);
      self.zone = zones[zone];
      self.service = "orders";
      self.slots = 12;
      nodes_[i].clock_offset = Seconds(7 * static_cast<std::int64_t>(i));
      index_by_id_[self.id] = i;
    }
    if (options_.seeds.empty()) {
      for (std::size_t i = 0; i < std::min(count, zones.size()); ++i) {
        options_.seeds.push_back(nodes_[i].self.id);
      }
    }
  }

  NetworkFaults network;
  StoreFaults store_faults;
  /// Nodes that are cut off from the nodes of other zones.
  std::set<std::size_t> nodes_without_other_zones;
  /// Pairs of zones (from, to): messages in this direction are dropped.
  std::set<std::pair<std::string, std::string>> blocked_zone_pairs;
  std::vector<std::string> violations;
  /// Whether nodes start with the seeds of the options; if not, they have to
  /// read the seeds from the store.
  bool seeds_from_settings = true;
  /// Drops pushes of versions, to measure dissemination by pulls alone.
  bool drop_pushes = false;
  /// Drops heartbeats and attach messages, to measure how confirmations travel
  /// by pings alone.
  bool drop_heartbeats = false;
  /// Called before each effect is carried out, with the node's index.
  std::function<void(std::size_t, const FleetEffect&)> on_effect;

  [[nodiscard]] MonoTime now() const noexcept { return now_; }
  [[nodiscard]] Node& node(std::size_t i) { return nodes_[i]; }
  [[nodiscard]] std::size_t size() const noexcept { return nodes_.size(); }
  [[nodiscard]] const FleetTraffic& traffic() const noexcept {
    return traffic_;
  }
  [[nodiscard]] FleetFakeStore& store() noexcept { return store_; }
  [[nodiscard]] VersionNumber head_number() const {
    return history_.newest_number();
  }
  /// \returns Whether every node that is up and has not left has the newest
  /// version.
  [[nodiscard]] bool IsConverged() const {
    for (const Node& it : nodes_) {
      if (it.up && !it.left && it.applied != head_number()) {
        return false;
      }
    }
    return true;
  }
  [[nodiscard]] std::size_t ReaderCount(const std::string& zone) const {
    std::size_t n = 0;
    for (const Node& it : nodes_) {
      n += it.up && it.self.zone == zone && it.reducer->is_reader() ? 1 : 0;
    }
    return n;
  }

  void Start(std::size_t i) {
    Node& node = nodes_[i];
    ++node.epoch;
    node.up = true;
    node.left = false;
    node.ready = false;
    node.applied = 0;
    node.paused_until = {};
    node.self.start_id = 1'000 + ++start_count_;
    FleetOptions options = options_;
    if (!seeds_from_settings) {
      options.seeds.clear();
    }
    node.reducer = std::make_unique<FleetReducer>(
        options, node.self, seed_ * 1'000'003 + start_count_);
    const Nanoseconds phase(random_.Below(100'000'000));
    ScheduleTick(i, node.epoch, now_ + phase);
  }
  void StartAll() {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      Start(i);
    }
  }
  void Kill(std::size_t i) {
    nodes_[i].up = false;
    ++nodes_[i].epoch;
  }
  /// \brief Suspends a process: events for it wait, its clock goes on.
  void Pause(std::size_t i, Nanoseconds time) {
    nodes_[i].paused_until = now_ + time;
  }
  void Leave(std::size_t i) {
    Deliver(i, nodes_[i].epoch, LeaveRequested{});
    nodes_[i].left = true;
  }
  /// \brief Drops messages between two zones.
  /// \param one_way Drops only those from `a` to `b`.
  void Cut(const std::string& a, const std::string& b, bool one_way = false) {
    blocked_zone_pairs.insert({a, b});
    if (!one_way) {
      blocked_zone_pairs.insert({b, a});
    }
  }
  /// \brief Cuts a zone off from the other zones and from the store.
  void Isolate(const std::string& zone) {
    for (const Node& it : nodes_) {
      if (it.self.zone != zone) {
        Cut(zone, it.self.zone);
      }
    }
    store_faults.zones_without_store.insert(zone);
  }
  /// \brief The store answers none of the calls until `Heal`.
  void SilenceStore() {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      store_faults.silent_for.insert(i);
    }
  }
  /// \brief Ends all faults of the network and the store.
  void Heal() {
    blocked_zone_pairs.clear();
    nodes_without_other_zones.clear();
    network = {};
    store_faults = {};
  }

  /// \brief Commits a new version to the store.
  /// \param committer Index of the node that commits it and so has it at once;
  ///     -1 if no node of the fleet does.
  void Commit(int committer = -1) {
    const ConfigDelta delta = history_.Commit(now_, random_, &store_);
    if (committer >= 0) {
      Node& node = nodes_[static_cast<std::size_t>(committer)];
      Deliver(
          static_cast<std::size_t>(committer), node.epoch,
          VersionCommitted{history_.newest(), delta, now_ + node.clock_offset});
    }
  }
  /// \brief Sets the head back to the first one, as when the store is restored
  /// from an old backup.
  void RestoreOldestHead() { history_.RestoreOldestHead(now_, &store_); }
  [[nodiscard]] bool IsRestored() const { return history_.IsRestored(); }

  /// \brief Hands an event of the host to a node.
  void Inject(std::size_t i, FleetEvent event) {
    Deliver(i, nodes_[i].epoch, std::move(event));
  }

  /// \brief Advances to the next scheduled action and runs it.
  /// \returns Whether there was one.
  bool Step() {
    if (actions_.empty()) {
      return false;
    }
    const Action action = actions_.top();
    actions_.pop();
    now_ = std::max(now_, action.at);
    action.run();
    return true;
  }
  void RunFor(Nanoseconds time) {
    const MonoTime end = now_ + time;
    while (!actions_.empty() && actions_.top().at <= end) {
      Step();
    }
    now_ = end;
  }
  /// \brief Runs until `done()` holds or `limit` has passed.
  /// \returns The virtual time that passed, at most `limit`.
  template <typename Done>
  Nanoseconds RunUntil(Done done, Nanoseconds limit) {
    const MonoTime begin = now_;
    while (!done() && now_ - begin < limit && Step()) {
    }
    return std::min<Nanoseconds>(now_ - begin, limit);
  }

 private:
  struct Action {
    MonoTime at{};
    std::uint64_t sequence = 0;
    std::function<void()> run;
    bool operator<(const Action& other) const {
      return std::tie(other.at, other.sequence) < std::tie(at, sequence);
    }
  };

  void ScheduleAt(MonoTime at, std::function<void()> run) {
    actions_.push({at, ++last_sequence_, std::move(run)});
  }

  void ScheduleTick(std::size_t i, std::uint64_t epoch, MonoTime at) {
    ScheduleAt(at, [this, i, epoch] {
      if (nodes_[i].epoch != epoch) {
        return;
      }
      const MonoTime resume = std::max(now_, nodes_[i].paused_until);
      ScheduleTick(i, epoch, resume + kFleetTickPeriod);
      Deliver(i, epoch, FleetTick{});
    });
  }

  void Deliver(std::size_t i, std::uint64_t epoch, FleetEvent event) {
    Node& node = nodes_[i];
    if (!node.up || node.epoch != epoch) {
      return;
    }
    if (now_ < node.paused_until) {
      ScheduleAt(node.paused_until, [this, i, epoch, event = std::move(event)] {
        Deliver(i, epoch, event);
      });
      return;
    }
    const Instant instant{now_ + node.clock_offset, {}};
    std::vector<FleetEffect> effects;
    node.reducer->Reduce(instant, event, &effects);
    for (const FleetEffect& it : effects) {
      if (on_effect) {
        on_effect(i, it);
      }
      if (node.epoch == epoch) {
        std::visit([&](const auto& effect) { Execute(i, effect); }, it);
      }
    }
  }

  // Effects that are checked against the invariants.

  void AddViolation(std::size_t i, const std::string& what) {
    violations.push_back(ToString(nodes_[i].self.id) + " at " +
                         std::to_string(now_.time_since_epoch().count()) +
                         " ns: " + what);
  }
  void Execute(std::size_t i, const ApplyVersion& effect) {
    Node& node = nodes_[i];
    const VersionMark mark = effect.snapshot->mark();
    if (mark.number <= node.applied) {
      AddViolation(i, "applied version " + std::to_string(mark.number) +
                          " after " + std::to_string(node.applied));
    }
    if (!history_.IsCommitted(*effect.snapshot)) {
      AddViolation(i, "applied a version that was not committed");
    }
    node.applied = mark.number;
    node.applied_after_leave += node.left ? 1 : 0;
  }
  void Execute(std::size_t i, const HeadConfirmed& effect) {
    const MonoTime at = effect.at - nodes_[i].clock_offset;
    const VersionNumber head_number_then = history_.HeadNumberAt(at);
    if (at > now_ || head_number_then > nodes_[i].applied) {
      AddViolation(
          i, "claims confirmation of " + std::to_string(nodes_[i].applied) +
                 " when the head was " + std::to_string(head_number_then));
    }
  }

  // The network.

  [[nodiscard]] Nanoseconds Latency(const Member& a, const Member& b) {
    Nanoseconds base = Microseconds(300);
    if (a.region != b.region) {
      base = Milliseconds(12);
    } else if (a.zone != b.zone) {
      base = Microseconds(1'400);
    }
    return random_.Jitter(base, 0.2);
  }
  [[nodiscard]] Nanoseconds Delay(std::size_t from, std::size_t to) {
    Nanoseconds delay = Latency(nodes_[from].self, nodes_[to].self);
    if (Chance(network.delayed_permille)) {
      delay += random_.Jitter(network.max_delay / 2, 1.0);
    }
    return delay;
  }
  [[nodiscard]] bool IsCut(std::size_t from, std::size_t to) const {
    const bool crosses = nodes_[from].self.zone != nodes_[to].self.zone;
    const bool is_isolated = nodes_without_other_zones.contains(from) ||
                             nodes_without_other_zones.contains(to);
    return (crosses && is_isolated) ||
           blocked_zone_pairs.contains(
               {nodes_[from].self.zone, nodes_[to].self.zone});
  }
  [[nodiscard]] bool Chance(std::uint32_t permille) {
    return permille != 0 && random_.Below(1'000) < permille;
  }
  void CountBytes(std::size_t from, const NodeId& to, std::uint64_t bytes) {
    nodes_[from].bytes_sent += bytes;
    const auto it = index_by_id_.find(to);
    const bool crosses = it != index_by_id_.end() &&
                         nodes_[it->second].self.zone != nodes_[from].self.zone;
    traffic_.zone_crossing_bytes += crosses ? bytes : 0;
  }

  void Execute(std::size_t i, const SendDatagram& effect) {
    const Datagram& sent = effect.datagram;
    if (drop_heartbeats && (std::holds_alternative<HeartbeatBody>(sent.body) ||
                            std::holds_alternative<AttachBody>(sent.body))) {
      return;
    }
    // 28 bytes of IP and UDP headers, and the packed message without updates.
    constexpr std::uint64_t kHeaderBytes = 28 + 84;
    std::uint64_t bytes = kHeaderBytes;
    for (const Member& it : effect.datagram.updates) {
      bytes += EncodedBytesBound(it);
    }
    if (bytes > kDatagramLimitBytes) {
      AddViolation(i,
                   "sends a datagram of " + std::to_string(bytes) + " bytes");
    }
    ++traffic_.datagrams;
    traffic_.datagram_bytes += bytes;
    CountBytes(i, effect.to, bytes);
    const auto it = index_by_id_.find(effect.to);
    if (it == index_by_id_.end() || IsCut(i, it->second) ||
        Chance(network.dropped_permille)) {
      return;
    }
    const int copies = Chance(network.duplicated_permille) ? 2 : 1;
    for (int n = 0; n < copies; ++n) {
      const std::size_t to = it->second;
      ScheduleAt(now_ + Delay(i, to), [this, to, datagram = effect.datagram] {
        Deliver(to, nodes_[to].epoch, DatagramReceived{datagram});
      });
    }
  }

  /// \brief Calls a peer; `ReplyToPeer` delivers its reply.
  /// \param make_event Makes the event that the peer receives.
  /// \param fail Event that the caller receives if no reply arrives within 2 s.
  void CallPeer(std::size_t i,
                const NodeId& to,
                std::function<FleetEvent(PeerRequestId)> make_event,
                FleetEvent fail) {
    const PeerRequestId request = ++last_request_;
    const auto it = index_by_id_.find(to);
    const std::uint64_t epoch = nodes_[i].epoch;
    pending_peer_calls_[request] = {i, epoch, to};
    ScheduleAt(now_ + Seconds(2),
               [this, request, i, epoch, fail = std::move(fail)] {
                 if (pending_peer_calls_.erase(request) != 0) {
                   Deliver(i, epoch, fail);
                 }
               });
    if (it == index_by_id_.end() || IsCut(i, it->second) ||
        Chance(network.dropped_permille)) {
      return;
    }
    const std::size_t peer = it->second;
    ScheduleAt(now_ + Delay(i, peer),
               [this, peer, request, make_event = std::move(make_event)] {
                 Deliver(peer, nodes_[peer].epoch, make_event(request));
               });
  }
  void ReplyToPeer(std::size_t i,
                   PeerRequestId request,
                   std::function<FleetEvent(const NodeId&)> make_event) {
    const auto it = pending_peer_calls_.find(request);
    if (it == pending_peer_calls_.end() || IsCut(i, it->second.from) ||
        Chance(network.dropped_permille)) {
      return;
    }
    const PeerCall call = it->second;
    ScheduleAt(now_ + Delay(i, call.from),
               [this, request, call, make_event = std::move(make_event)] {
                 if (pending_peer_calls_.erase(request) != 0) {
                   Deliver(call.from, call.epoch, make_event(call.to));
                 }
               });
  }
  [[nodiscard]] static std::uint64_t EncodedUpdateBytes(
      const ConfigUpdate& update) {
    // Counted for a peer call or reply, without its payload.
    constexpr std::uint64_t kCallBytes = 160;
    if (const auto* delta = std::get_if<DeltaPtr>(&update.body)) {
      return kCallBytes + (*delta)->packed().size();
    }
    if (const auto* full = std::get_if<RefPtr<const Snapshot>>(&update.body)) {
      return kCallBytes + (*full)->packed().size();
    }
    return kCallBytes;
  }
  void CountConfigMessage(std::size_t i,
                          const NodeId& to,
                          std::uint64_t bytes) {
    ++traffic_.config_messages;
    traffic_.config_bytes += bytes;
    CountBytes(i, to, bytes);
  }
  void Execute(std::size_t i, const SendPush& effect) {
    if (drop_pushes) {
      return;
    }
    CountConfigMessage(i, effect.to, EncodedUpdateBytes(effect.update));
    CallPeer(
        i, effect.to,
        [update = effect.update](PeerRequestId request) {
          return PushReceived{request, update};
        },
        PushReplied{effect.to, std::nullopt});
  }
  void Execute(std::size_t i, const ReplyPush& effect) {
    ReplyToPeer(i, effect.request, [mark = effect.mark](const NodeId& peer) {
      return PushReplied{peer, mark};
    });
  }
  void Execute(std::size_t i, const SendPull& effect) {
    CountConfigMessage(i, effect.to, EncodedUpdateBytes({}));
    CallPeer(
        i, effect.to,
        [have = effect.have](PeerRequestId request) {
          return PullReceived{request, have};
        },
        PullReplied{effect.to, std::nullopt});
  }
  void Execute(std::size_t i, const ReplyPull& effect) {
    const auto it = pending_peer_calls_.find(effect.request);
    if (it != pending_peer_calls_.end()) {
      CountConfigMessage(i, nodes_[it->second.from].self.id,
                         EncodedUpdateBytes(effect.update));
    }
    ReplyToPeer(i, effect.request,
                [update = effect.update](const NodeId& peer) {
                  return PullReplied{peer, update};
                });
  }
  void Execute(std::size_t i, const SendMembersRequest& effect) {
    CallPeer(
        i, effect.to,
        [](PeerRequestId request) { return MembersRequested{request}; },
        MembersReplied{effect.to, std::nullopt});
  }
  void Execute(std::size_t i, const ReplyMembers& effect) {
    const auto it = pending_peer_calls_.find(effect.request);
    if (it != pending_peer_calls_.end()) {
      std::uint64_t bytes = 160;
      for (const Member& member : effect.members) {
        bytes += EncodedBytesBound(member);
      }
      CountBytes(i, nodes_[it->second.from].self.id, bytes);
    }
    ReplyToPeer(i, effect.request,
                [members = effect.members](const NodeId& peer) {
                  return MembersReplied{peer, members};
                });
  }
  void Execute(std::size_t i, const ReadinessChanged& effect) {
    nodes_[i].ready = effect.ready;
    nodes_[i].reason = effect.reason;
  }
  void Execute(std::size_t, const MembersChanged&) {}
  void Execute(std::size_t, const HeadRefused&) {}
  void Execute(std::size_t, const HeadPartRefused&) {}
  void Execute(std::size_t, const StoreRestored&) {}
  void Execute(std::size_t, const RolloutsChanged&) {}
  void Execute(std::size_t, const RolloutDecided&) {}
  void Execute(std::size_t, const RolloutRefused&) {}
  void Execute(std::size_t, const MemberLoadReported&) {}
  void Execute(std::size_t, const UseLinksChanged&) {}
  void Execute(std::size_t, const UseReportReceived&) {}

  // The store.

  void Execute(std::size_t i, const StoreCall& call) {
    Node& node = nodes_[i];
    ++traffic_.store_calls;
    ++node.store_calls;
    const MonoTime sent_at = now_ + node.clock_offset;
    const std::uint64_t epoch = node.epoch;
    if (store_faults.down ||
        store_faults.zones_without_store.contains(node.self.zone)) {
      StoreReply reply;
      reply.sent_at = sent_at;
      ScheduleAt(now_ + Milliseconds(2), [this, i, epoch, id = call.id, reply] {
        Deliver(i, epoch, StoreReplied{id, reply});
      });
      return;
    }
    const Nanoseconds delay = Milliseconds(2) + store_faults.added_latency;
    ScheduleAt(now_ + delay, [this, i, epoch, call, sent_at] {
      ExecuteStoreCall(i, epoch, call, sent_at);
    });
  }
  void ExecuteStoreCall(std::size_t i,
                        std::uint64_t epoch,
                        const StoreCall& call,
                        MonoTime sent_at) {
    if (const auto* watch = std::get_if<StoreWatch>(&call.request)) {
      if (!store_faults.watches_hang) {
        PollStoreWatch(i, epoch, call.id, *watch, sent_at, now_ + watch->wait);
      }
      return;
    }
    StoreReply reply = store_.Execute(call.request, now_);
    reply.sent_at = sent_at;
    Nanoseconds delay = Milliseconds(2);
    if (store_faults.replies_lost || store_faults.silent_for.contains(i)) {
      reply = {.status = StoreStatus::kUnknown, .sent_at = sent_at};
      const auto* get = std::get_if<StoreGet>(&call.request);
      delay = get == nullptr || get->timeout == Milliseconds(0)
                  ? kStoreRequestTimeout
                  : get->timeout;
    }
    ScheduleAt(now_ + delay, [this, i, epoch, id = call.id, reply] {
      Deliver(i, epoch, StoreReplied{id, reply});
    });
  }
  void PollStoreWatch(std::size_t i,
                      std::uint64_t epoch,
                      StoreCallId id,
                      const StoreWatch& watch,
                      MonoTime sent_at,
                      MonoTime end) {
    if (store_faults.watches_fail && nodes_[i].epoch == epoch) {
      ScheduleAt(now_ + Milliseconds(2), [this, i, epoch, id, sent_at] {
        StoreReply failure{.status = StoreStatus::kUnavailable};
        failure.sent_at = sent_at;
        Deliver(i, epoch, StoreReplied{id, failure});
      });
      return;
    }
    StoreReply reply = store_.Execute(watch, now_);
    reply.sent_at = sent_at;
    const bool lost =
        store_faults.watches_hang || store_faults.down ||
        store_faults.silent_for.contains(i) ||
        store_faults.zones_without_store.contains(nodes_[i].self.zone);
    if (lost || nodes_[i].epoch != epoch) {
      return;
    }
    if (store_faults.watches_miss_changes) {
      reply.entry.reset();
      reply.entries.clear();
    }
    if (reply.entry || !reply.entries.empty() ||
        reply.status != StoreStatus::kOk || now_ >= end) {
      ScheduleAt(now_ + Milliseconds(2), [this, i, epoch, id, reply] {
        Deliver(i, epoch, StoreReplied{id, reply});
      });
      return;
    }
    ScheduleAt(now_ + Milliseconds(20),
               [this, i, epoch, id, watch, sent_at, end] {
                 PollStoreWatch(i, epoch, id, watch, sent_at, end);
               });
  }
  /// Time after which the store client gives up a call.
  static constexpr Milliseconds kStoreRequestTimeout{2'000};

  struct PeerCall {
    std::size_t from = 0;
    std::uint64_t epoch = 0;
    NodeId to;
  };

  FleetOptions options_;
  Random random_;
  std::uint64_t seed_;
  MonoTime now_{};
  std::uint64_t last_sequence_ = 0;
  std::uint64_t start_count_ = 0;
  std::vector<Node> nodes_;
  std::map<NodeId, std::size_t> index_by_id_;
  std::priority_queue<Action> actions_;
  std::map<PeerRequestId, PeerCall> pending_peer_calls_;
  PeerRequestId last_request_ = 0;
  FleetFakeStore store_;
  FleetHistory history_;
  FleetTraffic traffic_;
};

}  // namespace cassiabend::testing
