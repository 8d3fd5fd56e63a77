#pragma once

#include "cassiabend/core/fleet_context.h"

namespace cassiabend {

/// \brief Notices that this node's member list differs from its peers' and
/// asks for a whole list.
///
/// Gossip sends each statement a bounded number of times, so a node may miss
/// one. Every datagram carries a digest of the sender's live members; when
/// `kMismatches` in a row differ from this node's, the sender of the last is
/// asked. A node whose list is whole differs from few of its peers and asks
/// nobody. Requests are spaced by a pause that doubles until a digest agrees.
class MemberSync {
 public:
  /// \brief Takes the comparison with one datagram's digest.
  void OnDigest(const FleetContext& context, const NodeId& peer, bool equal);

 private:
  static constexpr int kMismatches = 12;
  static constexpr Nanoseconds kFirstPause = Seconds(5);
  static constexpr Nanoseconds kLongestPause = Seconds(60);

  int mismatches_ = 0;
  Nanoseconds pause_ = kFirstPause;
  MonoTime next_request_at_{};
};

}  // namespace cassiabend
