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
constexpr double kMinBulkShare = 0.1;
/// Time constant of the moving average of small answers: about the latency
/// objective of a download, over which the average has to hold.
constexpr std::chrono::duration<double> kUnpacedRateTime{1.0};
/// Capacity of the bucket, as time at `rate_`: two periods of the timer that
/// calls `Tick`, so that a late call costs no throughput.
constexpr std::chrono::duration<double> kBucketTime{0.04};
/// Capacity after a pause of the process, which leaves the link idle: CPU
/// limits may suspend a process for the rest of a period of 100 ms.
constexpr std::chrono::duration<double> kMaxBucketTime{0.12};
/// Longest time for which small answers in excess of the tokens delay large
/// ones: a fraction of a download's objective. An excess of more than that has
/// left the link by then.
constexpr std::chrono::duration<double> kMaxDebtTime{0.25};
/// Most bytes that one answer gets at a time, and the fewest that are worth a
/// write.
constexpr std::size_t kMaxChunkBytes = std::size_t{16} * 1024;
constexpr std::size_t kMinWriteBytes = std::size_t{2} * 1024;
/// Longest time for which a waiting answer sends nothing. Twice this must be
/// less than the pause after which the receiver takes the answer for lost
/// (`http.progress_timeout_ms`, 1,500 ms as deployed).
constexpr Milliseconds kMaxSilence{700};

/// \returns Bytes that one answer may take at a time out of `tokens`.
std::size_t ChunkOf(double tokens) noexcept {
  return std::min(kMaxChunkBytes, static_cast<std::size_t>(tokens));
}

}  // namespace

BulkPacer::BulkPacer(const Clock& clock, std::uint32_t link_kilobits)
    : clock_(clock),
      rate_(link_kilobits * kBytesPerKilobit * kBulkShare),
      tokens_(rate_ * kBucketTime.count()),
      refilled_at_(clock.Now().mono) {}

std::uint64_t BulkPacer::rate() const noexcept {
  return static_cast<std::uint64_t>(
      std::max(rate_ - unpaced_rate_, rate_ * kMinBulkShare));
}

void BulkPacer::ChargeUnpaced(std::size_t bytes) noexcept {
  const double n = rate_ > 0 ? static_cast<double>(bytes) : 0.0;
  tokens_ =
      std::max(tokens_ - n, std::min(tokens_, -rate_ * kMaxDebtTime.count()));
  unpaced_bytes_ += n;
}

void BulkPacer::Refill() {
  const MonoTime now = clock_.Now().mono;
  const std::chrono::duration<double> passed = now - refilled_at_;
  if (passed.count() <= 0) {
    return;
  }
  refilled_at_ = now;
  const double weight = 1.0 - std::exp(-passed / kUnpacedRateTime);
  unpaced_rate_ += (unpaced_bytes_ / passed.count() - unpaced_rate_) * weight;
  unpaced_bytes_ = 0;
  const auto bucket_time =
      std::max(kBucketTime, std::min(passed, kMaxBucketTime));
  const double capacity = std::max(rate_ * bucket_time.count(),
                                   static_cast<double>(kMaxChunkBytes));
  tokens_ = std::min(tokens_ + rate_ * passed.count(), capacity);
}

bool BulkPacer::HasTokens() const noexcept {
  return tokens_ >= static_cast<double>(kMinWriteBytes);
}

std::size_t BulkPacer::Acquire(Waiter* waiter, std::size_t wanted) {
  if (rate_ <= 0 || wanted == 0) {
    return wanted;
  }
  Refill();
  if (waiter->sequence_ == 0) {
    waiter->sequence_ = ++last_sequence_;
    waiter->served_at_ = refilled_at_;
  }
  const std::size_t n = std::min(wanted, AllowanceFor(*waiter, wanted));
  served_ = nullptr;
  if (n == 0) {
    Enqueue(waiter);
    return 0;
  }
  tokens_ -= static_cast<double>(n);
  waiter->served_at_ = refilled_at_;
  return n;
}

std::size_t BulkPacer::AllowanceFor(const Waiter& waiter,
                                    std::size_t wanted) const noexcept {
  if (served_ == &waiter) {
    return chunk_bytes_;
  }
  const std::size_t least = std::min(wanted, kMinWriteBytes);
  const bool has_tokens = tokens_ >= static_cast<double>(least);
  const bool is_next = waiters_.empty() || waiter.IsBefore(waiters_.front());
  return has_tokens && is_next ? ChunkOf(tokens_) : 0;
}

void BulkPacer::Enqueue(Waiter* waiter) {
  if (waiter->is_linked()) {
    return;
  }
  const auto next = std::ranges::find_if(
      waiters_, [&](const Waiter& it) { return waiter->IsBefore(it); });
  waiters_.insert(next, *waiter);
}

void BulkPacer::Tick() {
  if (rate_ <= 0) {
    return;
  }
  Refill();
  ServeStarved();
  while (!waiters_.empty() && HasTokens()) {
    Serve(&waiters_.front(), ChunkOf(tokens_));
  }
}

void BulkPacer::ServeStarved() {
  const MonoTime limit = refilled_at_ - kMaxSilence;
  for (;;) {
    const auto starved = std::ranges::find_if(
        waiters_, [limit](const Waiter& it) { return it.served_at_ <= limit; });
    if (starved == waiters_.end()) {
      return;
    }
    starved->served_at_ = refilled_at_;
    Serve(&*starved, kMinWriteBytes);
  }
}

void BulkPacer::Serve(Waiter* waiter, std::size_t bytes) {
  waiter->unlink();
  served_ = waiter;
  chunk_bytes_ = bytes;
  waiter->OnSendAllowed();
  served_ = nullptr;
}

}  // namespace cassiabend
