#pragma once

#include <boost/intrusive/list.hpp>
#include <optional>
#include <utility>

#include "cassiabend/core/call_events.h"
#include "cassiabend/core/call_timer.h"

namespace cassiabend {

/// \brief States of an attempt at its destination node.
enum class AttemptState : std::uint8_t {
  /// It waits for a slot.
  kQueued,
  /// It holds a slot while its order key is claimed; not yet handed over.
  kClaiming,
  /// It was handed to the upstream.
  kRunning,
  /// The upstream answers.
  kAnswering,
  /// The answer is whole and held.
  kHeld,
};

/// \brief Base of attempts that wait in the admission queue.
using AdmissionHook = boost::intrusive::list_base_hook<
    boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

/// \brief One attempt at its destination node.
struct Attempt : TimerEntry, AdmissionHook {
  AttemptRequest request;
  AttemptState state = AttemptState::kQueued;
  /// The connection that waits for the answer; unset when it was lost.
  std::optional<LinkId> link;
  /// When a link that fetches is told "still running"; the maximum for none.
  MonoTime fetch_due = MonoTime::max();
  /// When a started, repeatable attempt without a link is cancelled.
  MonoTime orphan_due = MonoTime::max();
  /// Whether the answer goes to `link`.
  bool bound = false;
  /// Whether a whole answer went to a connection.
  bool taken = false;
  MonoTime arrived_at{};
  MonoTime deadline{};
  MonoTime started_at{};

  /// \returns Whether the attempt stands in the admission queue.
  [[nodiscard]] bool is_waiting() const noexcept {
    return AdmissionHook::is_linked();
  }
  /// \returns Whether the upstream has the attempt.
  [[nodiscard]] bool is_started() const noexcept {
    return state == AttemptState::kRunning || state == AttemptState::kAnswering;
  }
  /// \returns Whether the attempt holds one of the slots.
  [[nodiscard]] bool holds_slot() const noexcept {
    return state == AttemptState::kClaiming || is_started();
  }
};

}  // namespace cassiabend
