#pragma once

#include <map>

#include "cassiabend/core/fleet_context.h"

namespace cassiabend {

/// \brief Notices that this node's member list differs from a peer's and asks
/// that peer for its whole list.
///
/// Gossip sends each statement a bounded number of times, so a node may miss
/// one. Every datagram carries a digest of the sender's live members. Gossip
/// makes lists equal within seconds; a peer whose digest still differs after
/// `kPatience` is asked. Each peer counts alone, so nodes that lack the same
/// member and agree with each other still ask those that know it. Requests
/// are spaced by a pause that doubles until a peer that differed agrees.
class MemberSync {
 public:
  /// \brief Takes the comparison with one datagram's digest.
  void OnDigest(const FleetContext& context, const NodeId& peer, bool equal);

 private:
  /// \brief One peer whose digest differs.
  struct Difference {
    MonoTime since{};
    int datagrams = 0;
  };

  static constexpr Nanoseconds kPatience = Seconds(5);
  static constexpr int kLeastDatagrams = 3;
  static constexpr Nanoseconds kFirstPause = Seconds(5);
  static constexpr Nanoseconds kLongestPause = Seconds(60);
  static constexpr std::size_t kMaxPeers = 64;

  std::map<NodeId, Difference> differing_;
  Nanoseconds pause_ = kFirstPause;
  MonoTime next_request_at_{};
};

}  // namespace cassiabend
