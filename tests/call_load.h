#pragma once

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "cassiabend/base/random.h"
#include "tests/call_support.h"

namespace cassiabend::testing {

/// \brief A period of a load run in which an upstream is slower by `factor`;
/// times count from the start of the run.
struct Slowdown {
  Milliseconds from{0};
  Milliseconds to{0};
  double factor = 1.0;
};

/// \brief How one upstream of a load run behaves.
struct UpstreamBehaviour {
  Microseconds service_time{10'000};
  /// Its host refuses connections.
  bool refuses = false;
  /// It breaks the connection of each call that it gets.
  bool breaks = false;
  /// Load that its node reports instead of the actual load.
  std::optional<std::uint16_t> claimed_load;
  std::vector<Slowdown> slowdowns;
  std::string region = "north";
  std::string zone = "a";
  /// Whether the host has an upstream; callers use its node in any case.
  bool serves = true;
  std::string service = "svc";
};

/// \brief A call that each run of `route` makes and without which it fails.
struct InnerCallRule {
  std::string route;
  std::string inner_route;
};

/// \brief How a caller reacts if its call was not run.
enum class RefusedCaller : std::uint8_t {
  kGivesUp,
  /// Retries at once, up to three times.
  kRetriesAtOnce,
  /// Retries once, after the delay that the refusal states or after a third of
  /// its remaining time, whichever is shorter.
  kRetriesLater,
};

/// \brief Settings of a load run.
struct LoadOptions {
  CallOptions calls;
  Config config = MakeConfig();
  RefusedCaller refused = RefusedCaller::kGivesUp;
  /// Total time that callers wait; 0 for the timeout of the route.
  Milliseconds deadline{0};
  /// Whether each node tells all others its load once a second. In a large
  /// fleet they hear of it with answers only.
  bool tells_loads = true;
  /// Each run makes at most one call.
  std::vector<InnerCallRule> inner_calls;
  /// Total time that a run waits for its call.
  Milliseconds inner_deadline{500};
  /// Service times of routes whose calls do not take that of the upstream.
  std::map<std::string, Microseconds> service_times;
};

/// \brief Counters of a load run for one class.
struct LoadResult {
  std::uint64_t calls = 0;
  std::uint64_t answered = 0;
  /// Answered with an error, as the call of the run was not answered.
  std::uint64_t failed = 0;
  /// Answered within the latency objective of the route, counted from the first
  /// try.
  std::uint64_t timely = 0;
  std::uint64_t not_run = 0;
  /// Total time until calls that were not run were refused.
  Nanoseconds held{0};
  std::uint64_t refusals = 0;
  std::uint64_t unknown = 0;
  std::uint64_t attempts = 0;
  /// Attempts sent to another region.
  std::uint64_t far_attempts = 0;
  std::vector<Nanoseconds> latencies;

  /// \returns The latency within which `permille` of the answered calls stay.
  [[nodiscard]] Nanoseconds Percentile(std::size_t permille) const {
    std::vector<Nanoseconds> sorted = latencies;
    std::ranges::sort(sorted);
    return sorted.empty() ? Nanoseconds(0)
                          : sorted[(sorted.size() - 1) * permille / 1000];
  }
};

/// \brief Simulates call reducers under a Poisson load, in virtual time and
/// without network faults.
class LoadWorld {
 public:
  LoadWorld(const std::vector<UpstreamBehaviour>& upstreams,
            std::uint32_t slots,
            std::uint64_t seed,
            const LoadOptions& options = {})
      : random_(seed), options_(options) {
    std::vector<Member> members;
    for (std::size_t n = 0; n < upstreams.size(); ++n) {
      Member member = MakeMember(static_cast<int>(n + 1));
      member.slots = slots;
      member.service = upstreams[n].service;
      member.region = upstreams[n].region;
      member.zone = upstreams[n].zone;
      if (!upstreams[n].serves) {
        member.service.clear();
        member.slots = 0;
        member.upstream_state = UpstreamState::kNone;
      }
      members.push_back(member);
    }
    for (std::size_t n = 0; n < upstreams.size(); ++n) {
      Node node;
      node.member = members[n];
      node.behaviour = upstreams[n];
      node.reducer = std::make_unique<CallReducer>(options.calls, members[n],
                                                   random_.Next());
      index_[members[n].id] = n;
      nodes_.push_back(std::move(node));
    }
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      ReduceEvent(n, ApplyVersion{
                         RefPtr<const Snapshot>(new Snapshot(options.config))});
      ReduceEvent(n, HeadConfirmed{now_.mono});
      ReduceEvent(n, MembersChanged{members});
      ReduceEvent(n, ReadinessChanged{true, ""});
    }
  }

  /// \brief Adds a Poisson stream of calls to `route` at `rate` per second.
  void AddStream(const std::string& route, double rate, Milliseconds length) {
    AddStreamAt(route, rate, Milliseconds(0), length, 0, nodes_.size());
  }
  /// \brief Adds a stream from `from` to `to` after the start of the run, which
  /// enters at the nodes [first, last).
  void AddStreamAt(const std::string& route,
                   double rate,
                   Milliseconds from,
                   Milliseconds to,
                   std::size_t first,
                   std::size_t last) {
    const Stream stream{route, rate, kStart + to, first, last};
    After(kStart + from - now_.mono, [this, stream] { Arrive(stream); });
  }
  /// \brief Shuts one node's process down at `at` after the start of the run.
  /// The process starts again `kDownTime` after its exit. Its upstream keeps
  /// running meanwhile, and its callers use the next node that accepts calls.
  void AddRestart(std::size_t n, Milliseconds at) {
    After(kStart + at - now_.mono, [this, n] {
      nodes_[n].stops_accepting_at = now_.mono + options_.calls.shutdown_serve;
      ReduceEvent(n, DrainRequested{});
    });
  }
  void Run(Milliseconds duration) {
    const MonoTime end = now_.mono + duration;
    After(kCallTickPeriod, [this, end] { TickAll(end); });
    if (options_.tells_loads) {
      After(Milliseconds(1'000), [this, end] { ReportLoads(end); });
    }
    while (!queue_.empty() && queue_.top().due <= end) {
      Item item = queue_.top();
      queue_.pop();
      now_.wall = WallTime(
          std::chrono::floor<Milliseconds>(item.due.time_since_epoch()));
      now_.mono = item.due;
      item.act();
    }
  }

  [[nodiscard]] const std::map<std::string, LoadResult>& results() const {
    return results_;
  }
  /// \returns Number of calls that one upstream was given.
  [[nodiscard]] std::uint64_t started(std::size_t n) const {
    return nodes_[n].started;
  }

 private:
  struct Node {
    Member member;
    UpstreamBehaviour behaviour;
    std::unique_ptr<CallReducer> reducer;
    std::uint16_t load = 0;
    std::uint64_t started = 0;
    /// When it stops accepting calls because of its shutdown.
    MonoTime stops_accepting_at = MonoTime::max();
    bool down = false;
  };
  struct Connection {
    std::size_t entry = 0;
    std::size_t destination = 0;
    CallId call = 0;
    AttemptId attempt;
  };
  struct Item {
    MonoTime due;
    std::uint64_t sequence = 0;
    std::function<void()> act;
    bool operator<(const Item& other) const {
      return std::tie(due, sequence) > std::tie(other.due, other.sequence);
    }
  };

  struct Stream {
    std::string route;
    double rate = 0;
    MonoTime end;
    std::size_t first = 0;
    std::size_t last = 0;
  };
  /// \brief One request of a caller, with its retries.
  struct Request {
    std::string route;
    std::size_t entry = 0;
    MonoTime first_sent_at;
    int tries = 1;
    Milliseconds retry_after{0};
    /// The run that makes the call; zero for other callers.
    AttemptId run;
  };
  /// \brief An attempt that runs at an upstream.
  struct UpstreamRun {
    std::size_t node = 0;
    /// Its work, and its call if it makes one.
    int parts = 1;
    bool has_failed = false;
  };

  static constexpr MonoTime kStart{Seconds(100)};
  static constexpr Microseconds kHop{250};
  static constexpr Microseconds kFarHop{12'000};
  static constexpr int kMaxImmediateTries = 4;
  static constexpr int kMaxDelayedTries = 2;
  static constexpr int kRetryDelayShare = 3;
  /// Time from the exit of a process until its next start.
  static constexpr Milliseconds kDownTime{800};
  /// Time until all nodes know of a change of a member.
  static constexpr Milliseconds kMemberUpdateDelay{100};

  void After(Nanoseconds delay, std::function<void()> act) {
    queue_.push({now_.mono + delay, ++sequence_, std::move(act)});
  }
  [[nodiscard]] Nanoseconds Exponential(double mean_ns) {
    return Nanoseconds(static_cast<std::int64_t>(
        -std::log(1.0 - random_.NextDouble()) * mean_ns));
  }
  void Arrive(const Stream& stream) {
    After(Exponential(1e9 / stream.rate), [this, stream] {
      if (now_.mono >= stream.end) {
        return;
      }
      const std::size_t n =
          stream.first + random_.Below(stream.last - stream.first);
      ++results_[stream.route].calls;
      SendRequest({stream.route, n, now_.mono});
      Arrive(stream);
    });
  }
  void SendRequest(Request request) {
    while (now_.mono >= nodes_[request.entry].stops_accepting_at) {
      request.entry = (request.entry + 1) % nodes_.size();
    }
    CallMetadata metadata = MakeMetadata(request.route);
    if (options_.deadline > Milliseconds(0)) {
      metadata.deadline = std::chrono::floor<Milliseconds>(
          request.first_sent_at + options_.deadline - now_.mono);
    }
    const CallId call = ++last_call_;
    metadata.request_id = std::to_string(call);
    if (!request.run.IsZero()) {
      metadata.request_id = request_ids_.at(request.run) + ".1";
      metadata.deadline = options_.inner_deadline;
    }
    requests_[call] = request;
    ReduceEvent(request.entry, CallArrived{call, metadata});
  }
  /// \brief Schedules a retry of a call that was not run if its caller retries.
  /// \returns Whether a retry is scheduled.
  bool MaybeRetry(Request request) {
    const bool repeats = options_.refused == RefusedCaller::kRetriesAtOnce;
    const MonoTime end = request.first_sent_at + options_.deadline;
    const Nanoseconds pause =
        repeats ? Nanoseconds(Milliseconds(1))
                : std::min<Nanoseconds>(request.retry_after,
                                        (end - now_.mono) / kRetryDelayShare);
    if (options_.refused == RefusedCaller::kGivesUp || !request.run.IsZero() ||
        request.tries >= (repeats ? kMaxImmediateTries : kMaxDelayedTries) ||
        now_.mono + pause >= end) {
      return false;
    }
    ++request.tries;
    After(pause, [this, request] { SendRequest(request); });
    return true;
  }
  void TickAll(MonoTime end) {
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      ReduceEvent(n, CallTick{});
    }
    if (now_.mono < end) {
      After(kCallTickPeriod, [this, end] { TickAll(end); });
    }
  }
  void ReportLoads(MonoTime end) {
    for (const Node& from : nodes_) {
      const std::uint16_t load =
          from.behaviour.claimed_load.value_or(from.load);
      for (std::size_t n = 0; n < nodes_.size(); ++n) {
        ReduceEvent(n, MemberLoadReported{from.member.id, load});
      }
    }
    if (now_.mono < end) {
      After(Milliseconds(1'000), [this, end] { ReportLoads(end); });
    }
  }

  void ReduceEvent(std::size_t n, const CallEvent& event) {
    if (nodes_[n].down) {
      return;
    }
    std::vector<CallEffect> effects;
    nodes_[n].reducer->Reduce(now_, event, &effects);
    for (const CallEffect& it : effects) {
      std::visit([this, n](const auto& effect) { Execute(n, effect); }, it);
    }
  }
  void RestartNode(std::size_t n) {
    Node& node = nodes_[n];
    ++node.member.start_id;
    node.member.upstream_state = UpstreamState::kWarming;
    node.reducer = std::make_unique<CallReducer>(options_.calls, node.member,
                                                 random_.Next());
    node.down = false;
    node.stops_accepting_at = MonoTime::max();
    std::vector<Member> members;
    for (const Node& it : nodes_) {
      members.push_back(it.member);
    }
    ReduceEvent(
        n, ApplyVersion{RefPtr<const Snapshot>(new Snapshot(options_.config))});
    ReduceEvent(n, HeadConfirmed{now_.mono});
    ReduceEvent(n, MembersChanged{members});
    ReduceEvent(n, ReadinessChanged{true, ""});
    AnnounceMember(n);
    ReduceEvent(n, UpstreamProbed{true, 0});
    ReduceEvent(n, UpstreamProbed{true, 0});
  }
  /// \brief Sends a member's current record to all nodes.
  void AnnounceMember(std::size_t n) {
    After(kMemberUpdateDelay, [this, member = nodes_[n].member] {
      for (std::size_t to = 0; to < nodes_.size(); ++to) {
        ReduceEvent(to, MembersChanged{{member}});
      }
    });
  }
  template <typename T>
  void Execute(std::size_t /*n*/, const T& /*effect*/) {}

  void Execute(std::size_t n, const LocalUpstreamChanged& effect) {
    nodes_[n].member.upstream_state = effect.state;
    AnnounceMember(n);
  }
  void Execute(std::size_t n, const DrainFinished& /*effect*/) {
    nodes_[n].down = true;
    After(kDownTime, [this, n] { RestartNode(n); });
  }

  void Execute(std::size_t n, const SendAttempt& effect) {
    const std::size_t to = index_.at(effect.destination);
    routes_[effect.request.id] = effect.request.route;
    request_ids_[effect.request.id] = effect.request.request_id;
    if ((nodes_[to].behaviour.refuses || nodes_[to].down) && to != n) {
      After(2 * kHop, [this, n, effect] {
        ReduceEvent(n, AttemptConnectionLost{effect.call, effect.request.id,
                                             ConnectionLoss::kNeverSent});
      });
      return;
    }
    const ConnectionId id = ++last_connection_;
    connections_[id] = {n, to, effect.call, effect.request.id};
    if (IsFar(n, to)) {
      ++results_[requests_.at(effect.call).route].far_attempts;
    }
    After(HopBetween(n, to), [this, id, to, effect] {
      ReduceEvent(to, AttemptArrived{id, effect.request});
    });
  }
  [[nodiscard]] bool IsFar(std::size_t from, std::size_t to) const {
    return nodes_[from].member.region != nodes_[to].member.region;
  }
  [[nodiscard]] Microseconds HopBetween(std::size_t from,
                                        std::size_t to) const {
    return IsFar(from, to) ? kFarHop : kHop;
  }
  template <typename T>
  void Reply(ConnectionId id, T event) {
    const Connection& connection = connections_.at(id);
    After(HopBetween(connection.entry, connection.destination),
          [this, id, event] {
            const auto it = connections_.find(id);
            if (it == connections_.end()) {
              return;
            }
            T reply = event;
            reply.call = it->second.call;
            reply.attempt = it->second.attempt;
            ReduceEvent(it->second.entry, reply);
          });
  }
  void Execute(std::size_t /*n*/, const ReplyNotRun& effect) {
    Reply(effect.connection,
          AttemptNotRun{.reason = effect.reason,
                        .retry_after = effect.retry_after,
                        .reached_upstream = effect.reached_upstream,
                        .times = effect.times});
  }
  void Execute(std::size_t /*n*/, const ReplyUnknown& effect) {
    Reply(effect.connection, AttemptUnknown{});
  }
  void Execute(std::size_t n, const SendAnswer& effect) {
    const auto run = runs_.find(effect.attempt);
    const bool has_failed = run != runs_.end() && run->second.has_failed;
    Reply(effect.connection,
          AttemptAnswerStarted{
              .status = static_cast<std::uint16_t>(has_failed ? 500 : 200),
              .times = effect.times});
    Reply(effect.connection, AnswerRelayed{.complete = true});
    After(kHop, [this, n, connection = effect.connection] {
      ReduceEvent(n, AnswerSent{connection});
    });
  }
  void Execute(std::size_t n, const StartUpstream& effect) {
    Node& node = nodes_[n];
    ++node.started;
    const AttemptId id = effect.attempt;
    if (node.behaviour.breaks) {
      After(kHop,
            [this, n, id] { ReduceEvent(n, UpstreamConnectionLost{id}); });
      return;
    }
    const std::string& route = routes_.at(id);
    runs_[id] = {.node = n};
    for (const InnerCallRule& it : options_.inner_calls) {
      if (it.route == route) {
        runs_[id].parts = 2;
        ++results_[it.inner_route].calls;
        SendRequest({.route = it.inner_route,
                     .entry = n,
                     .first_sent_at = now_.mono,
                     .run = id});
      }
    }
    const auto own_time = options_.service_times.find(route);
    double mean =
        static_cast<double>(Nanoseconds(own_time == options_.service_times.end()
                                            ? node.behaviour.service_time
                                            : own_time->second)
                                .count());
    for (const Slowdown& it : node.behaviour.slowdowns) {
      const bool slow =
          now_.mono >= kStart + it.from && now_.mono < kStart + it.to;
      mean *= slow ? it.factor : 1.0;
    }
    After(Exponential(mean), [this, id] { EndPart(id); });
  }
  /// \brief Ends the run once its work and its call have ended.
  void EndPart(const AttemptId& id) {
    UpstreamRun& run = runs_.at(id);
    if (--run.parts > 0) {
      return;
    }
    const auto status = static_cast<std::uint16_t>(run.has_failed ? 500 : 200);
    ReduceEvent(run.node, UpstreamAnswerStarted{id, status});
    ReduceEvent(run.node, UpstreamAnswerCompleted{id});
  }
  void Execute(std::size_t n, const LocalLoadChanged& effect) {
    nodes_[n].load = effect.load_permille;
  }
  void Execute(std::size_t /*n*/, const AnswerNotRun& effect) {
    requests_.at(effect.call).retry_after = effect.retry_after;
  }
  void Execute(std::size_t /*n*/, const CallEnded& effect) {
    const Request request = requests_.at(effect.call);
    requests_.erase(effect.call);
    LoadResult& result = results_[request.route];
    result.attempts += effect.attempts;
    if (effect.outcome != "answered" && effect.outcome != "unknown") {
      ++result.refusals;
      result.held += effect.elapsed;
    }
    if (!request.run.IsZero()) {
      const AttemptId run = request.run;
      runs_.at(run).has_failed |= effect.outcome != "answered";
      After(Nanoseconds(0), [this, run] { EndPart(run); });
    }
    if (effect.outcome == "answered" && IsServerError(effect.status)) {
      ++result.failed;
    } else if (effect.outcome == "answered") {
      const Nanoseconds whole = now_.mono - request.first_sent_at;
      ++result.answered;
      result.timely += whole <= effect.objective ? 1 : 0;
      result.latencies.push_back(whole);
    } else if (effect.outcome != "unknown" && MaybeRetry(request)) {
      return;
    } else if (effect.outcome == "unknown") {
      ++result.unknown;
    } else {
      ++result.not_run;
    }
  }

  Random random_;
  LoadOptions options_;
  Instant now_{kStart, WallTime(Seconds(100))};
  std::priority_queue<Item> queue_;
  std::uint64_t sequence_ = 0;
  std::vector<Node> nodes_;
  std::unordered_map<NodeId, std::size_t, NodeIdHasher> index_;
  std::unordered_map<ConnectionId, Connection> connections_;
  ConnectionId last_connection_ = 0;
  CallId last_call_ = 0;
  std::unordered_map<CallId, Request> requests_;
  std::unordered_map<AttemptId, UpstreamRun, Id128Hasher> runs_;
  std::unordered_map<AttemptId, std::string, Id128Hasher> routes_;
  std::unordered_map<AttemptId, std::string, Id128Hasher> request_ids_;
  std::map<std::string, LoadResult> results_;
};

}  // namespace cassiabend::testing
