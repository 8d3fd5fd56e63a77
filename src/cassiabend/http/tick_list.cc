#include "cassiabend/http/tick_list.h"

#include <utility>

namespace cassiabend {

void TickList::SetTimeout(TickEntry* entry,
                          Milliseconds timeout) const noexcept {
  const auto ticks = (timeout + kPeriod - Milliseconds(1)) / kPeriod;
  entry->expires_ = now_ + static_cast<std::uint64_t>(ticks) + 1;
}

void TickList::Start(std::function<void()> on_tick) {
  on_tick_ = std::move(on_tick);
  Step();
}

void TickList::Step() {
  timer_.expires_after(kPeriod);
  timer_.async_wait([this](const boost::system::error_code& ec) {
    if (ec || stopped_) {
      return;
    }
    Advance();
    if (!stopped_ && on_tick_) {
      on_tick_();
    }
    if (!stopped_) {
      Step();
    }
  });
}

void TickList::Stop() {
  stopped_ = true;
  timer_.cancel();
}

void TickList::Advance() {
  ++now_;
  Entries expired;
  for (auto it = entries_.begin(); it != entries_.end();) {
    TickEntry& entry = *it++;
    if (entry.expires_ == 0 || entry.expires_ > now_) {
      continue;
    }
    entry.unlink();
    expired.push_back(entry);
  }
  // `OnTimeout` may destroy other entries, which unlinks them from `expired`.
  while (!expired.empty()) {
    TickEntry& entry = expired.front();
    entry.unlink();
    entries_.push_back(entry);
    if (entry.expires_ != 0) {
      entry.expires_ = 0;
      entry.OnTimeout();
    }
  }
}

}  // namespace cassiabend
