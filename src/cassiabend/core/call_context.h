#pragma once

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "cassiabend/base/random.h"
#include "cassiabend/base/time.h"
#include "cassiabend/core/call_events.h"
#include "cassiabend/core/options.h"

namespace cassiabend {

/// \brief Longest deadline of a call: an attempt's tombstone outlives every
/// copy of the attempt, which is refused after its deadline and the clocks'
/// error.
[[nodiscard]] inline Milliseconds LongestDeadline(const CallOptions& options) {
  return options.order_memory / 2;
}

/// Time between the withdrawal of a leaving host's upstream and the end of the
/// node at the earliest, in which peers learn of it: one beat
/// (`beat_period_ms`, 300 ms as deployed) and its way.
inline constexpr Milliseconds kWithdrawalNotice{400};

/// \brief What the parts of the call reducer share: settings, the version in
/// force, and the time and effects of the event being answered.
struct CallContext {
  CallOptions options;
  Member self;
  Random random;
  RefPtr<const Snapshot> snapshot;
  /// Time to which the head is confirmed; unset for never.
  std::optional<MonoTime> confirmed_at;
  bool ready = false;
  /// When the first event came to this process.
  MonoTime started_at{};
  bool draining = false;
  /// When the shutdown began; meaningful while `draining`.
  MonoTime draining_since{};
  /// Whether peers were told that this host's upstream gets no more work.
  bool withdrawn = false;
  /// Attempts that this host's upstream has.
  std::uint32_t upstream_calls = 0;
  Instant now;
  std::vector<CallEffect>* out = nullptr;

  /// \brief Appends one effect of the event being answered.
  template <typename T>
  void Emit(T&& effect) {
    out->emplace_back(std::forward<T>(effect));
  }
  /// \returns Whether a shutdown has gone on for so long that callers must have
  /// learnt of it.
  [[nodiscard]] bool HasStoppedServing() const noexcept {
    return draining && now.mono - draining_since >= options.shutdown_serve;
  }
  /// \returns Whether this host's upstream may still be given an attempt that
  /// is expected to end after `needed`. While most hosts restart in series, an
  /// upstream whose node leaves takes what ends before callers have learnt of
  /// it, which keeps the node no longer.
  [[nodiscard]] bool MayStart(Nanoseconds needed) const noexcept {
    if (!draining) {
      return true;
    }
    const Nanoseconds age = now.mono - draining_since;
    const bool ends_in_time = needed < options.shutdown_serve &&
                              age < options.shutdown_serve - needed &&
                              age < options.shutdown_serve - kWithdrawalNotice;
    return !withdrawn && (age < options.shutdown_accept || ends_in_time);
  }
  /// \returns The number of the version in force; 0 for none.
  [[nodiscard]] VersionNumber config_number() const noexcept {
    return snapshot ? snapshot->mark().number : 0;
  }
};

}  // namespace cassiabend
