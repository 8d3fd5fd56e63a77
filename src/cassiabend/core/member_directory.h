#pragma once

#include <optional>
#include <vector>

#include "cassiabend/core/fleet_context.h"
#include "cassiabend/core/fleet_store.h"
#include "cassiabend/core/membership.h"

namespace cassiabend {

/// \brief Keeps this node's address in the store under a key of its own, on a
/// lease, and lists the others' keys while this node knows no peer. A node
/// writes before it lists, so that of any two nodes that start together one
/// finds the other. Idle unless `FleetOptions::member_lease` is set.
class MemberDirectory {
 public:
  void Tick(const FleetContext& context,
            const Membership& membership,
            bool knows_peers);
  /// \brief Takes an answer of the store.
  /// \returns Whether the answer was to a call of this part.
  bool OnReply(const FleetContext& context, const StoreReplied& replied);
  /// \brief Ends the lease, with which the key goes.
  void Release(const FleetContext& context);
  /// \returns The members listed since the last call.
  [[nodiscard]] std::vector<NodeId> TakeListed();

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
  void Fail(const FleetContext& context);

  Step step_ = Step::kGrant;
  LeaseId lease_ = 0;
  MonoTime next_at_{};
  StorePending pending_;
  StoreBackoff backoff_;
  StorePending listing_;
  MonoTime next_list_at_{};
  StoreBackoff list_backoff_;
  /// Whether a first attempt to write the own key has ended.
  bool tried_to_write_ = false;
  std::vector<NodeId> listed_;
};

}  // namespace cassiabend
