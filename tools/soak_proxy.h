#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "cassiabend/base/time.h"
#include "tools/soak_history.h"
#include "tools/soak_run_clock.h"

namespace cassiabend::soak {

/// \brief TCP address on loopback.
struct Address {
  std::string ip;
  std::uint16_t port = 0;
};

/// \brief Network fault that a proxy simulates.
struct ProxyFault {
  /// Delay before the connection to the target, and before each forwarded
  /// chunk.
  Milliseconds delay{0};
  /// Whether bytes to the target, or from it, are held back.
  bool holds_forward = false;
  bool holds_back = false;
  /// Whether new connections are not accepted while the fault lasts.
  bool holds_accepts = false;
};

/// Lateness from which on the proxies' thread counts as stalled. It equals the
/// nodes' `http.connect_timeout_ms`, the shortest timeout that a stall can
/// trigger.
inline constexpr Milliseconds kStallLimit{250};

/// \brief TCP proxies on loopback that share a thread. Thread-safe.
class ProxySet {
 public:
  explicit ProxySet(const RunClock& clock);
  ProxySet(const ProxySet&) = delete;
  ProxySet& operator=(const ProxySet&) = delete;
  ~ProxySet();

  /// \brief Adds a proxy that forwards connections from `listen` to `target`.
  /// \param listen Port 0 selects any free port.
  /// \returns The port that the proxy listens on.
  /// \throws boost::system::system_error when it cannot listen.
  [[nodiscard]] std::uint16_t Add(const Address& listen, const Address& target);
  /// \brief Replaces the fault of the proxy that listens at `proxy`.
  void SetFault(const Address& proxy, const ProxyFault& fault);
  /// \brief Resets all connections of a proxy.
  void Reset(const Address& proxy);
  /// \returns The times in which the proxies' thread did not run.
  [[nodiscard]] std::vector<TimeSpan> Stalls() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cassiabend::soak
