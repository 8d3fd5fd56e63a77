#pragma once

#include <optional>
#include <string>

#include "cassiabend/core/applied_versions.h"
#include "cassiabend/core/fleet_context.h"
#include "cassiabend/core/freshness.h"
#include "cassiabend/core/head_watcher.h"
#include "cassiabend/core/membership.h"

namespace cassiabend {

/// \brief Decides whether the node may serve calls. A starting node must hold a
/// version that a recent read of the store confirms, or that is at least as new
/// as the versions of enough peers. A node that is ready stays ready until it
/// leaves.
class JoinReadiness {
 public:
  struct Inputs {
    const Membership& membership;
    const AppliedVersions& versions;
    const Freshness& freshness;
    HeadState head_state = HeadState::kUnknown;
    /// Whether the node has received the member list of a peer.
    bool joined = false;
    /// Whether the last call to the store was answered; unset before the first.
    std::optional<bool> store_reachable;
  };

  [[nodiscard]] bool ready() const noexcept { return ready_; }

  /// \brief Re-evaluates readiness; emits `ReadinessChanged` if the reason
  /// changed.
  void Update(const FleetContext& context, const Inputs& inputs);

 private:
  /// \returns Why the node is not ready; empty if it is.
  [[nodiscard]] std::string ReasonNotReady(const FleetContext& context,
                                           const Inputs& inputs) const;
  /// \returns Whether the head or enough peers confirm the version in force.
  [[nodiscard]] bool IsVersionConfirmed(const FleetContext& context,
                                        const Inputs& inputs) const;

  /// When this object was first updated.
  std::optional<MonoTime> started_at_;
  bool ready_ = false;
  /// The reason emitted last; empty for ready, unset before the first.
  std::optional<std::string> reason_;
};

}  // namespace cassiabend
