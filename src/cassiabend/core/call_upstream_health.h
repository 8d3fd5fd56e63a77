#pragma once

#include <string_view>

#include "cassiabend/core/call_context.h"
#include "cassiabend/core/placement/load_record.h"
#include "cassiabend/core/upstream_identity.h"

namespace cassiabend {

/// \brief Determines the health of this host's upstream by its heartbeats or,
/// if it sends none, by its health endpoint; the outcomes of calls take
/// precedence over both. Reports its state and load to the fleet.
class CallUpstreamHealth {
 public:
  explicit CallUpstreamHealth(CallContext* context);

  [[nodiscard]] UpstreamState state() const noexcept { return state_; }
  /// \returns Number of calls that the upstream may be given at the same time.
  [[nodiscard]] std::uint32_t slots() const noexcept;

  /// \returns What the upstream reported last of its load, with its mean speed;
  /// unset when it reports none, or the newest report is too old.
  [[nodiscard]] std::optional<UpstreamLoad> load() const noexcept {
    return load_.At(context_->now.mono);
  }

  /// \returns Time that work takes there at present, in hundredths of the
  /// usual; 0 if that is unknown.
  [[nodiscard]] std::uint16_t time_percent() const noexcept {
    const std::optional<UpstreamLoad> known = load();
    return known ? static_cast<std::uint16_t>(known->time_percent) : 0;
  }

  /// \returns Instance id of the start of the upstream that calls are meant
  /// for; empty if it sends no heartbeats.
  [[nodiscard]] const std::string& instance() const noexcept {
    return identity_.instance();
  }

  /// \returns Why a heartbeat is not of this host's upstream; empty when it may
  /// be.
  [[nodiscard]] std::string_view ForeignReasonOf(
      const UpstreamHeartbeat& heartbeat) const;

  void Reduce(const UpstreamProbed& event);
  void Reduce(const UpstreamHeartbeatReceived& event);
  void Reduce(const UpstreamLoadReported& event) { RecordLoad(event.load); }
  /// \brief Records that another upstream answers at the known address.
  void RecordReplaced();
  /// \brief Probes an upstream whose instance id is not known yet.
  void Tick();
  /// \brief Records that the upstream answered a call.
  void RecordAnswer() noexcept;
  /// \brief Records that the upstream refused one of `running` calls for lack
  /// of capacity. It is given fewer until `retry_after` has passed.
  void RecordShed(std::uint32_t running, Milliseconds retry_after) noexcept;
  /// \brief Records that the upstream was not reached, or that its connection
  /// broke.
  void RecordCallFailure();
  /// \brief Reports the load to the fleet if it has changed enough.
  /// \param outstanding Calls that run at the upstream or wait for it.
  void ReportLoad(std::size_t outstanding);
  /// \brief Announces that the upstream accepts no more work.
  void Drain();

 private:
  void RecordLoad(const UpstreamLoad& reported) noexcept;
  /// \returns Whether the upstream has stopped serving because of this failure.
  bool RecordFailure();
  [[nodiscard]] bool expects_heartbeats() const noexcept {
    return context_->options.upstream_heartbeat > Milliseconds(0);
  }
  void SetState(UpstreamState state);
  /// \brief Sets the state, and the service and version that a heartbeat names.
  void SetStateAndKind(UpstreamState state, const UpstreamHeartbeat& heartbeat);
  void EmitChange();

  CallContext* context_;
  UpstreamIdentity identity_;
  /// Probes sent since the upstream's instance id was last known.
  std::uint32_t probes_sent_ = 0;
  MonoTime next_probe_at_{};
  /// Whether this node shuts down.
  bool is_shutting_down_ = false;
  /// Whether the current start of the upstream has announced that it stops.
  bool is_stopping_ = false;
  UpstreamState state_ = UpstreamState::kNone;
  /// Slots that the heartbeat, the first probe or the settings name.
  std::uint32_t slots_ = 0;
  LoadRecord load_;
  /// Reduced number of slots until `shed_until_`, after the upstream shed a
  /// call.
  std::uint32_t shed_slots_ = 0;
  MonoTime shed_until_{};
  std::uint32_t healthy_probes_ = 0;
  /// Consecutive healthy probes after which a warming upstream serves. The
  /// number doubles when calls fail although probes succeed.
  std::uint32_t probes_to_serve_;
  std::uint32_t failures_ = 0;
  std::optional<MonoTime> answered_at_;
  std::uint16_t reported_permille_ = 0;
  std::optional<MonoTime> reported_at_;
};

}  // namespace cassiabend
