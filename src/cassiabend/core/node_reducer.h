#pragma once

#include "cassiabend/core/call_reducer.h"
#include "cassiabend/core/config_reducer.h"
#include "cassiabend/core/event.h"
#include "cassiabend/core/fleet_reducer.h"
#include "cassiabend/core/options.h"

namespace cassiabend {

/// \brief Top-level reducer of a node. Passes each event to the reducer for its
/// type, and passes effects that concern another reducer on to that one as
/// events. It reads no clock, does no I/O and uses no global state.
class NodeReducer {
 public:
  explicit NodeReducer(const CoreOptions& options);

  /// \returns The effects for the layers with I/O to carry out, in order.
  [[nodiscard]] Effects Reduce(const Event& event);

  [[nodiscard]] const FleetReducer& fleet() const noexcept { return fleet_; }
  [[nodiscard]] const CallReducer& calls() const noexcept { return calls_; }

 private:
  void ReduceConfig(const Instant& now, const ConfigEvent& event, Effects* out);
  void ReduceFleet(const Instant& now, const FleetEvent& event, Effects* out);
  void ReduceCall(const Instant& now, const CallEvent& event, Effects* out);
  void ForwardConfigEffects(const Instant& now,
                            std::vector<ConfigEffect> effects,
                            Effects* out);
  void ForwardFleetEffects(const Instant& now,
                           std::vector<FleetEffect> effects,
                           Effects* out);
  void ForwardCallEffects(const Instant& now,
                          std::vector<CallEffect> effects,
                          Effects* out);

  ConfigReducer config_;
  FleetReducer fleet_;
  CallReducer calls_;
};

}  // namespace cassiabend
