#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/intrusive/list.hpp>
#include <cstdint>
#include <functional>

#include "cassiabend/base/time.h"

namespace cassiabend {

/// \brief Base of an object with one timeout; unlinks itself when destroyed.
class TimeoutEntry
    : public boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
 public:
  TimeoutEntry() = default;
  TimeoutEntry(const TimeoutEntry&) = delete;
  TimeoutEntry& operator=(const TimeoutEntry&) = delete;
  virtual ~TimeoutEntry() = default;

  /// \brief The timeout has expired and is no longer set.
  virtual void OnTimeout() = 0;

 private:
  friend class TimeoutList;
  /// Tick at which the timeout expires; 0 for none.
  std::uint64_t expiry_tick_ = 0;
};

/// \brief Coarse timeouts of all connections, driven by one timer, so that
/// setting one costs neither a system call nor a clock read. A timeout expires
/// up to `kPeriod` late and never early.
class TimeoutList {
 public:
  static constexpr Milliseconds kPeriod{20};

  explicit TimeoutList(boost::asio::io_context& io) : timer_(io) {}

  void Add(TimeoutEntry* entry) { entries_.push_back(*entry); }
  void SetTimeout(TimeoutEntry* entry, Milliseconds timeout) const noexcept;
  static void ClearTimeout(TimeoutEntry* entry) noexcept {
    entry->expiry_tick_ = 0;
  }

  /// \param on_tick Called after the timeouts of each tick.
  void Start(std::function<void()> on_tick = {});
  void Stop();

 private:
  using Entries =
      boost::intrusive::list<TimeoutEntry,
                             boost::intrusive::constant_time_size<false>>;

  void ArmTimer();
  void ExpireTimeouts();

  boost::asio::steady_timer timer_;
  std::function<void()> on_tick_;
  Entries entries_;
  std::uint64_t current_tick_ = 1;
  bool stopped_ = false;
};

}  // namespace cassiabend
