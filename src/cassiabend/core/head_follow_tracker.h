#pragma once

#include <optional>

#include "cassiabend/core/dissemination_tree.h"
#include "cassiabend/core/fleet_context.h"

namespace cassiabend {

/// \brief Tracks whether changes of the head reach this node: it follows the
/// head itself, or it receives heartbeats from a node that does so directly or
/// through its parents in the dissemination tree. A node with neither reads the
/// head itself, so that the loss of a zone's reader delays no change, even
/// before the zone has detected the loss.
class HeadFollowTracker {
 public:
  /// \returns Time since this node or one above it in the tree was known to
  /// follow the head, rounded up; unset for never.
  [[nodiscard]] std::optional<Milliseconds> AgeAt(MonoTime now) const;
  /// \brief Records how long ago the sender of a heartbeat followed the head.
  void OnHeartbeat(const FleetContext& context, const HeartbeatBody& heartbeat);
  /// \param is_following Whether this node's own watch of the head works.
  /// \returns Whether this node should read the head itself.
  [[nodiscard]] bool Update(const FleetContext& context,
                            const DisseminationTree& tree,
                            bool is_following);

 private:
  std::optional<MonoTime> followed_at_;
  /// When this node starts to read the head itself, unless a heartbeat reports
  /// a follower before.
  std::optional<MonoTime> read_head_at_;
  std::uint64_t tree_version_ = 0;
};

}  // namespace cassiabend
