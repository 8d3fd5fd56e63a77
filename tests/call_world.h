#pragma once

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "cassiabend/base/random.h"
#include "tests/call_support.h"

namespace cassiabend::testing {

/// \brief Fault that is injected at one step of a run.
enum class Fault : std::uint8_t {
  kNone,
  /// The message is lost; if it was sent on a connection, this breaks.
  kLose,
  /// Nothing more arrives over the message's connection.
  kSilent,
  /// The message is delivered twice.
  kDouble,
  kLate,
  kReorder,
  kKill,
  kKillZone,
  kPause,
  kDrain,
  kDrainTwice,
  /// For 2 s, connections over which the node replies become silent.
  kCutOneWay,
  /// The upstream sheds the next attempt.
  kShed,
  /// The upstream cannot be reached for the next attempt.
  kUnreached,
  /// The upstream's connection breaks before it runs the next attempt.
  kBrokenBefore,
  /// The upstream's connection breaks after it has run the next attempt.
  kBrokenAfter,
  /// The upstream runs the next attempt, but does not answer.
  kUpstreamSilent,
  kStoreDown,
  kClockBack,
  kClockForward,
  /// The first node learns that the last one is dead.
  kForgetHome,
  /// The node suspects all others.
  kSuspectAll,
  /// All callers without a final answer disconnect.
  kCallerGone,
  /// The message is delayed by `CallWorld::kLongDelay`.
  kVeryLate,
  /// A second copy of the message arrives after `CallWorld::kLongDelay`.
  kDoubleVeryLate,
  /// A version with a quiet window in force is applied at the node.
  kNewWindow,
  /// The node's version is no longer confirmed to be the head.
  kUnconfirmed,
  /// A version with a quiet window in force is applied at all nodes.
  kNewWindowAll,
};
inline constexpr std::array<const char*, 28> kFaultNames = {"none",
                                                            "lose",
                                                            "silent",
                                                            "double",
                                                            "late",
                                                            "reorder",
                                                            "kill",
                                                            "kill_zone",
                                                            "pause",
                                                            "drain",
                                                            "drain_twice",
                                                            "cut_one_way",
                                                            "shed",
                                                            "unreached",
                                                            "broken_before",
                                                            "broken_after",
                                                            "upstream_silent",
                                                            "store_down",
                                                            "clock_back",
                                                            "clock_forward",
                                                            "forget_home",
                                                            "suspect_all",
                                                            "caller_gone",
                                                            "very_late",
                                                            "double_very_late",
                                                            "new_window",
                                                            "unconfirmed",
                                                            "new_window_all"};
static_assert(kFaultNames.size() ==
              static_cast<std::size_t>(Fault::kNewWindowAll) + 1);

/// \brief Simulates a few nodes with their network, upstreams and store in
/// virtual time. A fault can be injected at every message.
class CallWorld {
 public:
  struct CallRecord {
    std::size_t node = 0;
    std::uint64_t start = 0;
    std::string key;
    bool once = false;
    bool noisy = false;
    MonoTime deadline{};
    int final_answers = 0;
    bool answered_not_run = false;
    /// Whether the call may end without a final answer, as its caller or its
    /// entry node is gone.
    bool excused = false;
    int executions = 0;
    std::string outcome;
  };

  static constexpr Milliseconds kTimeout{4'000};

  explicit CallWorld(std::size_t nodes, std::uint64_t seed = 1)
      : random_(seed) {
    options_.order_memory = Milliseconds(60'000);
    options_.answer_hold = Milliseconds(3'000);
    options_.freshness_limit = Milliseconds(100);
    for (std::size_t n = 0; n < nodes; ++n) {
      Node node;
      node.member = MakeMember(static_cast<int>(n + 1), n % 2 ? "b" : "a");
      nodes_.push_back(std::move(node));
    }
    for (std::size_t n = 0; n < nodes; ++n) {
      StartNode(n);
    }
  }

  /// Chooses the fault of each step; unset for no faults.
  std::function<Fault(std::size_t step)> plan;

  [[nodiscard]] std::size_t steps() const noexcept { return steps_; }
  [[nodiscard]] const std::vector<std::string>& violations() const noexcept {
    return violations_;
  }
  [[nodiscard]] const std::map<CallId, CallRecord>& calls() const noexcept {
    return calls_;
  }

  /// \brief Sends a caller's request to a node.
  CallId Call(std::size_t node,
              const std::string& route,
              std::string key = "") {
    const CallId id = ++last_call_;
    CallRecord& record = calls_[id];
    record.node = node;
    record.start = nodes_[node].member.start_id;
    record.key = key;
    record.once = route != "status";
    record.noisy = route == "print";
    record.deadline = now_.mono + kTimeout;
    RestartDueNodes();
    record.excused = nodes_[node].down;
    if (now_.mono < nodes_[node].paused_until) {
      record.deadline = MonoTime::max();
    }
    CallMetadata metadata = MakeMetadata(route);
    metadata.order_key = std::move(key);
    metadata.deadline = kTimeout;
    Post(node, Milliseconds(0), [this, node, id, metadata] {
      ReduceEvent(node, CallArrived{id, metadata});
    });
    return id;
  }
  void Drain(std::size_t node) {
    RestartDueNodes();
    if (nodes_[node].down) {
      return;
    }
    nodes_[node].draining = true;
    ReduceEvent(node, DrainRequested{});
  }
  /// \brief Advances the time by `duration`, with ticks at all nodes.
  void Run(Milliseconds duration) {
    const MonoTime end = now_.mono + duration;
    while (now_.mono < end) {
      const MonoTime tick = std::min(end, now_.mono + TickStep());
      RunEvents(tick);
      SetTime(tick);
      for (std::size_t n = 0; n < nodes_.size(); ++n) {
        Tick(n);
      }
    }
  }
  /// \brief Advances the time by 30 s, in which all work must end, then checks
  /// the final invariants.
  void Finish() {
    Run(Milliseconds(30'000));
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      const CallCounts counts = nodes_[n].reducer->counts();
      Check(counts.calls == 0, "calls remain at node", n);
      Check(counts.attempts_queued == 0, "attempts are queued at node", n);
      Check(counts.attempts_held == 0, "answers are held at node", n);
      Check(counts.attempts_running == 0, "attempts run at node", n);
      Check(!nodes_[n].draining || nodes_[n].drained,
            "drain did not finish at node", n);
    }
    for (const auto& [id, it] : calls_) {
      Check(it.final_answers == 1 || it.excused,
            "not exactly one final answer to call", id);
    }
  }

 private:
  struct Connection {
    std::size_t entry = 0;
    std::uint64_t entry_start = 0;
    std::size_t destination = 0;
    std::uint64_t destination_start = 0;
    CallId call = 0;
    AttemptId attempt;
    bool open = true;
    bool silent = false;
    bool arrived = false;
    bool answering = false;
    bool end_sent = false;
    AttemptId bound;
  };
  struct Answer {
    bool begun = false;
    bool whole = false;
    Fault fault = Fault::kNone;
  };
  struct Node {
    Member member;
    std::unique_ptr<CallReducer> reducer;
    bool down = false;
    bool draining = false;
    bool drained = false;
    /// Whether a quiet window is in force at the node.
    bool quiet = false;
    /// Whether the node's version is still confirmed to be the head.
    bool confirmed = true;
    MonoTime confirmed_at{};
    MonoTime restart_at{};
    MonoTime paused_until{};
    MonoTime cut_until{};
    Milliseconds clock_offset{0};
    Fault upstream_fault = Fault::kNone;
    std::unordered_map<AttemptId, Answer, Id128Hasher> answers;
    std::deque<std::function<void()>> deferred;
  };
  struct StoredClaim {
    std::string value;
    StoreRevision revision = 0;
    MonoTime ends{};
  };
  enum class StepKind : std::uint8_t {
    kInternal,
    kToDestination,
    kToEntry,
    kUpstream,
    kStoreRequest,
    kStoreReply
  };
  struct Delivery {
    StepKind kind = StepKind::kInternal;
    std::size_t node = 0;
    std::uint64_t start = 0;
    ConnectionId connection = 0;
    std::function<void()> act;
    bool faulted = false;
  };

  static constexpr Milliseconds kHop{1};
  /// Longer than an ended attempt is remembered.
  static constexpr Milliseconds kLongDelay{9'000};
  static constexpr Milliseconds kProgressTimeout{1'200};

  // Time and delivery.

  [[nodiscard]] Milliseconds TickStep() const {
    const bool waits = std::ranges::any_of(calls_, [](const auto& it) {
      return it.second.final_answers == 0 && !it.second.excused;
    });
    return queue_.empty() && !waits ? Milliseconds(400) : kCallTickPeriod;
  }
  void SetTime(MonoTime time) {
    now_.wall += std::chrono::duration_cast<Milliseconds>(time - now_.mono);
    now_.mono = time;
  }
  void Push(Milliseconds delay, Delivery delivery) {
    queue_.emplace(now_.mono + delay, std::move(delivery));
  }
  void Post(std::size_t node, Milliseconds delay, std::function<void()> act) {
    Push(delay, {StepKind::kInternal, node, nodes_[node].member.start_id, 0,
                 std::move(act)});
  }
  void RunEvents(MonoTime end) {
    while (!queue_.empty() && queue_.begin()->first <= end) {
      SetTime(std::max(now_.mono, queue_.begin()->first));
      Delivery delivery = std::move(queue_.begin()->second);
      queue_.erase(queue_.begin());
      Deliver(std::move(delivery));
    }
  }
  void Deliver(Delivery delivery) {
    if (delivery.kind != StepKind::kInternal && !delivery.faulted) {
      const Fault fault = plan ? plan(steps_) : Fault::kNone;
      ++steps_;
      delivery.faulted = true;
      if (fault != Fault::kNone && !Apply(fault, &delivery)) {
        return;
      }
    }
    Node& node = nodes_[delivery.node];
    if (node.member.start_id != delivery.start || node.down) {
      return;
    }
    if (now_.mono < node.paused_until) {
      node.deferred.push_back(delivery.act);
      return;
    }
    delivery.act();
  }
  void Tick(std::size_t n) {
    RestartDueNodes();
    Node& node = nodes_[n];
    if (node.down || now_.mono < node.paused_until) {
      return;
    }
    while (!node.deferred.empty()) {
      const auto act = std::move(node.deferred.front());
      node.deferred.pop_front();
      act();
    }
    if (node.confirmed) {
      node.confirmed_at = now_.mono;
      ReduceEvent(n, HeadConfirmed{now_.mono});
    }
    ReduceEvent(n, CallTick{});
  }

  // Faults.

  /// \returns Whether the message is still delivered now.
  bool Apply(Fault fault, Delivery* delivery) {
    Node& node = nodes_[delivery->node];
    switch (fault) {
      case Fault::kNone:
        return true;
      case Fault::kLose:
        return Lose(*delivery);
      case Fault::kSilent:
        if (delivery->connection != 0) {
          connections_[delivery->connection].silent = true;
        }
        return delivery->connection == 0;
      case Fault::kDouble:
        Push(Milliseconds(3), *delivery);
        return true;
      case Fault::kLate:
        return Delay(*delivery, Milliseconds(1'500));
      case Fault::kVeryLate:
        return Delay(*delivery, kLongDelay);
      case Fault::kDoubleVeryLate:
        Push(kLongDelay, *delivery);
        return true;
      case Fault::kReorder:
        return Delay(*delivery, Milliseconds(7));
      case Fault::kKill:
        Kill(delivery->node);
        return false;
      case Fault::kKillZone:
        KillZone(node.member.zone);
        return false;
      case Fault::kPause:
        node.paused_until = now_.mono + kTimeout + Milliseconds(500);
        ExcuseCallsOf(delivery->node, false);
        return true;
      case Fault::kDrainTwice:
        Drain(delivery->node);
        [[fallthrough]];
      case Fault::kDrain:
        Drain(delivery->node);
        return true;
      case Fault::kCutOneWay:
        node.cut_until = now_.mono + Milliseconds(2'000);
        return true;
      case Fault::kShed:
      case Fault::kUnreached:
      case Fault::kBrokenBefore:
      case Fault::kBrokenAfter:
      case Fault::kUpstreamSilent:
        node.upstream_fault = fault;
        return true;
      case Fault::kStoreDown:
        store_down_until_ = now_.mono + Milliseconds(1'000);
        return true;
      case Fault::kClockBack:
        node.clock_offset = -options_.clock_error;
        return true;
      case Fault::kClockForward:
        node.clock_offset = options_.clock_error;
        return true;
      case Fault::kForgetHome:
        AnnounceStatus(0, nodes_.size() - 1, MemberStatus::kDead);
        return true;
      case Fault::kSuspectAll:
        for (std::size_t n = 0; n < nodes_.size(); ++n) {
          AnnounceStatus(delivery->node, n, MemberStatus::kSuspect);
        }
        return true;
      case Fault::kNewWindow:
        AddWindow(delivery->node);
        return true;
      case Fault::kNewWindowAll:
        for (std::size_t n = 0; n < nodes_.size(); ++n) {
          AddWindow(n);
        }
        return true;
      case Fault::kUnconfirmed:
        node.confirmed = false;
        return true;
      case Fault::kCallerGone:
        for (auto& [id, it] : calls_) {
          if (it.final_answers == 0) {
            it.excused = true;
            ReduceEvent(it.node, CallerDisconnected{id});
          }
        }
        return true;
    }
    return true;
  }
  /// \brief Applies a version with a quiet window from now on.
  void AddWindow(std::size_t n) {
    Config config = MakeConfig(2);
    std::get<OnceSchedule>(config.windows[0].schedule).begin =
        WallTime(Seconds(0));
    nodes_[n].quiet = !nodes_[n].down;
    ReduceEvent(n, ApplyVersion{RefPtr<const Snapshot>(new Snapshot(config))});
  }
  bool Lose(const Delivery& delivery) {
    if (delivery.connection != 0) {
      BreakConnection(delivery.connection, ConnectionLoss::kBroken);
      return false;
    }
    // A store request is lost before it takes effect, a store reply after the
    // request did. Events of the upstream are not lost.
    return delivery.kind == StepKind::kUpstream;
  }
  bool Delay(Delivery delivery, Milliseconds by) {
    Push(by, std::move(delivery));
    return false;
  }
  void AnnounceStatus(std::size_t to, std::size_t about, MemberStatus status) {
    Member member = nodes_[about].member;
    member.status = status;
    if (to != about) {
      ReduceEvent(to, MembersChanged{{member}});
    }
  }
  void KillZone(const std::string& zone) {
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      if (nodes_[n].member.zone == zone) {
        Kill(n);
      }
    }
  }
  void Kill(std::size_t n) {
    Node& node = nodes_[n];
    ExcuseCallsOf(n, true);
    node.member.start_id += 1;
    node.down = true;
    node.draining = false;
    node.deferred.clear();
    node.answers.clear();
    for (auto& [id, connection] : connections_) {
      if (connection.destination == n || connection.entry == n) {
        BreakConnection(id, ConnectionLoss::kBroken);
      }
    }
    node.restart_at = now_.mono + Milliseconds(30);
  }
  void StartNode(std::size_t n) {
    Node& node = nodes_[n];
    node.down = false;
    node.draining = false;
    node.drained = false;
    node.quiet = false;
    node.confirmed = true;
    node.confirmed_at = now_.mono;
    node.upstream_fault = Fault::kNone;
    node.reducer =
        std::make_unique<CallReducer>(options_, node.member, random_.Next());
    ReduceEvent(n, ApplyVersion{MakeSnapshot()});
    ReduceEvent(n, HeadConfirmed{now_.mono});
    std::vector<Member> members;
    for (std::size_t m = 0; m < nodes_.size(); ++m) {
      members.push_back(nodes_[m].member);
      if (m != n && nodes_[m].reducer && !nodes_[m].down) {
        ReduceEvent(m, MembersChanged{{node.member}});
      }
    }
    ReduceEvent(n, MembersChanged{members});
    ReduceEvent(n, ReadinessChanged{true, ""});
  }
  void RestartDueNodes() {
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      if (nodes_[n].down && now_.mono >= nodes_[n].restart_at) {
        StartNode(n);
      }
    }
  }
  /// \param gone Whether the calls were lost with their node; else they are
  /// only late.
  void ExcuseCallsOf(std::size_t n, bool gone) {
    for (auto& [id, it] : calls_) {
      if (it.node != n || it.start != nodes_[n].member.start_id) {
        continue;
      }
      it.excused = it.excused || gone;
      it.deadline = MonoTime::max();
    }
  }

  // Events and their effects.

  void ReduceEvent(std::size_t n, const CallEvent& event) {
    RestartDueNodes();
    Node& node = nodes_[n];
    if (node.down) {
      return;
    }
    Instant now = now_;
    now.wall += node.clock_offset;
    std::vector<CallEffect> effects;
    node.reducer->Reduce(now, event, &effects);
    for (const CallEffect& it : effects) {
      std::visit([this, n](const auto& effect) { Execute(n, effect); }, it);
    }
  }
  template <typename T>
  void Execute(std::size_t /*n*/, const T& /*effect*/) {}

  void Execute(std::size_t n, const SendAttempt& effect) {
    CloseConnections(n, effect.call, effect.request.id);
    const ConnectionId id = ++last_connection_;
    Connection& connection = connections_[id];
    connection.entry = n;
    connection.entry_start = nodes_[n].member.start_id;
    connection.destination = IndexOf(effect.destination);
    connection.destination_start =
        nodes_[connection.destination].member.start_id;
    connection.call = effect.call;
    connection.attempt = effect.request.id;
    attempt_calls_[effect.request.id] = effect.call;
    if (nodes_[connection.destination].down) {
      Post(n, kHop,
           [this, id] { LoseConnection(id, ConnectionLoss::kNeverSent); });
      return;
    }
    const std::size_t to = connection.destination;
    Push(kHop, {StepKind::kToDestination, to, connection.destination_start, id,
                [this, id, to, effect] { Arrive(id, to, effect); }});
    Post(n, kProgressTimeout, [this, id] {
      if (!connections_[id].answering) {
        LoseConnection(id, ConnectionLoss::kTimedOut);
      }
    });
  }
  void Arrive(ConnectionId id, std::size_t to, const SendAttempt& effect) {
    Connection& connection = connections_[id];
    if (connection.silent) {
      return;
    }
    connection.arrived = true;
    const AttemptRequest& request = effect.request;
    switch (effect.verb) {
      case AttemptVerb::kRun:
        ReduceEvent(to, AttemptArrived{id, request});
        break;
      case AttemptVerb::kFetch:
        ReduceEvent(to,
                    FetchArrived{id, request.id, request.destination_start_id});
        break;
      case AttemptVerb::kCancel:
        ReduceEvent(
            to, CancelArrived{id, request.id, request.destination_start_id});
        break;
      case AttemptVerb::kOffer:
        ReduceEvent(to, BodyOffered{id, request});
        break;
    }
    if (!connections_[id].open) {
      ReduceEvent(to, ConnectionLost{id});
    }
  }
  void Execute(std::size_t n, const DropAttempt& effect) {
    CloseConnections(n, effect.call, effect.attempt);
  }
  void CloseConnections(std::size_t n, CallId call, const AttemptId& attempt) {
    for (auto& [id, connection] : connections_) {
      if (connection.open && connection.entry == n && connection.call == call &&
          connection.attempt == attempt) {
        CloseConnection(id);
      }
    }
  }
  void CloseConnection(ConnectionId id) {
    Connection& connection = connections_[id];
    connection.open = false;
    if (!connection.arrived || connection.silent) {
      return;
    }
    Push(kHop, {StepKind::kInternal, connection.destination,
                connection.destination_start, 0, [this, id] {
                  ReduceEvent(connections_[id].destination, ConnectionLost{id});
                }});
  }
  /// \brief Both ends see the loss of the connection.
  void BreakConnection(ConnectionId id, ConnectionLoss loss) {
    const Connection& connection = connections_[id];
    if (!connection.open) {
      return;
    }
    Push(kHop, {StepKind::kInternal, connection.entry, connection.entry_start,
                0, [this, id, loss] { LoseConnection(id, loss); }});
  }
  /// \brief The entry node sees the loss of the connection.
  void LoseConnection(ConnectionId id, ConnectionLoss loss) {
    if (!connections_[id].open) {
      return;
    }
    CloseConnection(id);
    const Connection connection = connections_[id];
    if (connection.answering) {
      ReduceEvent(connection.entry,
                  AnswerRelayed{connection.call, connection.attempt, false});
      return;
    }
    ReduceEvent(
        connection.entry,
        AttemptConnectionLost{connection.call, connection.attempt, loss});
  }

  /// \brief Sends a message back over a connection; `act` runs at the entry
  /// node.
  void Reply(ConnectionId id, std::function<void()> act) {
    const Connection& connection = connections_[id];
    if (now_.mono < nodes_[connection.destination].cut_until) {
      connections_[id].silent = true;
      return;
    }
    Push(kHop, {StepKind::kToEntry, connection.entry, connection.entry_start,
                id, [this, id, act = std::move(act)] {
                  if (connections_[id].open && !connections_[id].silent) {
                    act();
                  }
                }});
  }
  void Execute(std::size_t /*n*/, const ReplyNotRun& effect) {
    Reply(effect.connection, [this, effect] {
      const Connection connection = connections_[effect.connection];
      connections_[effect.connection].open = false;
      Check(connection.attempt == effect.attempt,
            "reply to another attempt, connection", effect.connection);
      ReduceEvent(connection.entry,
                  AttemptNotRun{connection.call, connection.attempt,
                                effect.reason, effect.retry_after});
    });
  }
  void Execute(std::size_t /*n*/, const ReplyStillRunning& effect) {
    Reply(effect.connection, [this, effect] {
      const Connection connection = connections_[effect.connection];
      connections_[effect.connection].open = false;
      ReduceEvent(connection.entry,
                  AttemptStillRunning{connection.call, connection.attempt});
    });
  }
  void Execute(std::size_t /*n*/, const ReplyUnknown& effect) {
    Reply(effect.connection, [this, effect] {
      const Connection connection = connections_[effect.connection];
      if (connection.answering) {
        LoseConnection(effect.connection, ConnectionLoss::kBroken);
        return;
      }
      connections_[effect.connection].open = false;
      ReduceEvent(connection.entry,
                  AttemptUnknown{connection.call, connection.attempt});
    });
  }
  void Execute(std::size_t n, const SendAnswer& effect) {
    Check(nodes_[n].answers[effect.attempt].begun,
          "answer sent before it began, connection", effect.connection);
    connections_[effect.connection].bound = effect.attempt;
    Reply(effect.connection, [this, effect] {
      Connection& connection = connections_[effect.connection];
      connection.answering = true;
      Post(connection.entry, kProgressTimeout, [this, effect] {
        LoseConnection(effect.connection, ConnectionLoss::kTimedOut);
      });
      ReduceEvent(
          connection.entry,
          AttemptAnswerStarted{connection.call, connection.attempt, 200});
    });
    SendAnswerEnds(n, effect.attempt);
  }
  void SendAnswerEnds(std::size_t n, const AttemptId& attempt) {
    if (!nodes_[n].answers[attempt].whole) {
      return;
    }
    for (auto& [id, connection] : connections_) {
      if (connection.destination != n || connection.bound != attempt ||
          connection.end_sent) {
        continue;
      }
      connection.end_sent = true;
      const ConnectionId connection_id = id;
      Push(kHop, {StepKind::kInternal, n, connection.destination_start, 0,
                  [this, n, connection_id] {
                    ReduceEvent(n, AnswerSent{connection_id});
                  }});
      Reply(id, [this, connection_id] { FinishRelay(connection_id); });
    }
  }
  void FinishRelay(ConnectionId id) {
    const Connection connection = connections_[id];
    if (!connection.answering) {
      // The end of an answer must not overtake its beginning.
      Post(connection.entry, Milliseconds(5), [this, id] {
        if (connections_[id].open && !connections_[id].silent) {
          FinishRelay(id);
        }
      });
      return;
    }
    connections_[id].open = false;
    ReduceEvent(connection.entry,
                AnswerRelayed{connection.call, connection.attempt, true});
  }

  // The upstream.

  void Execute(std::size_t n, const StartUpstream& effect) {
    Node& node = nodes_[n];
    Check(!node.draining, "attempt started after the drain at node", n);
    CallRecord& call = calls_[attempt_calls_[effect.attempt]];
    Check(!call.noisy || !node.quiet,
          "noisy attempt started in a quiet window at node", n);
    Check(!call.noisy ||
              now_.mono - node.confirmed_at <= options_.freshness_limit,
          "noisy attempt started without fresh confirmation at node", n);
    const Fault fault = node.upstream_fault;
    node.upstream_fault = Fault::kNone;
    const bool executes = fault != Fault::kShed && fault != Fault::kUnreached &&
                          fault != Fault::kBrokenBefore;
    if (executes) {
      CountExecution(&call);
    }
    node.answers[effect.attempt].fault = fault;
    const AttemptId id = effect.attempt;
    if (fault == Fault::kShed) {
      PushUpstream(n, id, Milliseconds(1), UpstreamShed{id, Milliseconds(50)});
    } else if (fault == Fault::kUnreached) {
      PushUpstream(n, id, Milliseconds(1), UpstreamUnreachable{id});
    } else if (fault == Fault::kUpstreamSilent) {
      PushUpstream(n, id, Milliseconds(2'000), UpstreamConnectionLost{id});
    } else if (fault == Fault::kNone) {
      PushUpstream(n, id, Milliseconds(5), UpstreamAnswerStarted{id, 200});
      PushUpstream(n, id, Milliseconds(8), UpstreamAnswerCompleted{id});
    } else {
      PushUpstream(n, id, Milliseconds(3), UpstreamConnectionLost{id});
    }
  }
  void CountExecution(CallRecord* call) {
    ++call->executions;
    Check(!call->answered_not_run, "attempt ran after a not-run answer, node",
          call->node);
    Check(!call->once || call->executions <= 1,
          "call that may run once ran twice, node", call->node);
    if (call->once && !call->key.empty()) {
      const int n = ++executions_by_key_[call->key];
      Check(n <= 1, "order ran twice, node", call->node);
    }
  }
  template <typename T>
  void PushUpstream(std::size_t n,
                    const AttemptId& id,
                    Milliseconds delay,
                    T event) {
    Push(delay,
         {StepKind::kUpstream, n, nodes_[n].member.start_id, 0,
          [this, n, id, event] {
            Node& node = nodes_[n];
            const auto it = node.answers.find(id);
            if (it == node.answers.end()) {
              return;
            }
            it->second.begun = it->second.begun ||
                               std::is_same_v<T, UpstreamAnswerStarted> ||
                               std::is_same_v<T, UpstreamAnswerCompleted>;
            it->second.whole =
                it->second.whole || std::is_same_v<T, UpstreamAnswerCompleted>;
            ReduceEvent(n, event);
            if (nodes_[n].answers.contains(id)) {
              SendAnswerEnds(n, id);
            }
          }});
  }
  void Execute(std::size_t n, const CancelUpstream& effect) {
    nodes_[n].answers.erase(effect.attempt);
  }

  // The callers.

  void Execute(std::size_t /*n*/, const AnswerNotRun& effect) {
    CallRecord& call = calls_[effect.call];
    call.answered_not_run = true;
    Check(call.executions == 0, "not-run answer though it ran, call",
          effect.call);
    End(effect.call, &call);
  }
  void Execute(std::size_t /*n*/, const AnswerUnknown& effect) {
    End(effect.call, &calls_[effect.call]);
  }
  void Execute(std::size_t n, const RelayAnswer& effect) {
    for (const auto& [id, connection] : connections_) {
      if (!connection.open || connection.entry != n ||
          connection.call != effect.call ||
          connection.attempt != effect.attempt) {
        continue;
      }
      const CallId source = attempt_calls_[connection.bound];
      const CallRecord& mine = calls_[effect.call];
      const bool same_order =
          !mine.key.empty() && calls_[source].key == mine.key;
      Check(source == effect.call || same_order, "answer of another call",
            effect.call);
      Check(calls_[source].executions > 0, "answer without run", effect.call);
    }
    End(effect.call, &calls_[effect.call]);
  }
  void End(CallId id, CallRecord* call) {
    ++call->final_answers;
    Check(call->final_answers == 1, "two final answers to call", id);
    Check(call->deadline == MonoTime::max() ||
              now_.mono <= call->deadline + 2 * kCallTickPeriod,
          "late final answer to call", id);
  }
  void Execute(std::size_t /*n*/, const CallEnded& effect) {
    calls_[effect.call].outcome = effect.outcome;
  }
  void Execute(std::size_t n, const DrainFinished& /*effect*/) {
    nodes_[n].drained = true;
  }
  void Execute(std::size_t n, const LocalUpstreamChanged& effect) {
    nodes_[n].member.upstream_state = effect.state;
    ++nodes_[n].member.revision;
    for (std::size_t m = 0; m < nodes_.size(); ++m) {
      if (m != n) {
        const Member member = nodes_[n].member;
        Post(m, Milliseconds(100),
             [this, m, member] { ReduceEvent(m, MembersChanged{{member}}); });
      }
    }
  }

  // The store.

  void Execute(std::size_t n, const StoreCall& effect) {
    const MonoTime sent = now_.mono;
    Push(kHop, {StepKind::kStoreRequest, n, nodes_[n].member.start_id, 0,
                [this, n, effect, sent] {
                  StoreReply reply = Store(effect.request);
                  reply.sent_at = sent;
                  Push(kHop,
                       {StepKind::kStoreReply, n, nodes_[n].member.start_id, 0,
                        [this, n, effect, reply] {
                          ReduceEvent(n, StoreReplied{effect.id, reply});
                        }});
                }});
    Post(n, Milliseconds(300), [this, n, effect] {
      StoreReply reply;
      reply.status = StoreStatus::kUnknown;
      ReduceEvent(n, StoreReplied{effect.id, reply});
    });
  }
  StoreReply Store(const StoreRequest& request) {
    StoreReply reply;
    if (now_.mono < store_down_until_) {
      reply.status = StoreStatus::kUnavailable;
      return reply;
    }
    std::erase_if(
        store_, [this](const auto& it) { return now_.mono >= it.second.ends; });
    reply.status = StoreStatus::kOk;
    if (const auto* grant = std::get_if<StoreLeaseGrant>(&request)) {
      reply.lease = ++last_lease_;
      leases_[reply.lease] = now_.mono + grant->ttl;
    } else if (const auto* get = std::get_if<StoreGet>(&request)) {
      reply.entry = EntryOf(get->key);
    } else if (const auto* swap = std::get_if<StoreCompareAndSwap>(&request)) {
      Swap(*swap, &reply);
    } else if (const auto* gone =
                   std::get_if<StoreCompareAndDelete>(&request)) {
      const auto entry = EntryOf(gone->key);
      const bool same = entry && entry->revision == gone->expected;
      reply.status = same ? StoreStatus::kOk : StoreStatus::kConflict;
      reply.entry = same ? std::nullopt : entry;
      if (same) {
        store_.erase(gone->key);
      }
    }
    reply.store_revision = store_revision_;
    return reply;
  }
  void Swap(const StoreCompareAndSwap& swap, StoreReply* reply) {
    const auto entry = EntryOf(swap.key);
    if ((entry ? entry->revision : 0) != swap.expected) {
      reply->status = StoreStatus::kConflict;
      reply->entry = entry;
      return;
    }
    store_[swap.key] = {swap.value, ++store_revision_, leases_[swap.lease]};
  }
  [[nodiscard]] std::optional<StoreEntry> EntryOf(const std::string& key) {
    const auto it = store_.find(key);
    if (it == store_.end()) {
      return std::nullopt;
    }
    return StoreEntry{key, it->second.value, it->second.revision};
  }

  // Checks.

  void Check(bool held, const char* what, std::uint64_t which) {
    if (!held) {
      violations_.push_back(std::string(what) + " " + std::to_string(which));
    }
  }
  [[nodiscard]] std::size_t IndexOf(const NodeId& id) const {
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      if (nodes_[n].member.id == id) {
        return n;
      }
    }
    return 0;
  }

  CallOptions options_;
  Random random_;
  Instant now_{MonoTime(Seconds(100)), WallTime(Seconds(100))};
  std::multimap<MonoTime, Delivery> queue_;
  std::size_t steps_ = 0;
  std::vector<std::string> violations_;
  std::vector<Node> nodes_;
  std::map<ConnectionId, Connection> connections_;
  ConnectionId last_connection_ = 0;
  CallId last_call_ = 0;
  std::map<CallId, CallRecord> calls_;
  std::unordered_map<AttemptId, CallId, Id128Hasher> attempt_calls_;
  std::map<std::string, int> executions_by_key_;
  std::map<std::string, StoredClaim> store_;
  StoreRevision store_revision_ = 0;
  LeaseId last_lease_ = 0;
  std::map<LeaseId, MonoTime> leases_;
  MonoTime store_down_until_{};
};

}  // namespace cassiabend::testing
