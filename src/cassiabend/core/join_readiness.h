#pragma once

#include <optional>
#include <string>

#include "cassiabend/core/fleet_context.h"
#include "cassiabend/core/freshness.h"
#include "cassiabend/core/head_watcher.h"
#include "cassiabend/core/membership.h"
#include "cassiabend/core/spread_versions.h"

namespace cassiabend {

/// \brief Decides whether the node may serve calls: a started node must hold a
/// version that is at least as new as what a read of the store showed or enough
/// peers vouch for. A node that is ready stays so until it leaves.
class JoinReadiness {
 public:
  struct Inputs {
    const Membership& membership;
    const SpreadVersions& versions;
    const Freshness& freshness;
    HeadState head_state = HeadState::kUnknown;
    /// Whether a peer told its member list.
    bool joined = false;
    /// Whether the last call to the store was answered; unset for no call yet.
    std::optional<bool> store_answers;
  };

  [[nodiscard]] bool ready() const noexcept { return ready_; }

  /// \brief Decides anew; emits `ReadinessChanged` on a change.
  void Update(const FleetContext& context, const Inputs& inputs);

 private:
  [[nodiscard]] std::string ReasonNotReady(const FleetContext& context,
                                           const Inputs& inputs) const;
  [[nodiscard]] bool IsVouchedFor(const FleetContext& context,
                                  const Inputs& inputs) const;

  std::optional<MonoTime> started_at_;
  bool ready_ = false;
  std::optional<std::string> reason_;
};

}  // namespace cassiabend
