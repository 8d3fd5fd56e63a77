#pragma once

#include <boost/intrusive/set.hpp>

#include "cassiabend/base/time.h"

namespace cassiabend {

/// \brief Base of objects that wait for a time; see `TimerQueue`.
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

/// \brief Orders objects of type `T`, each derived from `TimerEntry`, by the
/// time for which they wait. It owns none of them; one that is destroyed leaves
/// the queue by itself.
template <typename T>
class TimerQueue {
 public:
  /// \brief Sets or moves the time of `entry`.
  void Schedule(T* entry, MonoTime due) {
    Cancel(entry);
    entry->due_ = due;
    entries_.insert(*entry);
  }

  /// \brief Takes `entry` out; harmless when it does not wait.
  void Cancel(T* entry) noexcept { static_cast<TimerEntry*>(entry)->unlink(); }

  /// \returns An entry that is due at `now`, taken out; null when none is.
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
