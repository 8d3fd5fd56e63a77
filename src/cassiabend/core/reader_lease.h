#pragma once

#include <cstdint>
#include <string>

#include "cassiabend/core/dissemination_tree.h"
#include "cassiabend/core/fleet_context.h"
#include "cassiabend/core/pending_store_call.h"

namespace cassiabend {

/// \brief Acquires one of the zone's reader slots and holds it with a lease
/// in the store. The lease only limits the number of store calls: a holder that
/// was paused past its expiry does no harm, because version numbers alone
/// decide what is applied.
class ReaderLease {
 public:
  explicit ReaderLease(const Member& self);

  [[nodiscard]] bool is_held() const noexcept { return state_ == State::kHeld; }
  [[nodiscard]] std::uint32_t slot() const noexcept { return slot_; }

  /// \returns Whether this node should follow the head: it holds a lease, or
  /// it is a root of a zone in which no other member is known to hold one.
  [[nodiscard]] bool ShouldRead(const FleetContext& context,
                                const DisseminationTree& tree) const;

  void Tick(const FleetContext& context, const DisseminationTree& tree);
  /// \brief Handles a reply of the store.
  /// \returns Whether the reply belongs to a call of this lease.
  bool OnReply(const FleetContext& context, const StoreReplied& replied);
  /// \brief Drops the lease without a call: the store was restored from a copy
  /// and may give the same id to another node.
  void OnStoreRestored(const FleetContext& context);
  /// \brief Revokes the lease and stops trying to acquire one.
  void Release(const FleetContext& context);
  /// \returns The holder of the slot that was last found taken; empty for none
  /// or if it was already returned.
  [[nodiscard]] NodeId TakeObservedHolder();

 private:
  enum class State : std::uint8_t {
    kIdle,
    kReadingSlot,
    kGrantingLease,
    kClaimingSlot,
    kCheckingClaim,
    kHeld,
    kReleased,
  };

  [[nodiscard]] std::string SlotKey() const;
  void ReadSlot(const FleetContext& context);
  void TryNextSlot(const FleetContext& context, const StoreReply& reply);
  void Fail(const FleetContext& context);
  void EnterHeldState(const FleetContext& context);
  void DropLease(const FleetContext& context);
  void OnSlotRead(const FleetContext& context, const StoreReply& reply);
  void OnLeaseGranted(const FleetContext& context, const StoreReply& reply);
  void OnSlotClaimed(const FleetContext& context, const StoreReply& reply);
  void OnSlotTaken(const FleetContext& context, const StoreReply& reply);
  void OnClaimChecked(const FleetContext& context, const StoreReply& reply);
  void OnLeaseRenewed(const FleetContext& context, const StoreReply& reply);
  void Renew(const FleetContext& context);

  std::string zone_;
  /// Prefix of the value of a slot key that this process holds; the lease id
  /// follows.
  std::string claim_prefix_;
  State state_ = State::kIdle;
  std::uint32_t slot_ = 0;
  std::uint32_t slots_tried_ = 0;
  LeaseId lease_ = 0;
  /// When the newest grant or renewal that succeeded was sent.
  MonoTime valid_from_{};
  MonoTime call_sent_at_{};
  MonoTime started_at_{};
  MonoTime next_try_at_{};
  MonoTime next_renewal_at_{};
  PendingStoreCall pending_;
  StoreBackoff backoff_;
  StoreBackoff renewal_backoff_;
  NodeId observed_holder_;
};

}  // namespace cassiabend
