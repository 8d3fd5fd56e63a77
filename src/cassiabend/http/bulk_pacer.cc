#include "cassiabend/http/bulk_pacer.h"

#include <algorithm>
#include <chrono>

namespace cassiabend {
namespace {

constexpr double kBytesPerKilobit = 125.0;
/// Share of the link for large answers. The rest is for small answers, for the
/// heads of packets, and for what nodes say to each other.
constexpr double kBulkShare = 0.85;
/// Room that an idle link saves up, as time: two steps of the timer that calls
/// `Tick`, so that a late step costs no throughput.
constexpr std::chrono::duration<double> kBurst{0.04};
/// Most that one answer takes in its turn, and the least that is worth a write.
constexpr std::size_t kChunkBytes = std::size_t{16} * 1024;
constexpr std::size_t kLeastBytes = std::size_t{2} * 1024;

}  // namespace

BulkPacer::BulkPacer(const Clock& clock, std::uint32_t link_kilobits)
    : clock_(clock),
      rate_(link_kilobits * kBytesPerKilobit * kBulkShare),
      room_(rate_ * kBurst.count()),
      filled_at_(clock.Now().mono) {}

void BulkPacer::Refill() {
  const MonoTime now = clock_.Now().mono;
  const std::chrono::duration<double> passed = now - filled_at_;
  filled_at_ = now;
  const double most =
      std::max(rate_ * kBurst.count(), static_cast<double>(kChunkBytes));
  room_ = std::min(room_ + rate_ * passed.count(), most);
}

std::size_t BulkPacer::Take(Waiter* waiter, std::size_t wanted) {
  if (rate_ <= 0 || wanted == 0) {
    return wanted;
  }
  const bool is_served = served_ == waiter;
  served_ = nullptr;
  Refill();
  const std::size_t least = std::min(wanted, kLeastBytes);
  const bool has_room = room_ >= static_cast<double>(least);
  if (has_room && (is_served || waiters_.empty())) {
    const std::size_t n =
        std::min({wanted, kChunkBytes, static_cast<std::size_t>(room_)});
    room_ -= static_cast<double>(n);
    return n;
  }
  if (waiter->is_linked()) {
    return 0;
  }
  if (is_served) {
    waiters_.push_front(*waiter);
  } else {
    waiters_.push_back(*waiter);
  }
  return 0;
}

void BulkPacer::Tick() {
  if (waiters_.empty()) {
    return;
  }
  Refill();
  while (!waiters_.empty() && room_ >= static_cast<double>(kLeastBytes)) {
    Waiter& next = waiters_.front();
    next.unlink();
    served_ = &next;
    next.OnTurn();
    served_ = nullptr;
  }
}

}  // namespace cassiabend
