#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "tools/soak_history.h"
#include "tools/soak_proxy.h"
#include "tools/soak_run_clock.h"

namespace cassiabend::soak {

struct CallersOptions {
  /// Call addresses of the nodes, by host.
  std::vector<Address> entries;
  std::size_t callers_per_host = 2;
  /// Share of the calls that are downloads, in percent.
  std::uint32_t download_percent = 20;
  std::uint64_t seed = 1;
};

/// \brief Callers on a thread each. A caller reuses its connection until the
/// node closes it.
class Callers {
 public:
  Callers(CallersOptions options, const RunClock& clock);
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;
  /// \brief Calls `Stop`.
  ~Callers();

  void Start();
  /// \brief Waits until each caller has ended its current call, and joins the
  /// threads.
  void Stop();
  /// \returns The calls that have ended.
  [[nodiscard]] std::vector<CallRecord> Records() const;

 private:
  class Caller;

  void Add(CallRecord record);

  CallersOptions options_;
  const RunClock& clock_;
  std::atomic<bool> is_stopping_ = false;
  std::vector<std::thread> threads_;
  mutable std::mutex mutex_;
  std::vector<CallRecord> records_;
};

}  // namespace cassiabend::soak
