#pragma once

#include <optional>

#include "cassiabend/core/fleet_context.h"
#include "cassiabend/core/membership.h"

namespace cassiabend {

/// \brief Asks members for their versions while an operator looks.
///
/// Probes reach each member of a zone seldom, and members of other zones hardly
/// ever, so the versions that a node has heard of may be old. A survey pings
/// the members that are behind this node's version, a bounded number each tick;
/// their answers carry their versions.
class MarkSurvey {
 public:
  /// \brief Keeps the survey going for `kSurveyTime` from now.
  void Start(const FleetContext& context);

  /// \brief Sends the pings of one tick.
  /// \param mark This node's version.
  void Tick(const FleetContext& context,
            const Membership& membership,
            const VersionMark& mark);

 private:
  static constexpr Milliseconds kSurveyTime{2'000};
  /// At 100 ms a tick, 2,000 members are asked within 3.2 s.
  static constexpr int kPingsPerTick = 64;

  [[nodiscard]] static bool IsBehind(const MemberEntry& entry,
                                     const VersionMark& mark);

  std::optional<MonoTime> ends_at_;
  /// Member after which the next tick goes on.
  NodeId cursor_;
};

}  // namespace cassiabend
