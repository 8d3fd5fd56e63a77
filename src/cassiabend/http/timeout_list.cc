#include "cassiabend/http/timeout_list.h"

#include <utility>

namespace cassiabend {

void TimeoutList::SetTimeout(TimeoutEntry* entry,
                             Milliseconds timeout) const noexcept {
  const auto ticks = (timeout + kPeriod - Milliseconds(1)) / kPeriod;
  entry->expiry_tick_ = current_tick_ + static_cast<std::uint64_t>(ticks) + 1;
}

void TimeoutList::Start(std::function<void()> on_tick) {
  on_tick_ = std::move(on_tick);
  ArmTimer();
}

void TimeoutList::ArmTimer() {
  timer_.expires_after(kPeriod);
  timer_.async_wait([this](const boost::system::error_code& ec) {
    if (ec || stopped_) {
      return;
    }
    // First, so that the timer goes on after an exception.
    ArmTimer();
    ExpireTimeouts();
    if (!stopped_ && on_tick_) {
      on_tick_();
    }
  });
}

void TimeoutList::Stop() {
  stopped_ = true;
  timer_.cancel();
}

void TimeoutList::ExpireTimeouts() {
  ++current_tick_;
  Entries expired;
  for (auto it = entries_.begin(); it != entries_.end();) {
    TimeoutEntry& entry = *it++;
    if (entry.expiry_tick_ == 0 || entry.expiry_tick_ > current_tick_) {
      continue;
    }
    entry.unlink();
    expired.push_back(entry);
  }
  // `OnTimeout` may destroy other entries, which unlinks them from `expired`.
  while (!expired.empty()) {
    TimeoutEntry& entry = expired.front();
    entry.unlink();
    entries_.push_back(entry);
    if (entry.expiry_tick_ != 0) {
      entry.expiry_tick_ = 0;
      entry.OnTimeout();
    }
  }
}

}  // namespace cassiabend
