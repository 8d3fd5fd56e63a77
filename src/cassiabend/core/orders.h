#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "cassiabend/core/call_context.h"
#include "cassiabend/core/call_timer.h"

namespace cassiabend {

/// \brief Names one order: the hash of its team, service and key.
using OrderId = Id128;

/// \returns The order of an attempt; unset when it has no key to keep.
[[nodiscard]] std::optional<OrderId> OrderOf(const AttemptRequest& request);

/// \brief How the claim of an order for an attempt ended.
enum class ClaimResult : std::uint8_t {
  /// The order is this attempt's: it may start, once.
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

/// \brief Claims orders in the store before they run, one key for each order,
/// created by compare-and-swap. A claim names the attempt and ends by a lease
/// that outlives `order_memory` from the latest start. The claim of an attempt
/// that was proved not run is deleted; until it is, this node may take it over.
/// Once the store is seen to have gone back, as after it was restored from a
/// copy, claims may be missing, and none is made for `order_memory`.
class OrderLedger {
 public:
  explicit OrderLedger(CallContext* context)
      : context_(context), tokens_(context->options.order_claims_per_second) {}

  [[nodiscard]] std::size_t size() const noexcept { return orders_.size(); }
  /// \returns The attempt of this node that has the order, or had it and ran;
  /// unset when none.
  [[nodiscard]] std::optional<AttemptId> OwnerOf(const OrderId& order) const;
  /// \returns Whether a claim made now has a chance in the store.
  [[nodiscard]] bool is_available() const noexcept;
  /// \returns Whether this node's rate and memory allow one more claim.
  [[nodiscard]] bool has_room() const noexcept;
  /// \returns Whether no call to the store is under way.
  [[nodiscard]] bool is_idle() const noexcept { return by_sequence_.empty(); }
  /// \returns Outcomes since the last call of this method.
  [[nodiscard]] std::vector<ClaimOutcome> TakeOutcomes();

  /// \brief Begins to claim `order`, which has no owner. The outcome follows.
  void Claim(const OrderId& order, const AttemptId& attempt);
  /// \brief Gives the order up: its attempt is proved not run.
  void Release(const OrderId& order);
  /// \brief Answers the store's replies to this class's calls.
  void Reduce(const StoreReplied& event);
  /// \brief Answers the time that has passed.
  void Tick();

 private:
  enum class Step : std::uint8_t { kIdle, kGet, kSwap, kDelete };

  struct Order : TimerEntry {
    OrderId id;
    /// The attempt that wants or has the order; unset while it is given up.
    std::optional<AttemptId> owner;
    bool claimed = false;
    /// Attempts of this node whose claim may still stand though they did not
    /// run.
    std::vector<AttemptId> released;
    /// The claim as it was last seen; revision 0 for absent.
    StoreRevision revision = 0;
    std::optional<AttemptId> stored_owner;
    /// Owner that the newest write names.
    std::optional<AttemptId> written_owner;
    /// Whether a write of this node may have taken effect.
    bool maybe_stored = false;
    Step step = Step::kIdle;
    /// Sequence of the call that is under way, and when it was sent.
    std::uint64_t sequence = 0;
    MonoTime sent_at{};
    /// When the lease of the call under way was asked for.
    MonoTime lease_at{};
    std::uint32_t failures = 0;
    std::uint32_t conflicts = 0;
    /// When the order is forgotten.
    MonoTime forget_at{};
  };

  [[nodiscard]] Milliseconds LeaseTtl() const;
  [[nodiscard]] bool HasLease() const;
  void AskLease();
  void TakeLease(const StoreReply& reply);

  void WatchRevision(const Order& order, const StoreReply& reply);

  [[nodiscard]] bool IsOwn(const Order& order, const AttemptId& id) const;
  void Advance(Order* order);
  void AdvanceClaim(Order* order);
  void AdvanceRelease(Order* order);
  void Send(Order* order, Step step, StoreRequest request);
  void TakeReply(Order* order, Step step, const StoreReply& reply);
  void TakeEntry(Order* order, const StoreReply& reply);
  void TakeDeleted(Order* order);
  void TakeSwapped(Order* order, const StoreReply& reply);
  void TakeFailure(Order* order, StoreStatus status);
  void Fail(Order* order, ClaimResult result);
  void Refill();
  void Expire(Order* order);
  void Erase(Order* order);

  CallContext* context_;
  std::unordered_map<OrderId, Order, Id128Hasher> orders_;
  std::unordered_map<std::uint64_t, OrderId> by_sequence_;
  TimerQueue<Order> timers_;
  std::vector<ClaimOutcome> outcomes_;
  std::uint64_t next_sequence_ = 1;
  LeaseId lease_ = 0;
  /// When `lease_` was asked for.
  MonoTime lease_at_{};
  std::uint64_t lease_sequence_ = 0;
  MonoTime lease_asked_at_{};
  std::vector<OrderId> waiting_for_lease_;
  /// The store refused or did not answer; claims wait until then.
  MonoTime unavailable_until_{};
  /// The store went back; claims may be missing until then.
  MonoTime restored_until_{};
  /// Highest revision of the store that was seen, and when.
  StoreRevision store_revision_ = 0;
  MonoTime store_revision_at_{};
  /// Claims that may be begun at once.
  double tokens_;
  MonoTime refilled_at_{};
};

}  // namespace cassiabend
