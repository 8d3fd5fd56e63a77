#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "cassiabend/core/fleet_context.h"
#include "cassiabend/core/freshness.h"
#include "cassiabend/core/spread_versions.h"

namespace cassiabend {

/// \brief Fetches versions that peers were seen to have and this node lacks:
/// one pull at a time, after a short jitter, from another peer after a failure.
class SpreadPull {
 public:
  /// \brief Notes that `peer` holds `mark`.
  void Notice(const FleetContext& context,
              const SpreadVersions& versions,
              const NodeId& peer,
              const VersionMark& mark);
  void Tick(const FleetContext& context, const SpreadVersions& versions);
  void OnAnswer(const FleetContext& context,
                const PullAnswered& answer,
                SpreadVersions* versions,
                Freshness* freshness);

 private:
  struct Source {
    NodeId peer;
    VersionMark mark;
  };

  /// \brief Pulls sent to one peer whose answers or failures are still to come.
  /// An answer does not say which of them it belongs to.
  struct Outstanding {
    MonoTime earliest_sent_at{};
    std::uint32_t count = 0;
  };

  void Send(const FleetContext& context, const SpreadVersions& versions);
  /// \returns When the pull that `peer` answers was sent, at the latest.
  [[nodiscard]] std::optional<MonoTime> TakeOutstanding(const NodeId& peer);
  void Schedule(const FleetContext& context, Nanoseconds delay);
  void DropUseless(const SpreadVersions& versions);
  [[nodiscard]] bool Take(const FleetContext& context,
                          const ConfigUpdate& update,
                          SpreadVersions* versions);

  /// Peers that hold a newer version; the first is asked next.
  std::deque<Source> sources_;
  std::optional<MonoTime> next_at_;
  std::optional<Source> in_flight_;
  MonoTime sent_at_{};
  std::map<NodeId, Outstanding> outstanding_;
  std::uint32_t failures_ = 0;
  /// Whether the last peer asked was at its limit.
  bool peer_busy_ = false;
};

/// \brief Answers pulls: with a delta where one is held, else with the whole
/// value at a bounded rate.
class SpreadPullServer {
 public:
  [[nodiscard]] ConfigUpdate Answer(const FleetContext& context,
                                    const SpreadVersions& versions,
                                    const Freshness& freshness,
                                    const VersionMark& have);

 private:
  [[nodiscard]] bool TakeToken(const FleetContext& context);

  /// When the last of the tokens in use is free again.
  MonoTime busy_until_{};
};

}  // namespace cassiabend
