#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "cassiabend/core/call_context.h"
#include "cassiabend/core/timer_queue.h"

namespace cassiabend {

/// \brief Identifies an order: the hash of its team, service and key.
using OrderId = Id128;

/// \returns The order of an attempt; unset if that is repeatable or has no key.
[[nodiscard]] std::optional<OrderId> OrderOf(const AttemptRequest& request);

/// \brief How claiming an order for an attempt ended.
enum class ClaimResult : std::uint8_t {
  /// The attempt owns the order: it may start, once.
  kClaimed,
  /// Another attempt claimed the order and may have run it.
  kTaken,
  /// The store did not confirm the claim; the attempt must not start.
  kUnavailable,
};

struct ClaimOutcome {
  AttemptId attempt;
  ClaimResult result = ClaimResult::kUnavailable;

  [[nodiscard]] bool operator==(const ClaimOutcome&) const = default;
};

/// \brief Claims orders in the store before they run. Each order has one key
/// there, created by compare-and-swap. The value of a claim names the attempt,
/// and its lease outlives `order_memory` from the latest start of the attempt.
/// The claim of an attempt that provably did not run is deleted; until it is,
/// this node may take it over. If the revision of the store goes back, as after
/// a restore from a backup, claims may be missing, and no order is claimed for
/// `order_memory`.
class OrderClaims {
 public:
  explicit OrderClaims(CallContext* context)
      : context_(context), tokens_(context->options.order_claims_per_second) {}

  [[nodiscard]] std::size_t size() const noexcept { return orders_.size(); }
  /// \returns The attempt of this node that claims or owns the order, or owned
  /// it and ran; unset for none.
  [[nodiscard]] std::optional<AttemptId> OwnerOf(const OrderId& order) const;
  /// \returns Whether the store is expected to answer a claim made now.
  [[nodiscard]] bool is_available() const noexcept;
  /// \returns Whether this node's rate and memory allow one more claim.
  [[nodiscard]] bool has_room() const noexcept;
  /// \returns Whether no store call for an order is in progress.
  [[nodiscard]] bool is_idle() const noexcept { return by_sequence_.empty(); }
  /// \returns The outcomes since the last call of this method.
  [[nodiscard]] std::vector<ClaimOutcome> TakeOutcomes();

  /// \brief Starts to claim `order`, which has no owner. `TakeOutcomes` returns
  /// the outcome later.
  void Claim(const OrderId& order, const AttemptId& attempt);
  /// \brief Releases an order whose attempt provably did not run.
  void Release(const OrderId& order);
  /// \brief Handles the replies to this class's store calls.
  void Reduce(const StoreReplied& event);
  /// \brief Refills the rate limit and handles the timers that have expired.
  void Tick();

 private:
  enum class Step : std::uint8_t { kIdle, kGet, kSwap, kDelete };

  struct Order : TimerEntry {
    OrderId id;
    /// The attempt that claims or owns the order; unset while it is released.
    std::optional<AttemptId> owner;
    bool claimed = false;
    /// Attempts of this node that did not run but whose claim may still be
    /// stored.
    std::vector<AttemptId> released;
    /// Revision and owner of the claim as last seen in the store; 0 and unset
    /// if it is absent.
    StoreRevision revision = 0;
    std::optional<AttemptId> stored_owner;
    /// Owner in the newest write.
    std::optional<AttemptId> written_owner;
    /// Whether a write of this node may have taken effect.
    bool maybe_stored = false;
    Step step = Step::kIdle;
    /// Sequence number of the store call in progress, and when it was sent.
    std::uint64_t sequence = 0;
    MonoTime sent_at{};
    /// When the lease of the newest write was requested.
    MonoTime lease_at{};
    std::uint32_t failures = 0;
    std::uint32_t conflicts = 0;
    /// When the order is forgotten.
    MonoTime forget_at{};
  };

  [[nodiscard]] Milliseconds LeaseTtl() const;
  [[nodiscard]] bool HasLease() const;
  void RequestLease();
  void OnLeaseReply(const StoreReply& reply);

  void DetectStoreRollback(const Order& order, const StoreReply& reply);

  [[nodiscard]] bool IsReleased(const Order& order, const AttemptId& id) const;
  void Advance(Order* order);
  void AdvanceClaim(Order* order);
  void AdvanceRelease(Order* order);
  void Send(Order* order, Step step, StoreRequest request);
  void OnStoreReply(Order* order, Step step, const StoreReply& reply);
  void OnEntryRead(Order* order, const StoreReply& reply);
  void OnClaimDeleted(Order* order);
  void OnClaimWritten(Order* order, const StoreReply& reply);
  void OnStoreCallFailed(Order* order, StoreStatus status);
  void FailClaim(Order* order, ClaimResult result);
  void RefillTokens();
  void OnTimerExpired(Order* order);
  void Erase(Order* order);

  CallContext* context_;
  std::unordered_map<OrderId, Order, Id128Hasher> orders_;
  std::unordered_map<std::uint64_t, OrderId> by_sequence_;
  TimerQueue<Order> timers_;
  std::vector<ClaimOutcome> outcomes_;
  std::uint64_t next_sequence_ = 1;
  /// The lease for new claims; 0 for none.
  LeaseId lease_ = 0;
  /// When `lease_` was requested. Its age counts from then, since the store may
  /// have granted it at any time after that.
  MonoTime current_lease_requested_at_{};
  /// Sequence number of the lease request in progress; 0 for none.
  std::uint64_t lease_sequence_ = 0;
  /// When the lease request in progress was sent; not used without one.
  MonoTime pending_lease_requested_at_{};
  std::vector<OrderId> waiting_for_lease_;
  /// No order is claimed until then, since the store refused a call or did not
  /// answer one.
  MonoTime unavailable_until_{};
  /// No order is claimed until then, since the store's revision went back and
  /// claims may be missing.
  MonoTime restored_until_{};
  /// Newest known revision of the store, and when it was seen.
  StorePosition store_position_;
  MonoTime store_position_at_{};
  /// Tokens of the rate limit: claims that may be started now.
  double tokens_;
  MonoTime refilled_at_{};
};

}  // namespace cassiabend
