#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <utility>

#include "cassiabend/core/fleet_context.h"

namespace cassiabend {

/// \brief Exponential backoff with jitter between attempts at a store call.
class StoreBackoff {
 public:
  [[nodiscard]] std::uint32_t failures() const noexcept { return failures_; }

  void Reset() noexcept { failures_ = 0; }
  /// \brief Counts a failure, which doubles the next delay.
  /// \param limit Longest delay before jitter is applied.
  /// \returns When the next attempt may be made.
  [[nodiscard]] MonoTime NextAttemptTime(const FleetContext& context,
                                         Milliseconds limit) {
    constexpr std::uint32_t kMaxShift = 16;
    constexpr double kJitter = 0.5;
    const std::uint32_t shift = std::min(failures_, kMaxShift);
    ++failures_;
    const Nanoseconds delay = std::min<Nanoseconds>(
        Nanoseconds(context.options().store_retry_base) * (1U << shift), limit);
    return context.now() + context.random().Jitter(delay, kJitter);
  }

 private:
  std::uint32_t failures_ = 0;
};

/// \brief At most one outstanding call to the store. Its sequence number tells
/// its reply from late replies to calls that were abandoned.
class PendingStoreCall {
 public:
  /// \returns Whether a call is outstanding.
  [[nodiscard]] bool active() const noexcept { return sequence_ != 0; }
  [[nodiscard]] bool IsOverdueAt(MonoTime now) const noexcept {
    return active() && now > deadline_;
  }

  void Start(const FleetContext& context,
             StoreRequest request,
             Milliseconds timeout) {
    sequence_ = context.CallStore(std::move(request));
    deadline_ = context.now() + timeout;
  }
  /// \brief Stops waiting; a late reply will not match.
  void Abandon() noexcept { sequence_ = 0; }
  /// \brief Ends the outstanding call if `sequence` is its number.
  /// \returns Whether it is.
  [[nodiscard]] bool Finish(std::uint64_t sequence) noexcept {
    if (!active() || sequence_ != sequence) {
      return false;
    }
    sequence_ = 0;
    return true;
  }

 private:
  std::uint64_t sequence_ = 0;
  MonoTime deadline_{};
};

/// \brief Time without a reply after which a call to the store is abandoned.
inline constexpr Milliseconds kStoreCallTimeout{4'000};

}  // namespace cassiabend
