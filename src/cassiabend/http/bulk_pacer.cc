#include "cassiabend/http/bulk_pacer.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace cassiabend {
namespace {

constexpr double kBytesPerKilobit = 125.0;
/// Share of the link for large answers. The rest is for small answers, packet
/// headers and the traffic between nodes.
constexpr double kBulkShare = 0.85;
/// Part of that share which is reported as available however much small answers
/// use, so that some large answers are still admitted and the rate is measured.
constexpr double kLeastBulkShare = 0.1;
/// Time constant of the moving average of small answers: about the latency
/// objective of a download, over which the average has to hold.
constexpr std::chrono::duration<double> kChargedMemory{1.0};
/// Capacity of the bucket, as time at `rate_`: two periods of the timer that
/// calls `Tick`, so that a late call costs no throughput.
constexpr std::chrono::duration<double> kBurst{0.04};
/// Capacity after a pause of the process, which leaves the link idle: CPU
/// limits may suspend a process for the rest of a period of 100 ms.
constexpr std::chrono::duration<double> kLongestPause{0.12};
/// Longest time for which small answers in excess of the tokens delay large
/// ones: a fraction of a download's objective. An excess of more than that has
/// left the link by then.
constexpr std::chrono::duration<double> kMostDebt{0.25};
/// Most bytes that one answer gets at a time, and the fewest that are worth a
/// write.
constexpr std::size_t kChunkBytes = std::size_t{16} * 1024;
constexpr std::size_t kLeastBytes = std::size_t{2} * 1024;
/// Longest time for which a waiting answer sends nothing. Twice this must be
/// less than the pause after which the receiver takes the answer for lost
/// (`http.progress_timeout_ms`, 1,500 ms as deployed).
constexpr Milliseconds kLongestSilence{700};

/// \returns Bytes that one answer may take at a time out of `room`.
std::size_t ChunkOf(double room) noexcept {
  return std::min(kChunkBytes, static_cast<std::size_t>(room));
}

}  // namespace

BulkPacer::BulkPacer(const Clock& clock, std::uint32_t link_kilobits)
    : clock_(clock),
      rate_(link_kilobits * kBytesPerKilobit * kBulkShare),
      room_(rate_ * kBurst.count()),
      filled_at_(clock.Now().mono) {}

std::uint64_t BulkPacer::rate() const noexcept {
  return static_cast<std::uint64_t>(
      std::max(rate_ - charged_rate_, rate_ * kLeastBulkShare));
}

void BulkPacer::Charge(std::size_t bytes) noexcept {
  const double n = rate_ > 0 ? static_cast<double>(bytes) : 0.0;
  room_ = std::max(room_ - n, std::min(room_, -rate_ * kMostDebt.count()));
  charged_ += n;
}

void BulkPacer::Refill() {
  const MonoTime now = clock_.Now().mono;
  const std::chrono::duration<double> passed = now - filled_at_;
  if (passed.count() <= 0) {
    return;
  }
  filled_at_ = now;
  const double newest = 1.0 - std::exp(-passed / kChargedMemory);
  charged_rate_ += (charged_ / passed.count() - charged_rate_) * newest;
  charged_ = 0;
  const auto saved = std::max(kBurst, std::min(passed, kLongestPause));
  const double most =
      std::max(rate_ * saved.count(), static_cast<double>(kChunkBytes));
  room_ = std::min(room_ + rate_ * passed.count(), most);
}

bool BulkPacer::HasRoom() const noexcept {
  return room_ >= static_cast<double>(kLeastBytes);
}

std::size_t BulkPacer::Take(Waiter* waiter, std::size_t wanted) {
  if (rate_ <= 0 || wanted == 0) {
    return wanted;
  }
  Refill();
  if (waiter->number_ == 0) {
    waiter->number_ = ++last_number_;
    waiter->served_at_ = filled_at_;
  }
  const std::size_t n = std::min(wanted, RoomFor(*waiter, wanted));
  served_ = nullptr;
  if (n == 0) {
    Await(waiter);
    return 0;
  }
  room_ -= static_cast<double>(n);
  waiter->served_at_ = filled_at_;
  return n;
}

std::size_t BulkPacer::RoomFor(const Waiter& waiter,
                               std::size_t wanted) const noexcept {
  if (served_ == &waiter) {
    return chunk_bytes_;
  }
  const std::size_t least = std::min(wanted, kLeastBytes);
  const bool has_room = room_ >= static_cast<double>(least);
  const bool is_next = waiters_.empty() || waiter.IsBefore(waiters_.front());
  return has_room && is_next ? ChunkOf(room_) : 0;
}

void BulkPacer::Await(Waiter* waiter) {
  if (waiter->is_linked()) {
    return;
  }
  const auto behind = std::ranges::find_if(
      waiters_, [&](const Waiter& it) { return waiter->IsBefore(it); });
  waiters_.insert(behind, *waiter);
}

void BulkPacer::Tick() {
  if (rate_ <= 0) {
    return;
  }
  Refill();
  ServeSilent();
  while (!waiters_.empty() && HasRoom()) {
    Serve(&waiters_.front(), ChunkOf(room_));
  }
}

void BulkPacer::ServeSilent() {
  const MonoTime limit = filled_at_ - kLongestSilence;
  for (;;) {
    const auto silent = std::ranges::find_if(
        waiters_, [limit](const Waiter& it) { return it.served_at_ <= limit; });
    if (silent == waiters_.end()) {
      return;
    }
    silent->served_at_ = filled_at_;
    Serve(&*silent, kLeastBytes);
  }
}

void BulkPacer::Serve(Waiter* waiter, std::size_t bytes) {
  waiter->unlink();
  served_ = waiter;
  chunk_bytes_ = bytes;
  waiter->OnTurn();
  served_ = nullptr;
}

}  // namespace cassiabend
