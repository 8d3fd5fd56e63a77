#include "cassiabend/node/node.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <random>
#include <utility>

#include "cassiabend/base/error.h"
#include "cassiabend/base/guard.h"
#include "cassiabend/base/log.h"
#include "cassiabend/core/membership.h"

namespace cassiabend {
namespace {

constexpr std::uint16_t kBadRequest = 400;
/// Minimum time between two log lines about answered calls, which are only
/// sampled.
constexpr Milliseconds kAnsweredLogInterval{500};
/// Time for the member record that says that this node has left to reach its
/// peers.
constexpr Milliseconds kLeaveAnnouncementTime{300};

std::uint64_t StartId(const Clock& clock) {
  const auto since_epoch = clock.Now().wall.time_since_epoch();
  return static_cast<std::uint64_t>(Microseconds(since_epoch).count());
}

std::uint64_t SeedOf(const Settings& settings) {
  if (settings.node.seed != 0) {
    return settings.node.seed;
  }
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

std::int64_t FloorMs(Nanoseconds time) {
  return std::chrono::floor<Milliseconds>(time).count();
}

std::string_view NameOf(MemberStatus status) noexcept {
  constexpr std::string_view kNames[] = {"alive", "suspect", "dead", "left"};
  return kNames[static_cast<std::size_t>(status)];
}

std::string_view NameOf(UpstreamState state) noexcept {
  constexpr std::string_view kNames[] = {"none", "warming", "serving",
                                         "draining"};
  return kNames[static_cast<std::size_t>(state)];
}

}  // namespace

Node::Node(boost::asio::io_context& io,
           const Clock& clock,
           const PlatformAdapter& adapter,
           Settings settings,
           std::string settings_file)
    : io_(io),
      clock_(clock),
      adapter_(adapter),
      settings_(std::move(settings)),
      settings_file_(std::move(settings_file)),
      reducer_(CoreOptionsOf(settings_, StartId(clock), SeedOf(settings_))),
      metrics_([this] { return CollectReadings(); }),
      traffic_split_(settings_.node.region, settings_.node.zone),
      region_traffic_(settings_.node.region, &traffic_split_),
      fleet_timer_(io),
      call_timer_(io),
      shutdown_timer_(io) {
  const NodeSettings& node_settings = settings_.node;
  const NodeId self{node_settings.ip, node_settings.peer_port};
  const std::uint64_t start_id =
      reducer_.fleet().Members(clock_.Now()).front().member.start_id;
  CallServerOptions call_options = CallServerOptionsOf(settings_, start_id);
  call_options.traffic = &traffic_split_;
  calls_ = std::make_unique<CallServer>(io_, clock_, call_options, this);
  peers_ = std::make_unique<PeerTransport>(
      io_, PeerTransportOptions{.self = self, .traffic = &traffic_split_},
      this);
  peers_->SetDrainHandler([this] { Shutdown(); });
  store_ = std::make_unique<StoreClient>(io_, settings_.store, this);
  if (node_settings.admin_port != 0) {
    AdminServerOptions options{.ip = node_settings.ip,
                               .port = node_settings.admin_port,
                               .operators = settings_.operators};
    AdminCallbacks callbacks{
        .status =
            [this] {
              Post(FleetEvent(VersionSurveyRequested{}));
              return Status();
            },
        .current_snapshot = [this] { return reducer_.fleet().newest(); },
        .drain = [this](const NodeId& id) { return DrainMember(id); }};
    admin_ =
        std::make_unique<AdminServer>(io_, options, std::move(callbacks), this);
  }
  OpenOpsServers();
  ScheduleTick(&fleet_timer_, kFleetTickPeriod, FleetEvent(FleetTick{}));
  ScheduleTick(&call_timer_, kCallTickPeriod, CallEvent(CallTick{}));
  Log(LogLevel::kInfo, "started",
      {{"node", ToString(self)},
       {"region", node_settings.region},
       {"zone", node_settings.zone},
       {"service", settings_.upstream.service},
       {"start_id", start_id},
       {"adapter", settings_.platform.adapter},
       {"shutdown_timeout_ms", node_settings.shutdown_timeout.count()},
       {"retry_budget_permille", settings_.calls.retry_budget_permille},
       {"retry_burst", settings_.calls.retry_burst},
       {"follow_limit_ms", settings_.fleet.follow_limit.count()}});
}

Node::~Node() = default;

void Node::OpenOpsServers() {
  const NodeSettings& node_settings = settings_.node;
  if (node_settings.metrics_port != 0) {
    ops_ = std::make_unique<OpsServer>(io_, node_settings.ip,
                                       node_settings.metrics_port,
                                       [this](const OpsRequest& request) {
                                         return OnOpsRequest(request.path);
                                       });
  }
  if (node_settings.readiness_port != 0) {
    readiness_ = std::make_unique<OpsServer>(
        io_, node_settings.ip, node_settings.readiness_port,
        [this](const OpsRequest& request) {
          return OnReadinessRequest(request);
        });
  }
  if (node_settings.control_port != 0) {
    control_ = std::make_unique<OpsServer>(io_, node_settings.ip,
                                           node_settings.control_port,
                                           [this](const OpsRequest& request) {
                                             return OnControlRequest(request);
                                           });
  }
}

void Node::Post(Body body) {
  queue_.push_back(std::move(body));
  if (drain_scheduled_) {
    return;
  }
  drain_scheduled_ = true;
  boost::asio::post(io_, [this] { DrainQueue(); });
}

void Node::DrainQueue() {
  while (!queue_.empty()) {
    const Event event{clock_.Now(), std::move(queue_.front())};
    queue_.pop_front();
    ++events_;
    if (const auto* fleet = std::get_if<FleetEvent>(&event.body)) {
      region_traffic_.Record(*fleet);
    }
    RunGuarded("event", [&] {
      for (const Effect& it : reducer_.Reduce(event)) {
        RunGuarded("effect", [&] { Execute(it); });
      }
    });
    LogReaderChange();
  }
  drain_scheduled_ = false;
}

void Node::Execute(const Effect& effect) {
  if (stopped_) {
    return;
  }
  if (const auto* config = std::get_if<ConfigEffect>(&effect)) {
    ExecuteConfig(*config);
  } else if (const auto* fleet = std::get_if<FleetEffect>(&effect)) {
    ExecuteFleet(*fleet);
  } else if (const auto* call = std::get_if<CallEffect>(&effect)) {
    ExecuteCall(*call);
  }
}

void Node::ExecuteConfig(const ConfigEffect& effect) {
  if (const auto* store_call = std::get_if<StoreCall>(&effect)) {
    store_->Execute(*store_call);
    return;
  }
  if (const auto* finished = std::get_if<CommitFinished>(&effect)) {
    metrics_.Record(*finished);
    Log(LogLevel::kInfo, "change_finished",
        {{"change_id", ToHex(finished->result.change_id)},
         {"code", static_cast<int>(finished->result.code)},
         {"version", finished->result.mark.number},
         {"path", finished->result.path},
         {"reason", finished->result.reason}});
  }
  if (admin_) {
    admin_->Execute(effect);
  }
}

void Node::ExecuteFleet(const FleetEffect& effect) {
  if (const auto* store_call = std::get_if<StoreCall>(&effect)) {
    store_->Execute(*store_call);
    return;
  }
  RecordFleetEffect(effect);
  region_traffic_.Record(effect);
  peers_->Execute(effect);
}

void Node::RecordFleetEffect(const FleetEffect& effect) {
  if (const auto* applied = std::get_if<ApplyVersion>(&effect)) {
    applied_at_ = clock_.Now().wall;
    calls_->SetLimits(applied->snapshot->config().limits);
    Log(LogLevel::kInfo, "version_applied",
        {{"version", applied->snapshot->mark().number},
         {"hash", ToHex(applied->snapshot->mark().hash)}});
  } else if (const auto* changed = std::get_if<MembersChanged>(&effect)) {
    for (const Member& it : changed->members) {
      LogPeerChange(it);
      Log(LogLevel::kDebug, "member_changed",
          {{"node", ToString(it.id)},
           {"status", NameOf(it.status)},
           {"upstream", NameOf(it.upstream_state)},
           {"revision", std::uint64_t{it.revision}}});
    }
  } else if (const auto* refused = std::get_if<HeadRefused>(&effect)) {
    Log(LogLevel::kError, "version_refused",
        {{"revision", refused->revision}, {"why", refused->reason}});
  } else if (const auto* restored = std::get_if<StoreRestored>(&effect)) {
    Log(LogLevel::kWarning, "store_restored", {{"era", restored->era}});
  } else if (const auto* part = std::get_if<HeadPartRefused>(&effect)) {
    Log(LogLevel::kWarning, "version_part_refused",
        {{"revision", part->revision}, {"why", part->reason}});
  } else if (const auto* decided = std::get_if<RolloutDecided>(&effect)) {
    LogRollout(*decided);
  } else if (const auto* refused = std::get_if<RolloutRefused>(&effect)) {
    Log(LogLevel::kError, "rollout_refused",
        {{"key", refused->key}, {"why", refused->reason}});
  } else if (const auto* readiness = std::get_if<ReadinessChanged>(&effect)) {
    ready_ = readiness->ready && !shutting_down_;
    not_ready_reason_ = readiness->reason;
    Log(LogLevel::kInfo, "readiness_changed",
        {{"ready", readiness->ready}, {"reason", readiness->reason}});
  }
}

void Node::LogRollout(const RolloutDecided& decided) {
  const Rollout& rollout = decided.rollout;
  const VersionCounts& fresh = decided.counts.new_version;
  const VersionCounts& old = decided.counts.old_version;
  Log(LogLevel::kInfo, "rollout_decided",
      {{"service", rollout.order.service},
       {"target_version", rollout.order.target_version},
       {"phase", NameOf(rollout.phase)},
       {"step", std::uint64_t{rollout.step}},
       {"share_permille", std::uint64_t{rollout.share_permille}},
       {"reason", decided.reason},
       {"new_answers", std::uint64_t{fresh.answers()}},
       {"new_failures", std::uint64_t{fresh.failures}},
       {"old_answers", std::uint64_t{old.answers()}},
       {"old_failures", std::uint64_t{old.failures}}});
}

/// \brief Logs that a peer was lost, or that a lost peer is back.
void Node::LogPeerChange(const Member& member) {
  if (member.id == NodeId{settings_.node.ip, settings_.node.peer_port}) {
    return;
  }
  const bool lost = !IsLive(member.status);
  const auto it = lost_peers_.find(member.id);
  if (lost == (it != lost_peers_.end())) {
    return;
  }
  if (lost) {
    lost_peers_.insert(member.id);
  } else {
    lost_peers_.erase(it);
  }
  Log(LogLevel::kInfo, lost ? "peer_lost" : "peer_regained",
      {{"peer", ToString(member.id)},
       {"zone", member.zone},
       {"service", member.service},
       {"status", NameOf(member.status)}});
}

/// \brief Logs that this node starts or stops reading the store for its zone.
void Node::LogReaderChange() {
  const bool is_reader = reducer_.fleet().is_reader();
  if (is_reader == is_reader_) {
    return;
  }
  is_reader_ = is_reader;
  Log(LogLevel::kInfo, "reader_changed",
      {{"reader", is_reader}, {"version", mark().number}});
}

void Node::RecordCallEffect(const CallEffect& effect) {
  if (const auto* ended = std::get_if<CallEnded>(&effect)) {
    metrics_.Record(*ended);
    LogCallEnded(*ended);
  } else if (const auto* refused = std::get_if<ReplyNotRun>(&effect)) {
    Log(LogLevel::kInfo, "attempt_refused",
        {{"request", refused->request_id},
         {"attempt", ToHex(refused->attempt)},
         {"reason", NameOf(refused->reason)},
         {"by_upstream", refused->reached_upstream},
         {"load_permille", refused->times.load_permille},
         {"running", refused->running},
         {"queued", std::uint64_t{refused->queued}},
         {"slots", refused->slots},
         {"new_work_slots", refused->new_work_slots},
         {"team", refused->team},
         {"body_bytes", refused->body_bytes},
         {"waited_ms", refused->times.time_at_node.count()},
         {"left_ms", refused->left.count()},
         {"retry_after_ms", refused->retry_after.count()}});
  } else if (const auto* changed = std::get_if<LocalUpstreamChanged>(&effect)) {
    Log(LogLevel::kInfo, "upstream_state_changed",
        {{"state", NameOf(changed->state)},
         {"service", changed->service},
         {"slots", changed->slots}});
  }
}

void Node::LogCallEnded(const CallEnded& ended) {
  const bool failed =
      ended.outcome != "answered" || IsServerError(ended.status);
  const bool late =
      ended.objective > Milliseconds(0) && ended.elapsed > ended.objective;
  const MonoTime now = clock_.Now().mono;
  if (!failed && now < next_answered_log_at_) {
    return;
  }
  if (!failed) {
    next_answered_log_at_ = now + kAnsweredLogInterval;
  }
  const CallPhases phases = ended.phases.value_or(CallPhases{});
  const char* event =
      failed ? "call_failed" : (late ? "call_late" : "call_answered");
  Log(failed ? LogLevel::kWarning : LogLevel::kInfo, event,
      {{"request", ended.request_id},
       {"outcome", ended.outcome},
       {"status", ended.status},
       {"detail", ended.detail},
       {"team", ended.team},
       {"route", ended.route},
       {"class", ended.request_class},
       {"service", ended.service},
       {"version", ended.config_number},
       {"attempts", ended.attempts},
       {"attempt", ended.attempt.IsZero() ? "" : ToHex(ended.attempt)},
       {"destination",
        ended.destination.empty() ? "" : ToString(ended.destination)},
       {"load_permille", ended.load_permille},
       {"load_age_ms", ended.load_age.count()},
       {"elapsed_ms", FloorMs(ended.elapsed)},
       {"objective_ms", ended.objective.count()},
       {"left_ms", ended.left.count()},
       {"entry_ms", FloorMs(phases.entry)},
       {"between_ms", FloorMs(phases.between)},
       {"queue_ms", FloorMs(phases.queue)},
       {"upstream_ms", FloorMs(phases.upstream)},
       {"no_retry", ended.no_retry},
       {"budget_left", ended.retry_budget_left}});
}

void Node::ExecuteCall(const CallEffect& effect) {
  RecordCallEffect(effect);
  if (const auto* store_call = std::get_if<StoreCall>(&effect)) {
    store_->Execute(*store_call);
    return;
  }
  if (std::holds_alternative<DrainFinished>(effect)) {
    LeaveFleet();
    return;
  }
  calls_->Execute(effect);
}

void Node::ScheduleTick(boost::asio::steady_timer* timer,
                        Milliseconds period,
                        const Body& body) {
  timer->expires_after(period);
  timer->async_wait([this, timer, period, body](boost::system::error_code ec) {
    if (ec) {
      return;
    }
    Post(body);
    ScheduleTick(timer, period, body);
  });
}

void Node::Shutdown() {
  if (shutting_down_) {
    return;
  }
  shutting_down_ = true;
  ready_ = false;
  not_ready_reason_ = "draining";
  Log(LogLevel::kInfo, "shutdown_started");
  calls_->AnnounceShutdown();
  Post(CallEvent(DrainRequested{}));
  shutdown_timer_.expires_after(settings_.node.shutdown_timeout);
  shutdown_timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec) {
      Log(LogLevel::kWarning, "shutdown_timed_out");
      LeaveFleet();
    }
  });
}

void Node::LeaveFleet() {
  calls_->StopAccepting();
  Post(FleetEvent(LeaveRequested{}));
  shutdown_timer_.expires_after(kLeaveAnnouncementTime);
  shutdown_timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec) {
      Stop();
    }
  });
}

void Node::Stop() {
  Log(LogLevel::kInfo, "stopped");
  stopped_ = true;
  fleet_timer_.cancel();
  call_timer_.cancel();
  calls_->Close();
  peers_->Close();
  store_->Close();
  if (admin_) {
    admin_->Close();
  }
  for (const auto* it : {&ops_, &readiness_, &control_}) {
    if (*it) {
      (*it)->Close();
    }
  }
  io_.stop();
}

bool Node::DrainMember(const NodeId& id) {
  if (id == NodeId{settings_.node.ip, settings_.node.peer_port}) {
    Shutdown();
    return true;
  }
  const std::vector<MemberView> members =
      reducer_.fleet().Members(clock_.Now());
  const bool known = std::ranges::any_of(
      members, [&id](const MemberView& it) { return it.member.id == id; });
  if (known) {
    peers_->RequestDrain(id);
  }
  return known;
}

void Node::Reload() {
  if (settings_file_.empty()) {
    return;
  }
  try {
    Settings fresh = LoadSettings(settings_file_);
    adapter_.ApplyPlatformSettings(&fresh);
    settings_.node.log_level = fresh.node.log_level;
    settings_.operators = fresh.operators;
    SetLogLevel(ParseLogLevel(fresh.node.log_level));
    if (admin_) {
      admin_->SetOperators(fresh.operators);
    }
    Log(LogLevel::kInfo, "settings_reloaded", {{"file", settings_file_}});
  } catch (const SettingsError& e) {
    Log(LogLevel::kError, "settings_refused",
        {{"file", settings_file_}, {"error", e.what()}});
  }
}

NodeReadings Node::CollectReadings() const {
  const Instant now = clock_.Now();
  NodeReadings out;
  out.config_version = mark().number;
  if (const auto at = reducer_.fleet().confirmed_at()) {
    out.confirmed_age = now.mono - *at;
  }
  out.ready = ready_;
  out.reader = reducer_.fleet().is_reader();
  for (const MemberView& it : reducer_.fleet().Members(now)) {
    ++out.members_by_status[std::string(NameOf(it.member.status))];
  }
  out.calls = reducer_.calls().counts();
  out.fleet = reducer_.fleet().counts();
  out.cross_region_bytes = region_traffic_.bytes();
  out.call_server = calls_->counts();
  out.traffic = peers_->traffic();
  out.traffic_split = traffic_split_.counts();
  out.store = store_->counts();
  out.events = events_;
  out.cpu = ProcessCpuTime();
  out.resident_bytes = ProcessResidentBytes();
  out.applied_at = applied_at_;
  out.log_lines_unread = DroppedLogLines();
  out.log_lines_too_frequent = SuppressedLogLines();
  return out;
}

FleetStatus Node::Status() const {
  FleetStatus out;
  out.mark = mark();
  out.members = reducer_.fleet().Members(clock_.Now());
  return out;
}

VersionMark Node::mark() const {
  const RefPtr<const Snapshot> newest = reducer_.fleet().newest();
  return newest ? newest->mark() : VersionMark{};
}

OpsResponse Node::MakeReadyResponse() const {
  return ready_ ? OpsResponse{200, "text/plain", "ready\n"}
                : OpsResponse{503, "text/plain", not_ready_reason_ + "\n"};
}

OpsResponse Node::OnReadinessRequest(const OpsRequest& request) const {
  if (!adapter_.IsReadinessRequest(request)) {
    return {404, "text/plain", "no such page\n"};
  }
  return MakeReadyResponse();
}

OpsResponse Node::OnControlRequest(const OpsRequest& request) {
  ControlMessage message = adapter_.ReadControlRequest(request);
  if (!message.report) {
    Log(LogLevel::kWarning, "heartbeat_refused",
        {{"path", request.path}, {"why", message.error}});
    return message.response;
  }
  const std::string_view why =
      reducer_.calls().ForeignReasonOf(*message.report);
  if (!why.empty()) {
    Log(LogLevel::kWarning, "heartbeat_refused",
        {{"path", request.path}, {"why", why}});
    return {kBadRequest, "text/plain", std::string(why) + "\n"};
  }
  Post(CallEvent(UpstreamHeartbeatReceived{std::move(*message.report)}));
  return message.response;
}

OpsResponse Node::OnOpsRequest(const std::string& path) const {
  if (path == "/metrics") {
    return {200, "text/plain; version=0.0.4", metrics_.Scrape()};
  }
  if (path == "/healthz") {
    return {200, "text/plain", "ok\n"};
  }
  if (path == "/readyz") {
    return MakeReadyResponse();
  }
  if (path == "/members") {
    return {200, "application/json", MembersToJson()};
  }
  if (path == "/version") {
    return {200, "application/json", VersionToJson()};
  }
  return {404, "text/plain",
          "no such page; there are /metrics, /healthz, /readyz, /members and "
          "/version\n"};
}

std::string Node::VersionToJson() const {
  const VersionMark in_force = mark();
  const boost::json::object version{
      {"version", in_force.number},
      {"hash", ToHex(in_force.hash)},
      {"applied_unix_ms", applied_at_.time_since_epoch().count()}};
  return boost::json::serialize(version);
}

std::string Node::MembersToJson() const {
  boost::json::array members;
  for (const MemberView& it : reducer_.fleet().Members(clock_.Now())) {
    members.push_back(
        boost::json::object{{"node", ToString(it.member.id)},
                            {"zone", it.member.zone},
                            {"service", it.member.service},
                            {"status", NameOf(it.member.status)},
                            {"upstream", NameOf(it.member.upstream_state)},
                            {"start_id", it.member.start_id},
                            {"revision", it.member.revision},
                            {"version", it.mark.number}});
  }
  return boost::json::serialize(members);
}

}  // namespace cassiabend
