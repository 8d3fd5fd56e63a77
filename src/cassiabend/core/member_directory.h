#pragma once

#include <optional>
#include <vector>

#include "cassiabend/core/fleet_context.h"
#include "cassiabend/core/membership.h"
#include "cassiabend/core/pending_store_call.h"

namespace cassiabend {

/// \brief Keeps this node's address in the store under a key of its own, bound
/// to a lease, and lists the keys of other nodes while this node knows no peer.
///
/// A node writes its key before it lists the others, so that of any two nodes
/// that start together at least one finds the other. Inactive unless
/// `FleetOptions::member_lease` is set.
class MemberDirectory {
 public:
  /// \brief Sends the store calls that are due.
  /// \param knows_peers Whether the node has joined; it lists keys only before.
  void Tick(const FleetContext& context,
            const Membership& membership,
            bool knows_peers);
  /// \brief Handles a reply of the store.
  /// \returns Whether the reply belongs to a call of this class.
  bool OnReply(const FleetContext& context, const StoreReplied& replied);
  /// \brief Writes this node's key again under a new lease within some seconds:
  /// the store was restored from a copy, so the key may be gone and the lease
  /// may be another node's. The nodes of a fleet spread these calls.
  /// \param nodes Number of nodes in the fleet.
  void OnStoreRestored(const FleetContext& context, std::size_t nodes);
  /// \brief Revokes the lease, which deletes the key, and stops for good.
  void Release(const FleetContext& context);
  /// \returns The addresses listed since the last call of this function.
  [[nodiscard]] std::vector<NodeId> TakeListedPeers();

 private:
  enum class Step : std::uint8_t {
    kGrant,
    kWrite,
    kHeld,
    kReleased,
  };

  void OnWritten(const FleetContext& context, const StoreReply& reply);
  void OnRenewed(const FleetContext& context, const StoreReply& reply);
  void OnListed(const StoreReply& reply);
  /// \brief Schedules the next call after a failed one, with backoff.
  void ScheduleRetry(const FleetContext& context);

  Step step_ = Step::kGrant;
  LeaseId lease_ = 0;
  MonoTime next_at_{};
  PendingStoreCall pending_;
  StoreBackoff backoff_;
  PendingStoreCall listing_;
  MonoTime next_list_at_{};
  StoreBackoff list_backoff_;
  /// Whether the first attempt to write this node's key has succeeded or
  /// failed.
  bool write_attempted_ = false;
  std::vector<NodeId> listed_;
};

}  // namespace cassiabend
