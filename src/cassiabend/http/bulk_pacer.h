#pragma once

#include <boost/intrusive/list.hpp>
#include <cstddef>
#include <cstdint>
#include <tuple>

#include "cassiabend/base/clock.h"

namespace cassiabend {

/// \brief Shares this host's link between large answers, below its width, so
/// that small answers never wait in the link behind a queue of large ones.
///
/// The answer that is due first goes first, and of those due together the one
/// that began first: what was admitted because it could leave in time does so,
/// however much comes behind it. The others send a little now and then, so that
/// none of them looks silent to its receiver.
class BulkPacer {
 public:
  /// \brief An answer that waits for its turn; leaves when destroyed.
  class Waiter
      : public boost::intrusive::list_base_hook<
            boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
   public:
    Waiter() = default;
    Waiter(const Waiter&) = delete;
    Waiter& operator=(const Waiter&) = delete;
    virtual ~Waiter() = default;

    /// \param due When the receiver should have the whole; the maximum for no
    /// particular time.
    void set_due(MonoTime due) noexcept { due_ = due; }

    /// \brief There is room on the link: `Take` may be called again.
    virtual void OnTurn() = 0;

   private:
    friend class BulkPacer;

    /// \returns Whether it goes before `other`.
    [[nodiscard]] bool IsBefore(const Waiter& other) const noexcept {
      return std::tie(due_, number_) < std::tie(other.due_, other.number_);
    }

    MonoTime due_ = MonoTime::max();
    /// Order of the first calls of `Take`; 0 before.
    std::uint64_t number_ = 0;
    /// When it was given room last.
    MonoTime served_at_{};
  };

  /// \param link_kilobits Width of the link, per second; 0: it is not known,
  /// and nothing waits.
  BulkPacer(const Clock& clock, std::uint32_t link_kilobits);

  /// \returns Bytes that may be sent now, at most `wanted`. When there are
  /// none, the waiter is called once there are.
  [[nodiscard]] std::size_t Take(Waiter* waiter, std::size_t wanted);
  /// \brief Notes bytes that were sent without waiting: the large answers make
  /// room for them.
  void Charge(std::size_t bytes) noexcept;
  /// \brief Notes bytes of large answers that are to be sent, and that were
  /// sent or will not be.
  void Expect(std::uint64_t bytes) noexcept { expected_ += bytes; }
  void Settle(std::uint64_t bytes) noexcept { expected_ -= bytes; }
  /// \returns Bytes a second that large answers can have beside what has lately
  /// been sent without waiting; 0: it is not known.
  [[nodiscard]] std::uint64_t rate() const noexcept;
  /// \returns Bytes of large answers that wait to be sent.
  [[nodiscard]] std::uint64_t expected() const noexcept { return expected_; }
  [[nodiscard]] MonoTime now() const { return clock_.Now().mono; }
  /// \brief Calls waiters while there is room; to be called often.
  void Tick();

 private:
  using Waiters =
      boost::intrusive::list<Waiter,
                             boost::intrusive::constant_time_size<false>>;

  void Refill();
  /// \returns Whether there is room that is worth a write.
  [[nodiscard]] bool HasRoom() const noexcept;
  void Await(Waiter* waiter);
  /// \returns Bytes that the waiter may take now.
  [[nodiscard]] std::size_t RoomFor(const Waiter& waiter,
                                    std::size_t wanted) const noexcept;
  /// \brief Lets those send a little that have sent nothing for long, whether
  /// there is room or not.
  void ServeSilent();
  void Serve(Waiter* waiter, std::size_t bytes);

  const Clock& clock_;
  /// Bytes a second; 0 for no limit.
  double rate_;
  double room_;
  MonoTime filled_at_;
  /// Bytes that were sent without waiting since `filled_at_`, and their mean a
  /// second.
  double charged_ = 0;
  double charged_rate_ = 0;
  std::uint64_t expected_ = 0;
  std::uint64_t last_number_ = 0;
  /// The one that goes first stands in front.
  Waiters waiters_;
  /// The waiter whose turn it is, until it has taken its chunk.
  const Waiter* served_ = nullptr;
  /// Bytes of that chunk.
  std::size_t chunk_bytes_ = 0;
};

}  // namespace cassiabend
