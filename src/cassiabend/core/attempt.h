#pragma once

#include <boost/container/static_vector.hpp>
#include <boost/intrusive/list.hpp>
#include <optional>
#include <vector>

#include "cassiabend/core/call_events.h"
#include "cassiabend/core/call_timer.h"
#include "cassiabend/core/link_queue.h"

namespace cassiabend {

/// \brief States of an attempt at its destination node.
enum class AttemptState : std::uint8_t {
  /// Its order key is being claimed.
  kClaiming,
  /// It waits for a slot.
  kQueued,
  /// It was handed to the upstream.
  kRunning,
  /// The upstream answers.
  kAnswering,
  /// The answer is whole and held.
  kHeld,
};

/// \brief A connection that waits for an attempt's answer.
struct AttemptLink {
  LinkId link = 0;
  /// The attempt that the connection asked for: the attempt itself, or one
  /// that repeats its order.
  AttemptId asked;
  /// When it is told next that the attempt waits or runs.
  MonoTime news_due = MonoTime::max();
  /// Whether it brought a fetch or cancel, which ends with that news.
  bool fetches = false;
  /// Whether the answer goes there.
  bool bound = false;
};

/// \brief Another attempt at the same order, which waits for this one.
struct AttemptAlias {
  AttemptId id;
  WallTime expires_at{};
};

/// Connections and repeats that one attempt serves.
inline constexpr std::size_t kMaxLinksPerAttempt = 4;
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
  boost::container::static_vector<AttemptLink, kMaxLinksPerAttempt> links;
  std::vector<AttemptAlias> aliases;
  /// When a started, repeatable attempt without a link is cancelled.
  MonoTime orphan_due = MonoTime::max();
  /// Whether a connection has taken the whole answer.
  bool taken = false;
  MonoTime deadline{};
  /// When the answer is worth less; the maximum for never.
  MonoTime objective_at = MonoTime::max();
  MonoTime arrived_at{};
  /// When the upstream got it; the epoch before.
  MonoTime started_at{};
  /// When its answer was whole, or the connection that had it was lost.
  MonoTime held_at{};

  /// \returns Whether the attempt stands in the admission queue.
  [[nodiscard]] bool is_waiting() const noexcept {
    return AdmissionHook::is_linked();
  }
  /// \returns Whether the upstream has the attempt.
  [[nodiscard]] bool is_started() const noexcept {
    return state == AttemptState::kRunning || state == AttemptState::kAnswering;
  }
  /// \returns When its entry node should have the answer.
  [[nodiscard]] MonoTime answer_due() const noexcept {
    return arrived_at + LinkAim(request.objective, request.deadline);
  }
  /// \returns When the first connection is told that the attempt still runs.
  [[nodiscard]] MonoTime news_due() const noexcept {
    MonoTime due = MonoTime::max();
    for (const AttemptLink& it : links) {
      due = it.news_due < due ? it.news_due : due;
    }
    return due;
  }
};

}  // namespace cassiabend
