#pragma once

#include <optional>
#include <unordered_map>

#include "cassiabend/base/hash.h"
#include "cassiabend/base/time.h"
#include "cassiabend/core/call_timer.h"

namespace cassiabend {

/// \brief What is known of an attempt that ended at this node.
enum class AttemptFate : std::uint8_t {
  /// It was not run, and no copy of it will be.
  kNotRun,
  /// It was handed to the upstream; its answer is gone.
  kRan,
};

/// \brief Remembers ended attempts for as long as a copy could arrive and
/// start. Bounded: when it is full, the oldest entries make room, and attempts
/// that expire no later than these did are refused from then on.
class AttemptTombstones {
 public:
  /// \param limit Most entries.
  explicit AttemptTombstones(std::size_t limit) : limit_(limit) {}

  [[nodiscard]] std::size_t size() const noexcept { return entries_.size(); }
  /// \returns The attempt's fate; unset when it is not known.
  [[nodiscard]] std::optional<AttemptFate> Find(const AttemptId& id) const;
  /// \returns Whether an attempt that expires at `expires_at` could be a copy
  /// of one that had to be forgotten.
  [[nodiscard]] bool MayBeForgotten(WallTime expires_at) const noexcept {
    return expires_at <= forgotten_until_;
  }

  /// \brief Remembers the fate of an attempt.
  /// \param expires_at Time after which no copy starts; unset for an attempt
  /// that never arrived.
  /// \param keep_until How long it is remembered.
  /// \returns Whether it is remembered. Always so when `expires_at` is set.
  bool Add(const AttemptId& id,
           AttemptFate fate,
           std::optional<WallTime> expires_at,
           MonoTime keep_until);
  /// \brief Drops what has been kept long enough.
  void Expire(MonoTime now);

 private:
  struct Entry : TimerEntry {
    AttemptId id;
    AttemptFate fate = AttemptFate::kNotRun;
    std::optional<WallTime> expires_at;
  };

  [[nodiscard]] bool MakeRoom();

  std::size_t limit_;
  /// Entries without an expiry; they are never forgotten early.
  std::size_t unbounded_ = 0;
  WallTime forgotten_until_{};
  std::unordered_map<AttemptId, Entry, Id128Hasher> entries_;
  TimerQueue<Entry> bounded_timers_;
  TimerQueue<Entry> unbounded_timers_;
};

}  // namespace cassiabend
