#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "cassiabend/base/time.h"
#include "tools/soak_history.h"
#include "tools/soak_run_clock.h"

namespace cassiabend::soak {

/// \brief An address on loopback.
struct Address {
  std::string ip;
  std::uint16_t port = 0;
};

/// \brief What a proxy does to its connections.
struct LinkFault {
  /// Wait before a connection goes on to its target, and before each piece.
  Milliseconds delay{0};
  /// Whether bytes towards the target, or back from it, are held.
  bool holds_forward = false;
  bool holds_back = false;
  /// Whether connections that open meanwhile wait until this ends.
  bool opens_late = false;
};

/// The proxies count as stalled when they run so much later than they should:
/// the nodes' `http.connect_timeout_ms`, the shortest time that they judge by.
inline constexpr Milliseconds kStallLimit{250};

/// \brief TCP proxies on loopback, on a thread of their own.
class ProxySet {
 public:
  explicit ProxySet(const RunClock& clock);
  ProxySet(const ProxySet&) = delete;
  ProxySet& operator=(const ProxySet&) = delete;
  ~ProxySet();

  /// \brief Adds a proxy that listens at `ip`, on a port that the system
  /// chooses.
  /// \returns That port.
  /// \throws boost::system::system_error when it cannot listen.
  [[nodiscard]] std::uint16_t Add(const Address& listen, const Address& target);
  /// \brief Sets what the proxy on `port` of `ip` does from now on.
  void SetFault(const Address& proxy, const LinkFault& fault);
  /// \brief Resets every connection of a proxy.
  void Reset(const Address& proxy);
  /// \returns The spans in which the proxies stood still.
  [[nodiscard]] std::vector<Span> Stalls() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cassiabend::soak
