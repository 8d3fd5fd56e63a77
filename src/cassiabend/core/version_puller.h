#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "cassiabend/core/applied_versions.h"
#include "cassiabend/core/fleet_context.h"
#include "cassiabend/core/freshness.h"

namespace cassiabend {

/// \brief Fetches versions that peers report and this node lacks: one pull at a
/// time, after a short jittered delay, and from another peer after a failure.
class VersionPuller {
 public:
  /// \brief Handles a report that `peer` holds the version `mark`; schedules a
  /// pull if it is newer than the version in force.
  void OnPeerMark(const FleetContext& context,
                  const AppliedVersions& versions,
                  const NodeId& peer,
                  const VersionMark& mark);
  void Tick(const FleetContext& context, const AppliedVersions& versions);
  void OnAnswer(const FleetContext& context,
                const PullReplied& answer,
                AppliedVersions* versions,
                Freshness* freshness);

 private:
  struct Source {
    NodeId peer;
    VersionMark mark;
  };

  /// \brief Pulls sent to one peer that have not ended. An answer does not say
  /// which of them it belongs to, so the earliest is assumed.
  struct Outstanding {
    MonoTime earliest_sent_at{};
    std::uint32_t count = 0;
  };

  void Send(const FleetContext& context, const AppliedVersions& versions);
  /// \brief Counts one outstanding pull of `peer` as ended.
  /// \returns A time no later than the one at which that pull was sent; unset
  /// if none is outstanding.
  [[nodiscard]] std::optional<MonoTime> EndOutstanding(const NodeId& peer);
  void Schedule(const FleetContext& context, Nanoseconds delay);
  void DropOutdatedSources(const AppliedVersions& versions);
  /// \returns Whether the update was usable: applied, or not newer than the
  /// version in force.
  [[nodiscard]] bool ApplyUpdate(const FleetContext& context,
                                 const ConfigUpdate& update,
                                 AppliedVersions* versions);

  /// Peers that hold a newer version; the first is asked next.
  std::deque<Source> sources_;
  std::optional<MonoTime> next_at_;
  std::optional<Source> in_flight_;
  MonoTime sent_at_{};
  std::map<NodeId, Outstanding> outstanding_;
  std::uint32_t failures_ = 0;
  /// Whether the last peer asked was at its rate limit.
  bool peer_busy_ = false;
};

/// \brief Answers pulls with a delta if one from the peer's version is held,
/// else with the full version at a bounded rate.
class VersionPullServer {
 public:
  [[nodiscard]] ConfigUpdate Answer(const FleetContext& context,
                                    const AppliedVersions& versions,
                                    const Freshness& freshness,
                                    const VersionMark& have);

 private:
  [[nodiscard]] bool TryAcquireToken(const FleetContext& context);

  /// When the last token in use becomes free again.
  MonoTime busy_until_{};
};

}  // namespace cassiabend
