#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cassiabend/core/dissemination_tree.h"
#include "cassiabend/core/fleet_context.h"
#include "cassiabend/core/freshness.h"
#include "cassiabend/core/membership.h"

namespace cassiabend {

/// \brief Failure detector of the zone, as in SWIM: probes one member per
/// period in random order, and indirectly through others when it does not
/// answer. The roots of the zone exchange pings with other zones as well.
class MembershipProber {
 public:
  explicit MembershipProber(std::uint64_t start_id)
      : next_sequence_(static_cast<std::uint32_t>(start_id)) {}

  /// \brief Runs the probes and pings that are due; marks members as suspect
  /// and zones as unreachable in `*membership`.
  void Tick(const FleetContext& context,
            const DisseminationTree& tree,
            Membership* membership);

  void OnPing(const FleetContext& context,
              const NodeId& from,
              const PingBody& body);
  /// \brief Handles the answer to a ping, and forwards it if the ping was sent
  /// on behalf of another node.
  /// \returns When this node sent the ping; unset if the sequence is unknown.
  [[nodiscard]] std::optional<MonoTime> OnAck(const FleetContext& context,
                                              const AckBody& body);
  void OnPingRequest(const FleetContext& context,
                     const NodeId& from,
                     const PingRequestBody& body);
  /// \brief Pings some members of the zone and the roots of all zones at once,
  /// so that this node's own record, carried by the pings, spreads quickly.
  void Announce(const FleetContext& context,
                const DisseminationTree& tree,
                const Membership& membership);
  /// \brief Handles the arrival of any datagram from a member of `zone`.
  void OnDatagramFromZone(const FleetContext& context, const std::string& zone);

 private:
  struct SentPing {
    MonoTime sent_at{};
    /// Node that requested the ping; empty for this node itself.
    NodeId requester;
    std::uint32_t requester_sequence = 0;
  };
  /// \brief The probe of this period that is still unanswered.
  struct Probe {
    NodeId target;
    std::uint32_t sequence = 0;
    MonoTime started_at{};
    /// Whether other members were asked to ping the target.
    bool indirect = false;
  };
  struct ZoneContact {
    MonoTime heard_at{};
    /// Pings sent to the zone since a datagram last arrived from it.
    std::uint32_t unanswered_pings = 0;
  };

  std::uint32_t SendPing(const FleetContext& context,
                         const NodeId& to,
                         SentPing ping);
  void FinishProbe(const FleetContext& context, Membership* membership);
  void StartProbe(const FleetContext& context, const Membership& membership);
  void SendIndirectProbes(const FleetContext& context,
                          const Membership& membership);
  void ProbeDead(const FleetContext& context, const Membership& membership);
  void PingOtherZone(const FleetContext& context,
                     const DisseminationTree& tree,
                     Membership* membership);
  void ForgetOldPings(MonoTime now, Milliseconds limit);

  std::uint32_t next_sequence_;
  std::map<std::uint32_t, SentPing> sent_;
  /// Members still to probe in this round, from the back.
  std::vector<NodeId> probe_round_;
  std::optional<Probe> probe_;
  MonoTime last_tick_{};
  MonoTime next_probe_at_{};
  MonoTime next_other_zone_ping_at_{};
  std::uint32_t probes_since_dead_ = 0;
  std::string last_pinged_zone_;
  std::map<std::string, ZoneContact> contacts_;
};

}  // namespace cassiabend
