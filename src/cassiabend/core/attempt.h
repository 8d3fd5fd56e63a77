#pragma once

#include <boost/container/static_vector.hpp>
#include <boost/intrusive/list.hpp>
#include <optional>
#include <vector>

#include "cassiabend/core/call_events.h"
#include "cassiabend/core/link_queue.h"
#include "cassiabend/core/timer_queue.h"

namespace cassiabend {

/// \brief States of an attempt at its destination node.
enum class AttemptState : std::uint8_t {
  /// Its order key is being claimed.
  kClaiming,
  /// It waits for a slot.
  kQueued,
  /// It was sent to the upstream.
  kRunning,
  /// The upstream's answer is arriving.
  kAnswering,
  /// The answer is complete and held.
  kHeld,
};

/// \brief A connection that waits for an attempt's answer.
struct AttemptConnection {
  ConnectionId id = 0;
  /// The id that the connection asked for: that of the attempt itself, or of
  /// another attempt at the same order.
  AttemptId requested_id;
  /// When the next reply is due that the attempt is queued or running.
  MonoTime progress_due = MonoTime::max();
  /// Whether it carries a fetch or cancel, which ends with that reply.
  bool is_fetch_or_cancel = false;
  /// Whether the answer is sent to it.
  bool receives_answer = false;
};

/// \brief Another attempt at the same order, which waits for this one's answer.
struct AttemptAlias {
  AttemptId id;
  WallTime expires_at{};
};

/// Most connections, and most other attempts at the same order, that one
/// attempt serves.
inline constexpr std::size_t kMaxConnectionsPerAttempt = 4;
inline constexpr std::size_t kMaxAliasesPerAttempt = 16;

/// \brief Base of attempts that wait in the admission queue.
using AdmissionHook = boost::intrusive::list_base_hook<
    boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

/// \brief One attempt at its destination node.
struct Attempt : TimerEntry, AdmissionHook {
  AttemptRequest request;
  AttemptState state = AttemptState::kQueued;
  /// Whether it holds one of the slots.
  bool holds_slot = false;
  boost::container::static_vector<AttemptConnection, kMaxConnectionsPerAttempt>
      connections;
  std::vector<AttemptAlias> aliases;
  /// When a started, repeatable attempt without a connection is cancelled.
  MonoTime orphan_due = MonoTime::max();
  /// Whether the whole answer was sent to a connection.
  bool delivered = false;
  MonoTime deadline{};
  /// When the latency objective is missed; the maximum if there is none.
  MonoTime objective_at = MonoTime::max();
  MonoTime arrived_at{};
  /// When it was sent to the upstream; the epoch before.
  MonoTime started_at{};
  /// When its answer was complete or, if later, its last connection was lost.
  MonoTime held_at{};

  /// \returns Whether the attempt is in the admission queue.
  [[nodiscard]] bool is_waiting() const noexcept {
    return AdmissionHook::is_linked();
  }
  /// \returns Whether the attempt runs at the upstream.
  [[nodiscard]] bool is_started() const noexcept {
    return state == AttemptState::kRunning || state == AttemptState::kAnswering;
  }
  /// \returns The time by which the entry node should have the answer.
  [[nodiscard]] MonoTime answer_due() const noexcept {
    return arrived_at + LinkTimeLimit(request.objective, request.deadline);
  }
  /// \returns When the next reply to one of its connections is due.
  [[nodiscard]] MonoTime progress_due() const noexcept {
    MonoTime due = MonoTime::max();
    for (const AttemptConnection& it : connections) {
      due = it.progress_due < due ? it.progress_due : due;
    }
    return due;
  }
};

}  // namespace cassiabend
