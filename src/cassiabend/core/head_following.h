#pragma once

#include <optional>

#include "cassiabend/core/dissemination_tree.h"
#include "cassiabend/core/fleet_context.h"

namespace cassiabend {

/// \brief Tells whether changes of the head reach this node: because it follows
/// the head itself, or because beats come from a node that does or that is
/// below one. A node without either reads the head itself, so that the loss of
/// a zone's reader delays no change until the zone has noticed.
class HeadFollowing {
 public:
  /// \returns Time since the head was followed, here or above; unset for never.
  [[nodiscard]] std::optional<Milliseconds> AgeAt(MonoTime now) const;
  /// \brief Takes a beat.
  void OnBeat(const FleetContext& context, const HeartbeatBody& beat);
  /// \param follows Whether this node's own watch of the head works.
  /// \returns Whether this node should read the head itself.
  [[nodiscard]] bool Update(const FleetContext& context,
                            const DisseminationTree& tree,
                            bool follows);

 private:
  std::optional<MonoTime> followed_at_;
  /// When this node reads by itself, unless it hears of a follower.
  std::optional<MonoTime> reads_from_;
  std::uint64_t tree_version_ = 0;
};

}  // namespace cassiabend
