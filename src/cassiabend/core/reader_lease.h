#pragma once

#include <cstdint>
#include <string>

#include "cassiabend/core/dissemination_tree.h"
#include "cassiabend/core/fleet_context.h"
#include "cassiabend/core/pending_store_call.h"

namespace cassiabend {

/// \brief Tries for one of the zone's reader slots and holds it by a lease of
/// the store. The lease only saves calls: a holder that was paused past its
/// lease does no harm, because versions alone decide what is applied.
class ReaderLease {
 public:
  explicit ReaderLease(const Member& self);

  [[nodiscard]] bool holds() const noexcept { return state_ == State::kHeld; }
  [[nodiscard]] std::uint32_t slot() const noexcept { return slot_; }

  /// \returns Whether this node should follow the head: it holds a lease, or
  /// it is a root of a zone in which nobody is known to hold one.
  [[nodiscard]] bool ShouldRead(const FleetContext& context,
                                const DisseminationTree& tree) const;

  void Tick(const FleetContext& context, const DisseminationTree& tree);
  /// \brief Takes an answer of the store.
  /// \returns Whether the answer was to a call of this lease.
  bool OnReply(const FleetContext& context, const StoreReplied& replied);
  /// \brief Gives the lease back and tries for none any more.
  void Release(const FleetContext& context);
  /// \brief The holder of a slot that this node found taken; empty for none.
  [[nodiscard]] NodeId TakeSeenHolder();

 private:
  enum class State : std::uint8_t {
    kIdle,
    kLooking,
    kGranting,
    kClaiming,
    kChecking,
    kHeld,
    kReleased,
  };

  [[nodiscard]] std::string SlotKey() const;
  void Look(const FleetContext& context);
  void NextSlot(const FleetContext& context, const StoreReply& reply);
  void Fail(const FleetContext& context);
  void Hold(const FleetContext& context);
  void Lapse(const FleetContext& context);
  void OnLooked(const FleetContext& context, const StoreReply& reply);
  void OnGranted(const FleetContext& context, const StoreReply& reply);
  void OnClaimed(const FleetContext& context, const StoreReply& reply);
  void OnTaken(const FleetContext& context, const StoreReply& reply);
  void OnChecked(const FleetContext& context, const StoreReply& reply);
  void OnRenewed(const FleetContext& context, const StoreReply& reply);
  void Renew(const FleetContext& context);

  std::string zone_;
  /// Start of the value of a slot key held by this process; the lease follows.
  std::string claim_;
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
  NodeId seen_holder_;
};

}  // namespace cassiabend
