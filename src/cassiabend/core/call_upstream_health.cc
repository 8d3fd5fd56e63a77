#include "cassiabend/core/call_upstream_health.h"

#include <algorithm>

namespace cassiabend {
namespace {

/// Consecutive healthy probes after which a warming upstream serves, initially
/// and at most.
constexpr std::uint32_t kProbesToServe = 2;
constexpr std::uint32_t kMaxProbesToServe = 64;
/// Consecutive failures, of probes and calls, after which it stops serving.
constexpr std::uint32_t kFailuresToStop = 3;
/// Age up to which an answered call outweighs failed probes.
constexpr Milliseconds kAnswerPrecedenceAge{3'000};
/// An upstream that reports itself ready and has answered a call within this
/// time still serves, however many calls have failed since.
constexpr Milliseconds kRecentAnswerAge{300};
/// Shortest and longest time for which an upstream that sheds has fewer slots.
constexpr Milliseconds kMinShedPause{20};
constexpr Milliseconds kMaxShedPause{1'000};
/// Shortest time between two reports of the load.
constexpr Milliseconds kLoadReportPeriod{100};
/// Smallest change of the load that is reported, in thousandths.
constexpr int kLoadReportStep = 50;
/// Most probes for the instance id of an unknown upstream, and the pause
/// between them.
constexpr std::uint32_t kMaxIdentityProbes = 3;
constexpr Milliseconds kIdentityProbePause{500};
/// Heartbeat periods without a heartbeat after which a start may have ended.
constexpr int kMissedHeartbeats = 3;

}  // namespace

CallUpstreamHealth::CallUpstreamHealth(CallContext* context)
    : context_(context),
      state_(context->self.upstream_state),
      probes_to_serve_(kProbesToServe) {
  if (state_ == UpstreamState::kNone && !context->self.service.empty()) {
    state_ = UpstreamState::kWarming;
  }
  slots_ =
      context->options.slots > 0 ? context->options.slots : context->self.slots;
}

std::string_view CallUpstreamHealth::ForeignReasonOf(
    const UpstreamHeartbeat& heartbeat) const {
  const Member& self = context_->self;
  const std::string& address = context_->options.upstream_address;
  if (!heartbeat.address.empty() && !address.empty() &&
      heartbeat.address != address) {
    return "its address is not that of this host's upstream";
  }
  if (!heartbeat.zone.empty() && heartbeat.zone != self.zone) {
    return "it is of another availability zone";
  }
  if (heartbeat.service.empty() || heartbeat.service == self.service) {
    return {};
  }
  if (heartbeat.instance == identity_.instance()) {
    return "an upstream does not change its service";
  }
  const bool is_known = context_->snapshot && context_->snapshot->ServiceByName(
                                                  heartbeat.service) != nullptr;
  return is_known ? "" : "no version in force names its service";
}

void CallUpstreamHealth::Reduce(const UpstreamHeartbeatReceived& event) {
  const UpstreamHeartbeat& heartbeat = event.heartbeat;
  if (!ForeignReasonOf(heartbeat).empty()) {
    return;
  }
  const HeartbeatKind kind = identity_.OnHeartbeat(
      context_->now.mono,
      kMissedHeartbeats * context_->options.upstream_heartbeat, heartbeat);
  if (kind == HeartbeatKind::kStale) {
    return;
  }
  if (kind == HeartbeatKind::kNewStart) {
    failures_ = 0;
    is_stopping_ = false;
    load_.Reset();
  }
  probes_sent_ = 0;
  if (heartbeat.phase == UpstreamPhase::kReady && !is_stopping_) {
    slots_ = heartbeat.slots > 0 ? heartbeat.slots : slots_;
    SetStateAndKind(UpstreamState::kServing, heartbeat);
    return;
  }
  is_stopping_ = true;
  SetStateAndKind(UpstreamState::kDraining, heartbeat);
}

void CallUpstreamHealth::RecordReplaced() {
  if (!expects_heartbeats()) {
    return;
  }
  identity_.Reset();
  load_.Reset();
  context_->self.upstream_version.clear();
  // The upstream at the address may now belong to another service, which only
  // its heartbeat says; so it is not probed.
  probes_sent_ = kMaxIdentityProbes;
  SetState(UpstreamState::kWarming);
}

void CallUpstreamHealth::Tick() {
  if (!expects_heartbeats() || context_->options.ask_upstream == 0 ||
      !context_->snapshot || !identity_.instance().empty() ||
      state_ != UpstreamState::kWarming || probes_sent_ >= kMaxIdentityProbes ||
      context_->now.mono < next_probe_at_) {
    return;
  }
  ++probes_sent_;
  next_probe_at_ = context_->now.mono + kIdentityProbePause;
  context_->Emit(
      ProbeUpstream{context_->snapshot->HealthPathOf(context_->self.service)});
}

void CallUpstreamHealth::Reduce(const UpstreamProbed& event) {
  if (expects_heartbeats()) {
    if (!event.healthy || event.instance.empty() ||
        !identity_.instance().empty()) {
      return;
    }
    identity_.SetInstance(context_->now.mono, event.instance);
    if (event.load.slots > 0) {
      slots_ = std::min(event.load.slots, LoadRecord::kMaxSlots);
    }
    RecordLoad(event.load);
    failures_ = 0;
    SetState(UpstreamState::kServing);
    return;
  }
  if (event.healthy) {
    failures_ = 0;
    ++healthy_probes_;
    if (state_ == UpstreamState::kWarming &&
        healthy_probes_ >= probes_to_serve_) {
      SetState(UpstreamState::kServing);
    }
    return;
  }
  if (answered_at_ &&
      context_->now.mono - *answered_at_ < kAnswerPrecedenceAge) {
    return;
  }
  RecordFailure();
}

void CallUpstreamHealth::RecordAnswer() noexcept {
  probes_to_serve_ = kProbesToServe;
  failures_ = 0;
  answered_at_ = context_->now.mono;
}

void CallUpstreamHealth::RecordLoad(const UpstreamLoad& reported) noexcept {
  if (reported != UpstreamLoad{}) {
    load_.Record(context_->now.mono, reported, slots_);
  }
}

std::uint32_t CallUpstreamHealth::slots() const noexcept {
  const std::optional<UpstreamLoad> reported = load();
  const std::uint32_t slots = reported ? reported->slots : slots_;
  return context_->now.mono < shed_until_ ? std::min(slots, shed_slots_)
                                          : slots;
}

void CallUpstreamHealth::RecordShed(std::uint32_t running,
                                    Milliseconds retry_after) noexcept {
  constexpr std::uint32_t kMinSlots = 1;
  shed_slots_ = running > kMinSlots ? running - 1 : kMinSlots;
  shed_until_ = context_->now.mono +
                std::clamp(retry_after, kMinShedPause, kMaxShedPause);
}

void CallUpstreamHealth::RecordCallFailure() {
  const bool answers =
      answered_at_ && context_->now.mono - *answered_at_ < kRecentAnswerAge;
  if (expects_heartbeats() && answers) {
    // It fails only some of its calls; withdrawing it would lose the others
    // too.
    return;
  }
  if (RecordFailure()) {
    probes_to_serve_ = std::min(2 * probes_to_serve_, kMaxProbesToServe);
  }
}

bool CallUpstreamHealth::RecordFailure() {
  healthy_probes_ = 0;
  ++failures_;
  if (state_ != UpstreamState::kServing || failures_ < kFailuresToStop) {
    return false;
  }
  SetState(UpstreamState::kWarming);
  return true;
}

void CallUpstreamHealth::ReportLoad(std::size_t outstanding) {
  if (slots_ == 0) {
    return;
  }
  constexpr std::size_t kMaxPermille = 60'000;
  const auto load = static_cast<std::uint16_t>(
      std::min(outstanding * 1000 / slots_, kMaxPermille));
  const int change = std::abs(int{load} - int{reported_permille_});
  const bool due =
      !reported_at_ || context_->now.mono - *reported_at_ >= kLoadReportPeriod;
  if (!due || (change < kLoadReportStep && (load != 0 || change == 0))) {
    return;
  }
  reported_permille_ = load;
  reported_at_ = context_->now.mono;
  context_->Emit(LocalLoadChanged{load, time_percent()});
}

void CallUpstreamHealth::Drain() {
  is_shutting_down_ = true;
  if (state_ != UpstreamState::kNone) {
    SetState(UpstreamState::kDraining);
  }
}

void CallUpstreamHealth::SetState(UpstreamState state) {
  const bool stays_drained = is_shutting_down_ || !expects_heartbeats();
  if (state_ == state ||
      (state_ == UpstreamState::kDraining && stays_drained)) {
    return;
  }
  state_ = state;
  EmitChange();
}

void CallUpstreamHealth::SetStateAndKind(UpstreamState state,
                                         const UpstreamHeartbeat& heartbeat) {
  Member& self = context_->self;
  const bool moved =
      !heartbeat.service.empty() && heartbeat.service != self.service;
  if (moved) {
    self.service = heartbeat.service;
  }
  const bool is_other_version = context_->options.gate_versions != 0 &&
                                !heartbeat.version.empty() &&
                                heartbeat.version != self.upstream_version;
  if (is_other_version) {
    self.upstream_version = heartbeat.version;
  }
  const bool same = state_ == state;
  SetState(state);
  if (same && (moved || is_other_version)) {
    EmitChange();
  }
}

void CallUpstreamHealth::EmitChange() {
  const Member& self = context_->self;
  context_->Emit(LocalUpstreamChanged{state_, slots_, self.service,
                                      self.upstream_version});
}

}  // namespace cassiabend
