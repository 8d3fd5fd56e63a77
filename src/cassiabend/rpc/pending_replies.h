#pragma once

#include <kj/async.h>
#include <kj/debug.h>
#include <kj/memory.h>
#include <kj/timer.h>

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <utility>

#include "cassiabend/base/time.h"

namespace cassiabend {

/// \brief Requests from other processes that wait for the core's reply. Used on
/// the thread of a KJ event loop only. Shared with the waiting calls, because
/// they may outlive the server that received them.
template <typename Reply>
class PendingReplies final
    : public std::enable_shared_from_this<PendingReplies<Reply>> {
 public:
  PendingReplies(kj::Timer& timer, std::size_t limit, Milliseconds timeout)
      : timer_(timer), limit_(limit), timeout_(timeout) {}

  [[nodiscard]] bool IsFull() const noexcept {
    return waiting_.size() >= limit_;
  }

  /// \brief Waits for `Fulfill(id, reply)`.
  /// \returns A promise of the reply; it fails after the timeout.
  [[nodiscard]] kj::Promise<kj::Own<Reply>> Wait(std::uint64_t id) {
    auto pair = kj::newPromiseAndFulfiller<kj::Own<Reply>>();
    waiting_.emplace(id, kj::mv(pair.fulfiller));
    return timer_
        .timeoutAfter(timeout_.count() * kj::MILLISECONDS, kj::mv(pair.promise))
        .attach(kj::defer([self = this->shared_from_this(), id] {
          self->waiting_.erase(id);
        }));
  }

  /// \brief Passes the reply to a request; does nothing when the request no
  /// longer waits.
  void Fulfill(std::uint64_t id, Reply reply) {
    const auto it = waiting_.find(id);
    if (it != waiting_.end()) {
      it->second->fulfill(kj::heap<Reply>(std::move(reply)));
    }
  }

  /// \brief Fails all waiting requests.
  void Close() {
    auto waiting = std::exchange(waiting_, {});
    for (auto& it : waiting) {
      it.second->reject(KJ_EXCEPTION(DISCONNECTED, "the node is closing"));
    }
  }

 private:
  kj::Timer& timer_;
  std::size_t limit_;
  Milliseconds timeout_;
  std::unordered_map<std::uint64_t,
                     kj::Own<kj::PromiseFulfiller<kj::Own<Reply>>>>
      waiting_;
};

}  // namespace cassiabend
