#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cassiabend/core/fleet_context.h"
#include "cassiabend/core/freshness.h"
#include "cassiabend/core/membership.h"
#include "cassiabend/core/spread_tree.h"

namespace cassiabend {

/// \brief Detects members of the zone that fail: one is probed per period, in
/// random order, through others when it does not answer itself. The roots of
/// the zone exchange pings with other zones as well.
class MembershipProber {
 public:
  explicit MembershipProber(std::uint64_t start_id)
      : next_sequence_(static_cast<std::uint32_t>(start_id)) {}

  void Tick(const FleetContext& context,
            const SpreadTree& tree,
            Membership* membership);

  void OnPing(const FleetContext& context,
              const NodeId& from,
              const PingBody& body);
  /// \brief Takes an answer to a ping.
  /// \returns When this node sent the ping; unset when it sent none.
  [[nodiscard]] std::optional<MonoTime> OnAck(const FleetContext& context,
                                              const AckBody& body);
  void OnPingRequest(const FleetContext& context,
                     const NodeId& from,
                     const PingRequestBody& body);
  /// \brief Tells this node's own statement to some of the zone and to the
  /// roots of the others at once.
  void Announce(const FleetContext& context,
                const SpreadTree& tree,
                const Membership& membership);
  /// \brief Notes that a datagram arrived from a member of `zone`.
  void OnHeard(const FleetContext& context, const std::string& zone);

 private:
  struct SentPing {
    MonoTime sent_at{};
    /// For whom the ping was sent on; empty for this node itself.
    NodeId requester;
    std::uint32_t requester_sequence = 0;
  };
  struct Probe {
    NodeId target;
    std::uint32_t sequence = 0;
    MonoTime started_at{};
    bool indirect = false;
  };
  struct ZoneContact {
    MonoTime heard_at{};
    std::uint32_t unanswered = 0;
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
                     const SpreadTree& tree,
                     Membership* membership);
  void ForgetOldPings(MonoTime now, Milliseconds limit);

  std::uint32_t next_sequence_;
  std::map<std::uint32_t, SentPing> sent_;
  std::vector<NodeId> round_;
  std::optional<Probe> probe_;
  MonoTime last_tick_{};
  MonoTime next_probe_at_{};
  MonoTime next_outer_ping_at_{};
  std::uint32_t probes_since_dead_ = 0;
  std::string last_outer_zone_;
  std::map<std::string, ZoneContact> contacts_;
};

}  // namespace cassiabend
