#pragma once

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

#include "cassiabend/base/time.h"
#include "cassiabend/core/allotments/allotments.h"
#include "cassiabend/core/call_events.h"
#include "cassiabend/core/options.h"
#include "cassiabend/core/retry_budget.h"

namespace cassiabend {

/// \brief Sizes of the call path's state, for metrics.
struct CallCounts {
  std::size_t calls = 0;
  std::size_t attempts_queued = 0;
  std::size_t attempts_running = 0;
  std::size_t attempts_held = 0;
  std::size_t bodies_coming = 0;
  std::uint32_t new_work_slots = 0;
  std::size_t ejected = 0;
  std::uint64_t retries = 0;
  std::uint64_t retries_refused = 0;
  /// The retry budgets with the lowest balances.
  std::vector<RetryBudget::Balance> retry_budgets;
  /// The teams with the most calls, then all others under an empty name.
  std::vector<AllotmentCounts> allotments;
};

/// \brief Decides routing, balancing, admission, attempts, retries, orders,
/// quiet windows at dispatch, and draining.
class CallReducer {
 public:
  /// \param self This node's own membership entry.
  /// \param seed Seed of random choices and attempt ids.
  CallReducer(const CallOptions& options,
              const Member& self,
              std::uint64_t seed);
  CallReducer(const CallReducer&) = delete;
  CallReducer& operator=(const CallReducer&) = delete;
  ~CallReducer();

  /// \brief Handles one event and appends its effects to `*out`.
  void Reduce(const Instant& now,
              const CallEvent& event,
              std::vector<CallEffect>* out);

  [[nodiscard]] CallCounts counts() const;
  /// \returns Why a heartbeat is ignored, as another writer has sent it; empty
  /// when it is not.
  [[nodiscard]] std::string_view ForeignReasonOf(
      const UpstreamHeartbeat& heartbeat) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cassiabend
