#pragma once

#include <map>

#include "cassiabend/core/fleet_context.h"

namespace cassiabend {

/// \brief Detects that this node's member list differs from a peer's, and
/// requests the whole list from that peer (anti-entropy).
///
/// Gossip sends each record a bounded number of times, so a node may miss one.
/// Every datagram carries a digest of the sender's live members. Gossip
/// makes lists equal within seconds; a peer whose digest still differs after
/// `kMinDifferenceAge` is asked for its list. Each peer is tracked separately,
/// so nodes that lack the same member and agree with each other still ask the
/// nodes that know it. Requests are spaced by a pause that doubles until a peer
/// that differed agrees.
class MemberSync {
 public:
  /// \brief Handles the digest of one datagram.
  /// \param equal Whether it equals this node's own digest.
  void OnDigest(const FleetContext& context, const NodeId& peer, bool equal);

 private:
  /// \brief A peer whose digest has differed without interruption.
  struct Difference {
    MonoTime since{};
    int datagrams = 0;
  };

  static constexpr Nanoseconds kMinDifferenceAge = Seconds(5);
  static constexpr int kMinDatagrams = 3;
  static constexpr Nanoseconds kInitialPause = Seconds(5);
  static constexpr Nanoseconds kMaxPause = Seconds(60);
  static constexpr std::size_t kMaxPeers = 64;

  std::map<NodeId, Difference> differing_;
  Nanoseconds pause_ = kInitialPause;
  MonoTime next_request_at_{};
};

}  // namespace cassiabend
