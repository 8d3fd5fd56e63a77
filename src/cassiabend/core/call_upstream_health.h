#pragma once

#include "cassiabend/core/call_context.h"
#include "cassiabend/core/upstream_identity.h"

namespace cassiabend {

/// \brief Judges this host's upstream by its heartbeats or, where it sends
/// none, by its health endpoint, and before both by what its calls show. Tells
/// the fleet its state and load.
class CallUpstreamHealth {
 public:
  explicit CallUpstreamHealth(CallContext* context);

  [[nodiscard]] UpstreamState state() const noexcept { return state_; }
  /// \returns Calls that the upstream may be given at the same time.
  [[nodiscard]] std::uint32_t slots() const noexcept;

  /// \returns The start of the upstream that calls are meant for; empty where
  /// it sends no heartbeats.
  [[nodiscard]] const std::string& instance() const noexcept {
    return identity_.instance();
  }

  void Reduce(const UpstreamProbed& event);
  void Reduce(const UpstreamReported& event);
  /// \brief Notes that another upstream answers at the known address.
  void RecordReplaced();
  /// \brief Asks for the name of an upstream that is not known yet.
  void Tick();
  /// \brief Notes that the upstream answered a call.
  void RecordAnswer() noexcept;
  /// \brief Notes that the upstream refused one of `running` calls for lack of
  /// capacity. It is given fewer until `retry_after` is over.
  void RecordShed(std::uint32_t running, Milliseconds retry_after) noexcept;
  /// \brief Notes that the upstream was not reached, or broke off.
  void RecordCallFailure();
  /// \brief Tells the load to the fleet when it has changed enough.
  /// \param outstanding Calls that the upstream has and that wait for it.
  void ReportLoad(std::size_t outstanding);
  /// \brief States that the upstream takes no more work.
  void Drain();

 private:
  /// \returns Whether the upstream stopped serving by it.
  bool RecordFailure();
  [[nodiscard]] bool expects_reports() const noexcept {
    return context_->options.upstream_heartbeat > Milliseconds(0);
  }
  void SetState(UpstreamState state);
  void SetUpstream(UpstreamState state, const std::string& service);

  CallContext* context_;
  UpstreamIdentity identity_;
  /// Probes sent since the upstream was last known.
  std::uint32_t asked_ = 0;
  MonoTime next_ask_at_{};
  /// Whether this node shuts down.
  bool shuts_down_ = false;
  /// Whether the present start of the upstream has said that it ends.
  bool leaves_ = false;
  UpstreamState state_ = UpstreamState::kNone;
  std::uint32_t slots_ = 0;
  /// Fewer slots for the time after the upstream shed a call.
  std::uint32_t shed_slots_ = 0;
  MonoTime shed_until_{};
  std::uint32_t healthy_probes_ = 0;
  /// Healthy probes in a row after which a warming upstream serves. Calls that
  /// fail against the word of the probes double it.
  std::uint32_t probes_to_serve_;
  std::uint32_t failures_ = 0;
  std::optional<MonoTime> answered_at_;
  std::uint16_t reported_permille_ = 0;
  std::optional<MonoTime> reported_at_;
};

}  // namespace cassiabend
