#pragma once

#include <boost/intrusive/set.hpp>

#include "cassiabend/base/time.h"

namespace cassiabend {

/// \brief Base of objects that have a timer in a `TimerQueue`.
class TimerEntry
    : public boost::intrusive::set_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
 public:
  [[nodiscard]] MonoTime due() const noexcept { return due_; }

 private:
  template <typename T>
  friend class TimerQueue;

  MonoTime due_{};
};

/// \brief Timers of objects of type `T`, each derived from `TimerEntry`,
/// ordered by due time. It does not own the objects; one that is destroyed is
/// unlinked automatically.
template <typename T>
class TimerQueue {
 public:
  /// \brief Sets or changes the due time of `entry`.
  void Schedule(T* entry, MonoTime due) {
    Cancel(entry);
    entry->due_ = due;
    entries_.insert(*entry);
  }

  /// \brief Removes `entry`; does nothing if it is not in the queue.
  void Cancel(T* entry) noexcept { static_cast<TimerEntry*>(entry)->unlink(); }

  /// \returns The first entry if it is due at `now`, removed from the queue;
  /// else null.
  [[nodiscard]] T* PopDue(MonoTime now) noexcept {
    if (entries_.empty() || entries_.begin()->due() > now) {
      return nullptr;
    }
    T* entry = static_cast<T*>(&*entries_.begin());
    Cancel(entry);
    return entry;
  }

 private:
  struct ByDue {
    [[nodiscard]] bool operator()(const TimerEntry& a,
                                  const TimerEntry& b) const noexcept {
      return a.due() < b.due();
    }
  };

  boost::intrusive::multiset<TimerEntry,
                             boost::intrusive::compare<ByDue>,
                             boost::intrusive::constant_time_size<false>>
      entries_;
};

}  // namespace cassiabend
