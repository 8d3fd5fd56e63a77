#include "tools/soak_fleet.h"

#include <algorithm>
#include <array>
#include <boost/json/value.hpp>
#include <csignal>
#include <stdexcept>
#include <utility>

namespace cassiabend::soak {
namespace {

constexpr std::chrono::seconds kStartTimeout{60};
constexpr char kStoreIp[] = "127.0.0.1";
constexpr char kTeam[] = "soak";
constexpr char kSlowService[] = "slow";
constexpr char kOrderService[] = "orders";
constexpr char kFileService[] = "files";
constexpr std::uint32_t kSlots = 3;
constexpr std::uint64_t kRouteChangeIdHigh = 0x50AB;
constexpr std::chrono::milliseconds kExitTimeout{5'000};

harness::Deployment MakeDeployment() {
  return {.name = "soak",
          .team = kTeam,
          .regions = {"north", "south", "west"},
          .services = {kSlowService, kOrderService, kFileService},
          .slots = kSlots,
          .settings = {}};
}

/// \returns The settings of deploy/node.json without those of the platform.
boost::json::object MakeSettings() {
  return {{"node", {{"shutdown_timeout_ms", 5'300}}},
          {"store", {{"max_connections", 2}}},
          {"fleet",
           {{"readers_per_zone", 1},
            {"beat_period_ms", 300},
            {"probe_period_ms", 500},
            {"suspicion_timeout_ms", 2'500},
            {"forget_after_ms", 60'000}}},
          {"calls",
           {{"max_attempts", 4},
            {"caller_margin_ms", 25},
            {"place_by_time", 1},
            {"order_by_objective", 1},
            {"region_kilobyte_us", 5'000},
            {"beyond_kilobyte_us", 18'000},
            {"retry_errors", 1},
            {"shutdown_accept_ms", 1'000},
            {"shutdown_serve_ms", 2'300},
            {"slow_start_ms", 2'000}}},
          {"http",
           {{"idle_connections", 16},
            {"prepared_connections", 0},
            {"idle_timeout_ms", 8'000},
            {"whole_answer_bytes", 600'000},
            {"held_answer_bytes", 700'000},
            {"progress_timeout_ms", 1'500}}}};
}

/// \returns The control request that sets the latency of a service's upstreams.
std::string LatencyOf(const std::string& service) {
  if (service == kSlowService) {
    return R"({"latency_us":800000,"jitter_us":1000000})";
  }
  return R"({"latency_us":10000,"jitter_us":60000})";
}

Change MakeRoutes() {
  struct Entry {
    const char* name;
    const char* method;
    const char* path;
    const char* service;
    RepeatPolicy repeat;
    Milliseconds timeout;
    Milliseconds objective;
  };
  constexpr Entry kEntries[] = {
      {"short", "PUT", "/echo", kOrderService, RepeatPolicy::kRepeatable,
       Milliseconds(2'000), Milliseconds(500)},
      {"slow", "GET", "/echo", kSlowService, RepeatPolicy::kRepeatable,
       Milliseconds(10'000), Milliseconds(2'500)},
      {"files", "GET", "/bytes", kFileService, RepeatPolicy::kRepeatable,
       Milliseconds(10'000), Milliseconds(1'200)},
      {"orders", "POST", "/echo", kOrderService, RepeatPolicy::kOnce,
       Milliseconds(5'000), Milliseconds(1'500)},
  };
  Change change{.id = {kRouteChangeIdHigh, 1}, .author = {}, .edits = {}};
  for (const char* it : {kSlowService, kOrderService, kFileService}) {
    change.edits.push_back({Service{.name = it, .team = kTeam}, {}});
  }
  for (const Entry& it : kEntries) {
    Route route;
    route.name = it.name;
    route.team = kTeam;
    route.method = it.method;
    route.path_prefix = it.path;
    route.service = it.service;
    route.request_class = it.name;
    route.repeat = it.repeat;
    route.timeout = it.timeout;
    route.latency_objective = it.objective;
    change.edits.push_back({std::move(route), {}});
  }
  return change;
}

}  // namespace

SoakFleet::SoakFleet(const SoakFleetOptions& options, const RunClock& clock)
    : clock_(clock),
      proxies_(clock),
      fleet_(MakeFleetOptions(options)),
      current_process_(options.hosts),
      pending_drain_checks_(options.hosts),
      paused_nodes_(options.hosts),
      paused_upstreams_(options.hosts) {}

SoakFleet::~SoakFleet() = default;

harness::FleetOptions SoakFleet::MakeFleetOptions(
    const SoakFleetOptions& options) {
  harness::FleetOptions out;
  out.deployment = MakeDeployment();
  out.hosts = options.hosts;
  out.bin = options.bin;
  out.node_program = options.node_program;
  out.work = options.work;
  out.settings = MakeSettings();
  if (options.link_kilobits > 0) {
    out.settings.at("http").as_object()["link_kilobits"] =
        options.link_kilobits;
  }
  out.logs_node_output = true;
  out.edit_settings = [this](std::size_t host, boost::json::object* settings) {
    auto& node = settings->at("node").as_object();
    node["announced_call_port"] = node_proxies_.at(host).port;
    auto& upstream = settings->at("upstream").as_object();
    upstream["port"] = upstream_proxies_.at(host).port;
    settings->at("store").as_object()["endpoints"] = boost::json::array{
        store_proxy_.ip + ":" + std::to_string(store_proxy_.port)};
  };
  return out;
}

void SoakFleet::Start() {
  fleet_.StartStore();
  for (std::size_t i = 0; i < fleet_.hosts().size(); ++i) {
    fleet_.StartUpstream(i);
    fleet_.ControlUpstream(i, LatencyOf(fleet_.hosts().at(i).service));
  }
  AddProxies();
  for (std::size_t i = 0; i < fleet_.hosts().size(); ++i) {
    StartNode(i);
  }
  const std::size_t n = fleet_.hosts().size();
  if (!fleet_.WaitMembers(n, kStartTimeout)) {
    throw std::runtime_error("not all members were alive in time");
  }
  const CommitResult result = fleet_.Admin(0)->Commit(MakeRoutes(), false);
  if (result.code != CommitCode::kOk) {
    throw std::runtime_error("the first change was not accepted: " +
                             result.path + " " + result.reason);
  }
  if (!fleet_.WaitVersion(result.mark.number, kStartTimeout) ||
      !fleet_.WaitReady(kStartTimeout) ||
      !fleet_.WaitServing(n, kStartTimeout)) {
    throw std::runtime_error("the fleet was not ready in time");
  }
  monitor_.emplace(fleet_, clock_, kTeam, kOrderService);
}

void SoakFleet::AddProxies() {
  for (const harness::HostSpec& it : fleet_.hosts()) {
    const Address any{it.ip, 0};
    node_proxies_.push_back({it.ip, proxies_.Add(any, {it.ip, it.call_port})});
    upstream_proxies_.push_back(
        {it.ip, proxies_.Add(any, {it.ip, it.upstream_port})});
  }
  store_proxy_ = {kStoreIp,
                  proxies_.Add({kStoreIp, 0}, {kStoreIp, fleet_.store_port()})};
}

std::vector<Address> SoakFleet::EntryAddresses() const {
  std::vector<Address> out;
  for (const harness::HostSpec& it : fleet_.hosts()) {
    out.push_back({it.ip, it.call_port});
  }
  return out;
}

void SoakFleet::StartNode(std::size_t host) {
  current_process_.at(host) = node_processes_.size();
  node_processes_.push_back({.host = host, .started = clock_.Now()});
  fleet_.StartNode(host);
}

bool SoakFleet::IsDown(std::size_t host) const {
  const NodeProcess& process = node_processes_.at(current_process_.at(host));
  return process.stop_requested.has_value() || process.ended.has_value();
}

bool SoakFleet::IsSettled() const {
  for (std::size_t host = 0; host < current_process_.size(); ++host) {
    if (IsDown(host)) {
      return false;
    }
  }
  return true;
}

void SoakFleet::ScheduleUndo(Milliseconds length, std::function<void()> run) {
  undos_.push_back({clock_.Now() + length, std::move(run)});
}

void SoakFleet::Tick() {
  const RunTime now = clock_.Now();
  std::vector<Undo> due;
  std::erase_if(undos_, [&due, now](Undo& it) {
    if (it.due > now) {
      return false;
    }
    due.push_back(std::move(it));
    return true;
  });
  for (const Undo& it : due) {
    it.run();
  }
  for (std::size_t host = 0; host < current_process_.size(); ++host) {
    BeginDrainCheck(host);
    RestartIfExited(host);
  }
}

void SoakFleet::EndActions() {
  const std::vector<Undo> undos = std::exchange(undos_, {});
  for (const Undo& it : undos) {
    it.run();
  }
}

/// \brief Restarts a node that exited after a stop.
void SoakFleet::RestartIfExited(std::size_t host) {
  NodeProcess& process = node_processes_.at(current_process_.at(host));
  if (process.ended || fleet_.node(host)->IsRunning()) {
    return;
  }
  FinishDrainCheck(host);
  process.ended = clock_.Now();
  if (!process.stop_requested) {
    throw std::runtime_error("the node of host " + std::to_string(host) +
                             " exited without being told to");
  }
  StartNode(host);
}

std::uint64_t SoakFleet::CountExecutions(std::size_t host) const {
  return fleet_.Executions(host).at("total").to_number<std::uint64_t>();
}

void SoakFleet::BeginDrainCheck(std::size_t host) {
  std::optional<PendingDrainCheck>& pending = pending_drain_checks_.at(host);
  if (!pending || pending->check || clock_.Now() < pending->due) {
    return;
  }
  if (paused_upstreams_.at(host)) {
    pending.reset();
    return;
  }
  DrainCheck check{.host = host};
  check.runs_at_limit = CountExecutions(host);
  check.at = clock_.Now();
  pending->check = check;
}

void SoakFleet::FinishDrainCheck(std::size_t host) {
  const std::optional<PendingDrainCheck> pending =
      std::exchange(pending_drain_checks_.at(host), {});
  if (!pending || !pending->check || paused_upstreams_.at(host)) {
    return;
  }
  DrainCheck check = *pending->check;
  check.runs_at_exit = CountExecutions(host);
  drain_checks_.push_back(check);
}

void SoakFleet::AddExecutions(std::size_t host, History* history) const {
  const boost::json::value executions = fleet_.Executions(host);
  for (const auto& it : executions.at("by_tag").as_object()) {
    history->runs_by_id[it.key()] += it.value().to_number<std::uint64_t>();
  }
  for (const auto& it : executions.at("by_key").as_object()) {
    history->runs_by_key[it.key()] += it.value().to_number<std::uint64_t>();
  }
}

void SoakFleet::AddObservations(History* history) {
  history->runs_by_id = restarted_upstreams_.runs_by_id;
  history->runs_by_key = restarted_upstreams_.runs_by_key;
  for (std::size_t host = 0; host < current_process_.size(); ++host) {
    if (!paused_upstreams_.at(host)) {
      AddExecutions(host, history);
    }
  }
  history->node_processes = node_processes_;
  history->node_outages = node_outages_;
  history->stalls = proxies_.Stalls();
  history->drain_checks = drain_checks_;
  history->versions = monitor_->Versions();
  history->commits = monitor_->Commits();
}

const Address& SoakFleet::ProxyOf(ProxyTarget proxy_target,
                                  std::size_t host) const {
  switch (proxy_target) {
    case ProxyTarget::kUpstream:
      return upstream_proxies_.at(host);
    case ProxyTarget::kStore:
      return store_proxy_;
    case ProxyTarget::kNode:
      break;
  }
  return node_proxies_.at(host);
}

bool SoakFleet::Apply(const Action& action) {
  using Method = bool (SoakFleet::*)(const Action&);
  static constexpr std::array<Method, kActionKinds> kMethods{
      &SoakFleet::StopNode,          &SoakFleet::CommitChange,
      &SoakFleet::ApplyNetworkFault, &SoakFleet::KillNode,
      &SoakFleet::PauseNode,         &SoakFleet::RestartUpstream,
      &SoakFleet::PauseUpstream,     &SoakFleet::PauseStore,
      &SoakFleet::ControlStore,      &SoakFleet::ControlStore,
      &SoakFleet::ControlStore,      &SoakFleet::ControlStore,
      &SoakFleet::ControlStore,      &SoakFleet::ControlStore,
      &SoakFleet::ControlUpstream,   &SoakFleet::ControlUpstream,
      &SoakFleet::ControlUpstream,   &SoakFleet::ControlUpstream,
      &SoakFleet::ApplyNetworkFault, &SoakFleet::ApplyNetworkFault,
      &SoakFleet::ApplyNetworkFault, &SoakFleet::ApplyNetworkFault,
      &SoakFleet::ApplyNetworkFault};
  return (this->*kMethods.at(static_cast<std::size_t>(action.kind)))(action);
}

bool SoakFleet::StopNode(const Action& action) {
  NodeProcess& process = node_processes_.at(current_process_.at(action.host));
  if (IsDown(action.host) || paused_nodes_.at(action.host)) {
    return false;
  }
  process.stop_requested = clock_.Now();
  pending_drain_checks_.at(action.host) =
      PendingDrainCheck{.due = *process.stop_requested + kDrainLimit};
  fleet_.StopNode(action.host);
  return true;
}

bool SoakFleet::CommitChange(const Action& action) {
  monitor_->QueueCommit(action.host);
  return true;
}

bool SoakFleet::KillNode(const Action& action) {
  const std::size_t host = action.host;
  if (IsDown(host) || paused_nodes_.at(host)) {
    return false;
  }
  NodeProcess& process = node_processes_.at(current_process_.at(host));
  process.stop_requested = clock_.Now();
  fleet_.KillNode(host);
  process.ended = clock_.Now();
  node_outages_.push_back(
      {host, {*process.stop_requested, *process.ended + action.length}});
  ScheduleUndo(action.length, [this, host] { StartNode(host); });
  return true;
}

bool SoakFleet::PauseNode(const Action& action) {
  const std::size_t host = action.host;
  if (paused_nodes_.at(host) ||
      node_processes_.at(current_process_.at(host)).ended) {
    return false;
  }
  const RunTime now = clock_.Now();
  node_outages_.push_back({host, {now, now + action.length}});
  pending_drain_checks_.at(host).reset();
  paused_nodes_.at(host) = true;
  fleet_.node(host)->Signal(SIGSTOP);
  ScheduleUndo(action.length, [this, host] {
    fleet_.node(host)->Signal(SIGCONT);
    paused_nodes_.at(host) = false;
  });
  return true;
}

bool SoakFleet::RestartUpstream(const Action& action) {
  const std::size_t host = action.host;
  if (paused_upstreams_.at(host)) {
    return false;
  }
  pending_drain_checks_.at(host).reset();
  AddExecutions(host, &restarted_upstreams_);
  fleet_.upstream(host)->Signal(SIGKILL);
  (void)fleet_.upstream(host)->Wait(kExitTimeout);
  fleet_.StartUpstream(host);
  fleet_.ControlUpstream(host, LatencyOf(fleet_.hosts().at(host).service));
  return true;
}

bool SoakFleet::PauseUpstream(const Action& action) {
  const std::size_t host = action.host;
  if (paused_upstreams_.at(host)) {
    return false;
  }
  pending_drain_checks_.at(host).reset();
  paused_upstreams_.at(host) = true;
  fleet_.upstream(host)->Signal(SIGSTOP);
  ScheduleUndo(action.length, [this, host] {
    fleet_.upstream(host)->Signal(SIGCONT);
    paused_upstreams_.at(host) = false;
  });
  return true;
}

bool SoakFleet::PauseStore(const Action& action) {
  if (is_store_paused_) {
    return false;
  }
  is_store_paused_ = true;
  fleet_.store()->Signal(SIGSTOP);
  ScheduleUndo(action.length, [this] {
    fleet_.store()->Signal(SIGCONT);
    is_store_paused_ = false;
  });
  return true;
}

bool SoakFleet::ControlStore(const Action& action) {
  struct Entry {
    ActionKind kind;
    const char* begin;
    const char* end;
  };
  constexpr Entry kEntries[] = {
      {ActionKind::kRestartStore, R"({"restart":7})", ""},
      {ActionKind::kStoreDown, R"({"down":true})", R"({"down":false})"},
      {ActionKind::kStoreSlow, R"({"slow_ms":600})", R"({"slow_ms":0})"},
      {ActionKind::kStoreLosesAnswers, R"({"lose_next_answers":3})", ""},
      {ActionKind::kStoreDeadWatches, R"({"dead_watches":true})",
       R"({"dead_watches":false})"},
      {ActionKind::kStoreSilentConnections, R"({"silence_open":true})", ""},
  };
  if (is_store_paused_) {
    return false;
  }
  for (const Entry& it : kEntries) {
    if (it.kind != action.kind) {
      continue;
    }
    fleet_.ControlStore(it.begin);
    const std::string end = it.end;
    if (!end.empty()) {
      ScheduleUndo(action.length, [this, end] {
        // A paused store could not reply.
        fleet_.store()->Signal(SIGCONT);
        fleet_.ControlStore(end);
      });
    }
  }
  return true;
}

bool SoakFleet::ControlUpstream(const Action& action) {
  struct Entry {
    ActionKind kind;
    const char* begin;
    const char* end;
  };
  constexpr Entry kEntries[] = {
      {ActionKind::kUpstreamSheds, R"({"shed":true})", R"({"shed":false})"},
      {ActionKind::kUpstreamSilent, R"({"silent":true})",
       R"({"silent":false})"},
      {ActionKind::kUpstreamBreaksAnswers, R"({"break":true})",
       R"({"break":false})"},
      {ActionKind::kUpstreamUnhealthy, R"({"unhealthy":true})",
       R"({"unhealthy":false})"},
  };
  const std::size_t host = action.host;
  if (paused_upstreams_.at(host)) {
    return false;
  }
  for (const Entry& it : kEntries) {
    if (it.kind != action.kind) {
      continue;
    }
    fleet_.ControlUpstream(host, it.begin);
    ScheduleUndo(action.length, [this, host, end = std::string(it.end)] {
      // A paused upstream could not reply.
      fleet_.upstream(host)->Signal(SIGCONT);
      fleet_.ControlUpstream(host, end);
    });
  }
  return true;
}

bool SoakFleet::ApplyNetworkFault(const Action& action) {
  const ProxyTarget proxy_target = action.kind == ActionKind::kPeerSlowOpen
                                       ? ProxyTarget::kNode
                                       : action.proxy_target;
  const Address proxy = ProxyOf(proxy_target, action.host);
  ProxyFault fault;
  switch (action.kind) {
    case ActionKind::kPeerSlowOpen:
      fault.holds_accepts = true;
      break;
    case ActionKind::kLinkDelay:
      fault.delay = action.delay;
      break;
    case ActionKind::kLinkCutForward:
      fault.holds_forward = true;
      break;
    case ActionKind::kLinkCutBack:
      fault.holds_back = true;
      break;
    case ActionKind::kLinkSilence:
      fault.holds_forward = true;
      fault.holds_back = true;
      break;
    default:
      proxies_.Reset(proxy);
      return true;
  }
  proxies_.SetFault(proxy, fault);
  ScheduleUndo(action.length, [this, proxy] { proxies_.SetFault(proxy, {}); });
  return true;
}

}  // namespace cassiabend::soak
