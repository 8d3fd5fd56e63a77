#pragma once

#include <boost/intrusive/list.hpp>
#include <cstddef>
#include <cstdint>

#include "cassiabend/base/clock.h"

namespace cassiabend {

/// \brief Shares this host's link between large answers, below its width, so
/// that small answers never wait in the link behind a queue of large ones.
/// Large answers take turns, a chunk each, so that none of them falls silent.
class BulkPacer {
 public:
  /// \brief Something that waits for its turn; leaves when destroyed.
  class Waiter
      : public boost::intrusive::list_base_hook<
            boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
   public:
    Waiter() = default;
    Waiter(const Waiter&) = delete;
    Waiter& operator=(const Waiter&) = delete;
    virtual ~Waiter() = default;

    /// \brief There is room on the link: `Take` may be called again.
    virtual void OnTurn() = 0;
  };

  /// \param link_kilobits Width of the link, per second; 0: it is not known,
  /// and nothing waits.
  BulkPacer(const Clock& clock, std::uint32_t link_kilobits);

  /// \returns Bytes that may be sent now, at most `wanted`. When there are
  /// none, the waiter is called once there are.
  [[nodiscard]] std::size_t Take(Waiter* waiter, std::size_t wanted);
  /// \brief Notes bytes that were sent without waiting: the large answers make
  /// room for them.
  void Charge(std::size_t bytes) noexcept {
    room_ -= rate_ > 0 ? static_cast<double>(bytes) : 0.0;
  }
  /// \brief Notes bytes of large answers that are to be sent, and that were
  /// sent or will not be.
  void Expect(std::uint64_t bytes) noexcept { expected_ += bytes; }
  void Settle(std::uint64_t bytes) noexcept { expected_ -= bytes; }
  /// \returns Bytes a second that large answers can have; 0: it is not known.
  [[nodiscard]] std::uint64_t rate() const noexcept {
    return static_cast<std::uint64_t>(rate_);
  }
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

  const Clock& clock_;
  /// Bytes a second; 0 for no limit.
  double rate_;
  double room_;
  MonoTime filled_at_;
  std::uint64_t expected_ = 0;
  Waiters waiters_;
  /// The waiter whose turn it is, until it has taken its chunk.
  const Waiter* served_ = nullptr;
};

}  // namespace cassiabend
