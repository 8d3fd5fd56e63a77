#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <utility>

#include "cassiabend/core/fleet_context.h"

namespace cassiabend {

/// \brief Delays between attempts, doubled with each failure, with jitter.
class StoreBackoff {
 public:
  [[nodiscard]] std::uint32_t failures() const noexcept { return failures_; }

  void Reset() noexcept { failures_ = 0; }
  /// \brief Notes a failure.
  /// \param limit Longest delay, before jitter.
  /// \returns When the next attempt may be made.
  [[nodiscard]] MonoTime Fail(const FleetContext& context, Milliseconds limit) {
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

/// \brief At most one call to the store that waits for its answer. Answers to
/// calls that were given up are told apart by their sequence.
class StorePending {
 public:
  [[nodiscard]] bool active() const noexcept { return sequence_ != 0; }
  [[nodiscard]] bool OverdueAt(MonoTime now) const noexcept {
    return active() && now > deadline_;
  }

  void Start(const FleetContext& context,
             StoreRequest request,
             Milliseconds timeout) {
    sequence_ = context.CallStore(std::move(request));
    deadline_ = context.now() + timeout;
  }
  void GiveUp() noexcept { sequence_ = 0; }
  /// \brief Ends the call that `sequence` names.
  /// \returns Whether it was this one.
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

/// \brief A call to the store without an answer for so long is given up.
inline constexpr Milliseconds kStoreCallTimeout{4'000};

}  // namespace cassiabend
