#include "cassiabend/core/call_reducer.h"

#include <algorithm>
#include <type_traits>
#include <utility>
#include <variant>

#include "cassiabend/core/allotments/allotments.h"
#include "cassiabend/core/balancer.h"
#include "cassiabend/core/call_context.h"
#include "cassiabend/core/call_destination.h"
#include "cassiabend/core/call_entry.h"
#include "cassiabend/core/call_upstream_health.h"
#include "cassiabend/core/rollout/version_gate.h"

namespace cassiabend {

namespace {

/// Most retry budgets listed in `CallCounts`, so that metrics stay bounded.
constexpr std::size_t kMaxReportedBudgets = 32;
/// Shortest time between two reports of how versions answer, and the time for
/// each node of the fleet, since all report to the same two.
constexpr Milliseconds kVersionReportPeriod{500};
constexpr Milliseconds kVersionReportPause{3};
/// Most teams listed there by name.
constexpr std::size_t kMaxReportedTeams = 32;

/// \returns A seed that depends on the node and on the start of its process, so
/// that nodes with equal settings generate different attempt ids.
std::uint64_t MixSeed(const Member& self, std::uint64_t seed) {
  return Hash64(ToString(self.id), self.start_id) ^
         (seed * 0x9E3779B97F4A7C15ULL);
}

}  // namespace

/// \brief Dispatches each event to the component that handles it.
class CallReducer::Impl {
 public:
  Impl(const CallOptions& options, const Member& self, std::uint64_t seed)
      : context_{.options = options,
                 .self = self,
                 .random = Random(MixSeed(self, seed))},
        balancer_(options, self),
        health_(&context_),
        versions_(options, self.id),
        allotments_({options.allotment_window,
                     options.allotment_overage_permille,
                     options.allotment_tolerance}),
        entry_(&context_, &balancer_, &versions_, &allotments_),
        destination_(&context_, &health_) {}

  void Reduce(const Instant& now,
              const CallEvent& event,
              std::vector<CallEffect>* out) {
    context_.now = now;
    context_.out = out;
    if (!has_started_) {
      has_started_ = true;
      context_.started_at = now.mono;
    }
    std::visit([this](const auto& it) { Handle(it); }, event);
    context_.upstream_calls = destination_.running();
    UpdateSelf();
    MaybeFinishDrain();
    context_.out = nullptr;
  }

  [[nodiscard]] const CallUpstreamHealth& health() const noexcept {
    return health_;
  }
  [[nodiscard]] CallCounts counts() const {
    CallCounts counts;
    counts.calls = entry_.calls();
    counts.attempts_queued = destination_.queued();
    counts.attempts_running = destination_.running();
    counts.attempts_held = destination_.held();
    counts.bodies_coming = destination_.bodies();
    counts.new_work_slots = destination_.NewWorkSlots();
    counts.ejected = balancer_.ejected();
    counts.retries = entry_.budget().granted();
    counts.retries_refused = entry_.budget().refused();
    counts.retry_budgets = entry_.budget().LowestBalances(kMaxReportedBudgets);
    counts.allotments =
        allotments_.Counts(context_.now.mono, kMaxReportedTeams);
    return counts;
  }

 private:
  template <typename T>
  void Handle(const T& event) {
    if constexpr (requires { entry_.Reduce(event); }) {
      entry_.Reduce(event);
    } else {
      destination_.Reduce(event);
    }
  }

  void Handle(const LinkLoadChanged& event) {
    context_.link = event;
    destination_.Reduce(event);
  }
  void Handle(const UpstreamProbed& event) { health_.Reduce(event); }
  void Handle(const UpstreamLoadReported& event) { health_.Reduce(event); }
  void Handle(const UpstreamHeartbeatReceived& event) {
    const UpstreamState before = health_.state();
    health_.Reduce(event);
    RefuseWaitingUnlessServing(before);
  }
  void Handle(const UpstreamReplaced& event) {
    const UpstreamState before = health_.state();
    health_.RecordReplaced();
    destination_.Reduce(event);
    RefuseWaitingUnlessServing(before);
  }
  void Handle(const UpstreamShed& event) {
    health_.RecordShed(destination_.running(), event.retry_after);
    destination_.Reduce(event);
  }
  void Handle(const UpstreamUnreachable& event) {
    const UpstreamState before = health_.state();
    health_.RecordCallFailure();
    destination_.Reduce(event);
    RefuseWaitingUnlessServing(before);
  }
  void Handle(const UpstreamConnectionLost& event) {
    const UpstreamState before = health_.state();
    health_.RecordCallFailure();
    destination_.Reduce(event);
    RefuseWaitingUnlessServing(before);
  }
  void Handle(const UpstreamAnswerStarted& event) {
    health_.RecordAnswer();
    destination_.Reduce(event);
  }

  void Handle(const CallTick& /*event*/) {
    MaybeWithdrawUpstream();
    entry_.Tick();
    destination_.Tick();
    health_.Tick();
    health_.ReportLoad(destination_.queued() + destination_.running());
    ReportVersions();
    std::vector<SendUseReport> reports;
    allotments_.Tick(context_.now.mono, &reports);
    EmitAll(std::move(reports));
  }

  /// \brief Reports to the fleet how the versions answer that are being rolled
  /// out.
  void ReportVersions() {
    const MonoTime now = context_.now.mono;
    if (!versions_.is_enabled() || now < next_version_report_at_) {
      return;
    }
    next_version_report_at_ =
        now +
        std::max<Milliseconds>(
            kVersionReportPeriod,
            kVersionReportPause * static_cast<std::int64_t>(balancer_.nodes()));
    std::vector<VersionUse> uses = versions_.Uses(now);
    if (!uses.empty()) {
      context_.Emit(VersionsUsed{std::move(uses)});
    }
  }

  void Handle(const UseLinksChanged& event) {
    allotments_.SetLinks(context_.now.mono, event.links);
  }
  void Handle(const UseReportReceived& event) {
    std::vector<SendUseReport> replies;
    allotments_.OnReport(context_.now.mono, event.from, event.zone,
                         event.report, &replies);
    EmitAll(std::move(replies));
  }
  void EmitAll(std::vector<SendUseReport> reports) {
    for (SendUseReport& it : reports) {
      context_.Emit(std::move(it));
    }
  }

  void Handle(const DrainRequested& /*event*/) {
    if (context_.draining) {
      return;
    }
    context_.draining = true;
    context_.draining_since = context_.now.mono;
    entry_.LimitDeadlines();
    MaybeWithdrawUpstream();
  }

  /// \brief Withdraws this host's upstream once it may be given no more
  /// attempts.
  void MaybeWithdrawUpstream() {
    if (context_.upstream_withdrawn || !destination_.HasStoppedAccepting()) {
      return;
    }
    context_.upstream_withdrawn = true;
    health_.Drain();
    destination_.RefuseWaiting(NotRunReason::kDraining);
  }

  void Handle(const ApplyVersion& event) {
    const bool newer = !context_.snapshot ||
                       event.snapshot->mark().number > context_.config_number();
    if (newer) {
      context_.snapshot = event.snapshot;
      entry_.OnVersionNews();
      allotments_.SetLimits(context_.now.mono, event.snapshot->config().teams);
    }
  }

  void Handle(const HeadConfirmed& event) {
    if (!context_.confirmed_at || event.at > *context_.confirmed_at) {
      context_.confirmed_at = event.at;
      entry_.OnVersionNews();
    }
  }

  void Handle(const MembersChanged& event) {
    for (const Member& it : event.members) {
      if (it.id == context_.self.id) {
        AdoptStartId(it.start_id);
        continue;
      }
      UpdateUpstream(it);
    }
  }

  void UpdateUpstream(Member member) {
    versions_.Update(&member);
    balancer_.Update(context_.now.mono, member);
  }

  void Handle(const RolloutsChanged& event) {
    versions_.Update(context_.now.mono, event.rollouts);
  }

  /// \brief Adopts the start id under which peers know this process. It is
  /// greater than the one derived from the clock if an earlier process of this
  /// node had a greater one.
  void AdoptStartId(std::uint64_t start_id) {
    if (start_id <= context_.self.start_id) {
      return;
    }
    context_.self.start_id = start_id;
    balancer_knows_self_ = false;
    UpdateSelf();
  }

  void Handle(const MemberLoadReported& event) {
    balancer_.UpdateLoad(context_.now.mono, event.id, event.load_permille,
                         event.time_percent);
  }

  void Handle(const ReadinessChanged& event) {
    context_.ready = event.ready;
    if (event.ready) {
      entry_.OnReady();
    }
  }

  /// \brief Updates the entry of this host's own upstream in the balancer.
  void UpdateSelf() {
    if (context_.self.upstream_state == health_.state() &&
        balancer_knows_self_ && known_service_ == context_.self.service &&
        known_version_ == context_.self.upstream_version) {
      return;
    }
    balancer_knows_self_ = true;
    known_service_ = context_.self.service;
    known_version_ = context_.self.upstream_version;
    context_.self.upstream_state = health_.state();
    context_.self.slots = health_.slots();
    UpdateUpstream(context_.self);
  }

  /// \brief Refuses the attempts that wait for the upstream if it has just
  /// stopped serving, so that their calls go to another one.
  void RefuseWaitingUnlessServing(UpstreamState before) {
    if (before == UpstreamState::kServing &&
        health_.state() != UpstreamState::kServing) {
      destination_.RefuseWaiting(NotRunReason::kNoUpstream);
    }
  }

  void MaybeFinishDrain() {
    if (!context_.HasStoppedServing() || drain_finished_ ||
        entry_.calls() > 0 || destination_.has_work()) {
      return;
    }
    drain_finished_ = true;
    context_.Emit(DrainFinished{});
  }

  CallContext context_;
  Balancer balancer_;
  CallUpstreamHealth health_;
  VersionGate versions_;
  Allotments allotments_;
  CallEntry entry_;
  CallDestination destination_;
  bool has_started_ = false;
  bool balancer_knows_self_ = false;
  /// Service under which the balancer knows this host's upstream.
  std::string known_service_;
  std::string known_version_;
  MonoTime next_version_report_at_{};
  bool drain_finished_ = false;
};

CallReducer::CallReducer(const CallOptions& options,
                         const Member& self,
                         std::uint64_t seed)
    : impl_(std::make_unique<Impl>(options, self, seed)) {}

CallReducer::~CallReducer() = default;

void CallReducer::Reduce(const Instant& now,
                         const CallEvent& event,
                         std::vector<CallEffect>* out) {
  impl_->Reduce(now, event, out);
}

CallCounts CallReducer::counts() const {
  return impl_->counts();
}

std::string_view CallReducer::ForeignReasonOf(
    const UpstreamHeartbeat& heartbeat) const {
  return impl_->health().ForeignReasonOf(heartbeat);
}

}  // namespace cassiabend
