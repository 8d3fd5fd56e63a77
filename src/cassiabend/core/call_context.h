#pragma once

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "cassiabend/base/random.h"
#include "cassiabend/base/time.h"
#include "cassiabend/core/call_events.h"
#include "cassiabend/core/options.h"
#include "cassiabend/core/queueing/run_gate.h"
#include "cassiabend/core/queueing/running_requests.h"

namespace cassiabend {

/// \returns The longest deadline that a call may have. The tombstone of an
/// attempt must outlive every copy of the attempt; a copy is refused once its
/// deadline and the clock error have passed.
[[nodiscard]] inline Milliseconds LongestDeadline(const CallOptions& options) {
  return options.order_memory / 2;
}

/// Least time between the withdrawal of a draining node's upstream and the exit
/// of the node, in which peers learn of the withdrawal: one heartbeat
/// (`beat_period_ms`, 300 ms as deployed) and its delivery.
inline constexpr Milliseconds kWithdrawalNotice{400};

/// \brief State shared by the parts of the call reducer: settings, the
/// configuration version in force, and the time and effects of the event being
/// handled.
struct CallContext {
  CallOptions options;
  Member self;
  Random random;
  RefPtr<const Snapshot> snapshot;
  /// Newest time at which the version in force was confirmed to be the head;
  /// unset for never.
  std::optional<MonoTime> confirmed_at;
  bool ready = false;
  /// When this process handled its first event.
  MonoTime started_at{};
  bool draining = false;
  /// When the shutdown began; valid only while `draining`.
  MonoTime draining_since{};
  /// Whether this host's upstream was withdrawn, so that peers send it no more
  /// attempts.
  bool upstream_withdrawn = false;
  /// Attempts that run at this host's upstream.
  std::uint32_t upstream_calls = 0;
  /// How the inner calls fare that enter here, which this host's upstream
  /// makes.
  RunGate run_gate;
  /// Requests that run at this host's upstream; only with `inner_calls`.
  RunningRequests running_requests;
  /// The newest load of this host's network link.
  LinkLoadChanged link;
  Instant now;
  std::vector<CallEffect>* out = nullptr;

  /// \brief Appends an effect of the event being handled.
  template <typename T>
  void Emit(T&& effect) {
    out->emplace_back(std::forward<T>(effect));
  }
  /// \returns Whether the node has drained for so long (`shutdown_serve`) that
  /// callers must have learned of it.
  [[nodiscard]] bool HasStoppedServing() const noexcept {
    return draining && now.mono - draining_since >= options.shutdown_serve;
  }
  /// \param needed Time that the attempt is expected to take.
  /// \returns Whether this host's upstream may still be given the attempt. The
  /// upstream of a draining node takes attempts that end before callers have
  /// learned of the drain. That does not delay the exit of the node, and it
  /// keeps capacity available while most hosts restart one after another.
  [[nodiscard]] bool MayStart(Nanoseconds needed) const noexcept {
    if (!draining) {
      return true;
    }
    const Nanoseconds age = now.mono - draining_since;
    const bool ends_in_time = needed < options.shutdown_serve &&
                              age < options.shutdown_serve - needed &&
                              age < options.shutdown_serve - kWithdrawalNotice;
    return !upstream_withdrawn &&
           (age < options.shutdown_accept || ends_in_time);
  }
  /// \returns The number of the configuration version in force; 0 for none.
  [[nodiscard]] VersionNumber config_number() const noexcept {
    return snapshot ? snapshot->mark().number : 0;
  }
};

}  // namespace cassiabend
