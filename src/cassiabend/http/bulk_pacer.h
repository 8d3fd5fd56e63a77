#pragma once

#include <boost/intrusive/list.hpp>
#include <cstddef>
#include <cstdint>
#include <tuple>

#include "cassiabend/base/clock.h"

namespace cassiabend {

/// \brief Paces large answers below the capacity of this host's network link,
/// so that small answers never queue behind them in the link. Works as a token
/// bucket whose tokens are bytes.
///
/// The answer with the earliest due time is sent first; of those with the same
/// one, the answer that began first. So an answer that was admitted because it
/// could be sent in time is sent in time, whatever is admitted after it. The
/// others send a little at intervals, so that no receiver takes its answer for
/// lost.
class BulkPacer {
 public:
  /// \brief An answer that may wait for the link; leaves the queue when
  /// destroyed.
  class Waiter
      : public boost::intrusive::list_base_hook<
            boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
   public:
    Waiter() = default;
    Waiter(const Waiter&) = delete;
    Waiter& operator=(const Waiter&) = delete;
    virtual ~Waiter() = default;

    /// \param due When the receiver should have all of the answer; the maximum
    /// for no due time.
    void set_due(MonoTime due) noexcept { due_ = due; }

    /// \brief The waiter has left the queue and may call `Acquire` again.
    virtual void OnSendAllowed() = 0;

   private:
    friend class BulkPacer;

    /// \returns Whether it is sent before `other`.
    [[nodiscard]] bool IsBefore(const Waiter& other) const noexcept {
      return std::tie(due_, sequence_) < std::tie(other.due_, other.sequence_);
    }

    MonoTime due_ = MonoTime::max();
    /// Order of the first calls of `Acquire`; 0 before the first.
    std::uint64_t sequence_ = 0;
    /// When it last got bytes.
    MonoTime served_at_{};
  };

  /// \param link_kilobits Capacity of the link in kilobits per second; 0:
  /// unknown, and nothing is paced.
  BulkPacer(const Clock& clock, std::uint32_t link_kilobits);

  /// \returns Bytes that `waiter` may send now, at most `wanted`. If 0, the
  /// waiter is queued and called when it may send.
  [[nodiscard]] std::size_t Acquire(Waiter* waiter, std::size_t wanted);
  /// \brief Counts bytes that were sent without pacing; large answers get
  /// that much less.
  void ChargeUnpaced(std::size_t bytes) noexcept;
  /// \brief Counts bytes of large answers that are to be sent.
  void AddPending(std::uint64_t bytes) noexcept { pending_bytes_ += bytes; }
  /// \brief Subtracts pending bytes that were sent or will not be sent.
  void RemovePending(std::uint64_t bytes) noexcept { pending_bytes_ -= bytes; }
  /// \returns Bytes per second that recent unpaced sending leaves for large
  /// answers; 0: unknown.
  [[nodiscard]] std::uint64_t rate() const noexcept;
  /// \returns Bytes per second for large messages when nothing else is sent; 0:
  /// unknown.
  [[nodiscard]] std::uint64_t idle_rate() const noexcept {
    return static_cast<std::uint64_t>(rate_);
  }
  /// \returns Bytes of large answers that are still to be sent.
  [[nodiscard]] std::uint64_t pending_bytes() const noexcept {
    return pending_bytes_;
  }
  [[nodiscard]] MonoTime now() const { return clock_.Now().mono; }
  /// \brief Calls the waiters that may send now; to be called about every
  /// 20 ms.
  void Tick();

 private:
  using Waiters =
      boost::intrusive::list<Waiter,
                             boost::intrusive::constant_time_size<false>>;

  void Refill();
  /// \returns Whether there are enough tokens for a write.
  [[nodiscard]] bool HasTokens() const noexcept;
  void Enqueue(Waiter* waiter);
  /// \returns Bytes that the waiter may take now; 0 when there are too few
  /// tokens or others are ahead.
  [[nodiscard]] std::size_t AllowanceFor(const Waiter& waiter,
                                         std::size_t wanted) const noexcept;
  /// \brief Lets waiters that got nothing for long send a little, even without
  /// tokens.
  void ServeStarved();
  void Serve(Waiter* waiter, std::size_t bytes);

  const Clock& clock_;
  /// Tokens per second; 0: no limit.
  double rate_;
  /// Tokens in the bucket, in bytes; negative when more was sent.
  double tokens_;
  /// When tokens were last added.
  MonoTime refilled_at_;
  /// Bytes sent without pacing since `refilled_at_`, and their moving average
  /// per second.
  double unpaced_bytes_ = 0;
  double unpaced_rate_ = 0;
  std::uint64_t pending_bytes_ = 0;
  std::uint64_t last_sequence_ = 0;
  /// Sorted by `IsBefore`.
  Waiters waiters_;
  /// The waiter being called, until it has taken its chunk.
  const Waiter* served_ = nullptr;
  /// Bytes of that chunk.
  std::size_t chunk_bytes_ = 0;
};

}  // namespace cassiabend
