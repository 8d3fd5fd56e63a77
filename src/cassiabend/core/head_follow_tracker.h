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
///
/// A watch that waits does not show whether it still works. So a reader relies
/// on it only while it hears another reader, which would tell it of a change,
/// or while the store has just answered a read.
class HeadFollowTracker {
 public:
  /// \returns Time since this node or one above it in the tree was known to
  /// follow the head, rounded up; unset for never.
  [[nodiscard]] std::optional<Milliseconds> AgeAt(MonoTime now) const;
  /// \brief Records how long ago the sender of a heartbeat followed the head.
  /// \param is_from_reader Whether the sender reads the head for its zone.
  void OnHeartbeat(const FleetContext& context,
                   const HeartbeatBody& heartbeat,
                   bool is_from_reader);
  /// \param is_reading Whether this node reads the head without failures.
  /// \param last_read_at When the newest of these reads was sent.
  /// \param has_other_readers Whether there are others that can be reached.
  /// \returns Whether this node should read the head itself.
  [[nodiscard]] bool Update(const FleetContext& context,
                            const DisseminationTree& tree,
                            bool is_reading,
                            std::optional<MonoTime> last_read_at,
                            bool has_other_readers);
  /// \returns When a reader has to verify the head, as the others that would
  /// tell it of a change are silent; unset while there are no others.
  /// \param last_read_at When its newest read was sent.
  [[nodiscard]] std::optional<MonoTime> VerifyAloneAt(
      const FleetContext& context,
      std::optional<MonoTime> last_read_at) const;

 private:
  std::optional<MonoTime> followed_at_;
  /// When another reader that follows the head was last heard.
  std::optional<MonoTime> witness_at_;
  bool has_other_readers_ = false;
  /// When this node starts to read the head itself, unless a heartbeat reports
  /// a follower before.
  std::optional<MonoTime> read_head_at_;
  std::uint64_t tree_version_ = 0;
};

}  // namespace cassiabend
