#pragma once

#include <optional>

#include "cassiabend/core/fleet_context.h"
#include "cassiabend/core/membership.h"

namespace cassiabend {

/// \brief Asks members for their versions when an operator requests them.
///
/// Regular probes reach each member of the zone rarely and members of other
/// zones almost never, so the versions that a node knows of its peers may be
/// out of date. A survey pings the members whose known version is older than
/// this node's, a bounded number per tick; their acknowledgements carry their
/// versions.
class VersionSurvey {
 public:
  /// \brief Starts the survey, or extends it, to run for `kSurveyTime` from
  /// now.
  void Start(const FleetContext& context);

  /// \brief Sends the pings of one tick.
  /// \param mark This node's version.
  void Tick(const FleetContext& context,
            const Membership& membership,
            const VersionMark& mark);

 private:
  static constexpr Milliseconds kSurveyTime{2'000};
  /// With a tick of 100 ms, 2,000 members are asked within 3.2 s.
  static constexpr int kPingsPerTick = 64;

  [[nodiscard]] static bool IsBehind(const MemberEntry& entry,
                                     const VersionMark& mark);

  std::optional<MonoTime> ends_at_;
  /// The last member visited; the next tick continues after it.
  NodeId cursor_;
};

}  // namespace cassiabend
