#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cassiabend/core/dissemination_tree.h"
#include "cassiabend/core/fleet_context.h"
#include "cassiabend/core/membership.h"
#include "cassiabend/core/pending_store_call.h"

namespace cassiabend {

/// \brief Finds the peers of a starting node, which keeps no state across
/// restarts, through the seed addresses of its settings and those that the
/// store holds. Once joined, a root also syncs member lists with other zones
/// periodically.
class Join {
 public:
  /// \returns Whether this node has received a member list and still knows a
  /// live member.
  [[nodiscard]] bool joined() const noexcept { return joined_; }

  void Tick(const FleetContext& context,
            const DisseminationTree& tree,
            const Membership& membership);
  /// \brief Handles a reply of the store.
  /// \returns Whether the reply belongs to a call of this class.
  bool OnReply(const FleetContext& context,
               const StoreReplied& replied,
               const Membership& membership);
  /// \brief Handles the member list of a peer; the first one completes the
  /// join.
  void OnMembers(const FleetContext& context,
                 const MembersReplied& answer,
                 Membership* membership);
  /// \brief Handles the member addresses that the store lists: contacts some of
  /// them, now and until the node has joined.
  void OnPeersListed(const FleetContext& context,
                     std::vector<NodeId> peers,
                     const Membership& membership);
  /// \brief Contacts some of `peers` that are not known members.
  void ContactUnknown(const FleetContext& context,
                      const std::vector<NodeId>& peers,
                      const Membership& membership);

 private:
  /// \brief Exchanges records with a peer and requests its member list.
  void Contact(const FleetContext& context, const NodeId& peer) const;
  /// \brief Contacts up to `kParallelContacts` random ones of `peers`.
  void ContactSome(const FleetContext& context,
                   const std::vector<NodeId>& peers,
                   const Membership& membership) const;
  void DiscoverPeers(const FleetContext& context, const Membership& membership);
  /// \brief Requests the member list of a root of another zone, if this node is
  /// a root and a sync is due.
  void SyncWithOtherZone(const FleetContext& context,
                         const DisseminationTree& tree,
                         const Membership& membership);

  bool joined_ = false;
  /// Peer addresses found in the store.
  std::vector<NodeId> store_peers_;
  /// Whether the zone's key in the store was read last, so that the key of the
  /// whole fleet is next.
  bool zone_key_read_ = false;
  PendingStoreCall seed_read_;
  StoreBackoff backoff_;
  std::optional<MonoTime> next_read_at_;
  MonoTime next_contact_at_{};
  /// Members still to ask for their lists after joining; 0 once an answer held
  /// nothing new.
  std::uint32_t contacts_left_ = 0;
  std::optional<MonoTime> next_sync_at_;
  /// Root of another zone that was last asked for its member list.
  NodeId sync_peer_;
};

}  // namespace cassiabend
