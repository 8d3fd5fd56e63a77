#pragma once

#include <optional>
#include <unordered_map>

#include "cassiabend/base/hash.h"
#include "cassiabend/base/time.h"
#include "cassiabend/core/timer_queue.h"

namespace cassiabend {

/// \brief What is known of an attempt that ended at this node.
enum class TombstoneKind : std::uint8_t {
  /// It was not run, and no copy of it will be.
  kNotRun,
  /// It was sent to the upstream; its answer is no longer held.
  kRan,
};

/// \brief Remembers ended attempts for as long as a copy could arrive and
/// start. The number of entries is bounded: when it is reached, the oldest
/// entry is evicted, and attempts that expire no later than that one are
/// refused from then on.
class AttemptTombstones {
 public:
  /// \param limit Most entries.
  explicit AttemptTombstones(std::size_t limit) : limit_(limit) {}

  [[nodiscard]] std::size_t size() const noexcept { return entries_.size(); }
  /// \returns How the attempt ended; unset if that is not known.
  [[nodiscard]] std::optional<TombstoneKind> Find(const AttemptId& id) const;
  /// \returns Whether an attempt that expires at `expires_at` could be a copy
  /// of one whose entry was evicted.
  [[nodiscard]] bool MayHaveEvicted(WallTime expires_at) const noexcept {
    return expires_at <= evicted_until_;
  }

  /// \brief Remembers how an attempt ended.
  /// \param expires_at Time after which no copy starts; unset for an attempt
  /// that never arrived.
  /// \param keep_until Time until which it is remembered.
  /// \returns Whether it is remembered as ended this way. A new entry always is
  /// if `expires_at` is set.
  bool Add(const AttemptId& id,
           TombstoneKind kind,
           std::optional<WallTime> expires_at,
           MonoTime keep_until);
  /// \brief Drops the entries that have been kept long enough.
  void Expire(MonoTime now);

 private:
  struct Entry : TimerEntry {
    AttemptId id;
    TombstoneKind kind = TombstoneKind::kNotRun;
    std::optional<WallTime> expires_at;
  };

  [[nodiscard]] bool EvictOldest();

  std::size_t limit_;
  /// Number of entries without an expiry, which are never evicted.
  std::size_t pinned_ = 0;
  WallTime evicted_until_{};
  std::unordered_map<AttemptId, Entry, Id128Hasher> entries_;
  TimerQueue<Entry> evictable_timers_;
  TimerQueue<Entry> pinned_timers_;
};

}  // namespace cassiabend
