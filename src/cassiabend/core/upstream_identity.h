#pragma once

#include <optional>
#include <string>

#include "cassiabend/core/upstream_heartbeat.h"

namespace cassiabend {

/// \brief How a heartbeat relates to the known start of the upstream.
enum class HeartbeatKind : std::uint8_t {
  /// It is older than the newest one, or of an earlier start, and is ignored.
  kStale,
  /// It is of the known start.
  kSameStart,
  /// It is of another start, which replaces the known one.
  kNewStart,
};

/// \brief Determines which start of the upstream on this host is the current
/// one. A heartbeat that was delayed may arrive after its sender has stopped
/// and another start has reported. Starts are told apart by instance id and
/// start time, heartbeats of one start by their sequence. As the upstream's
/// clock may have been set back, an earlier start time is accepted once the
/// known start has sent no heartbeat for some time.
class UpstreamIdentity {
 public:
  /// \returns Instance id of the current start; empty if none is known.
  [[nodiscard]] const std::string& instance() const noexcept {
    return instance_;
  }

  /// \brief Records a heartbeat.
  /// \param silence Time without a heartbeat after which the known start may
  /// have ended.
  /// \returns How the heartbeat relates to the known start.
  [[nodiscard]] HeartbeatKind OnHeartbeat(MonoTime now,
                                          Milliseconds silence,
                                          const UpstreamHeartbeat& heartbeat);
  /// \brief Sets the instance id that the upstream returned to a probe.
  void SetInstance(MonoTime now, std::string instance);
  /// \brief Forgets the current start: another one answers at its address.
  void Reset() noexcept;

 private:
  [[nodiscard]] bool IsEarlierStart(MonoTime now,
                                    Milliseconds silence,
                                    const UpstreamHeartbeat& heartbeat) const;

  std::string instance_;
  std::optional<WallTime> started_at_;
  std::optional<std::uint64_t> sequence_;
  std::optional<MonoTime> last_heartbeat_at_;
};

}  // namespace cassiabend
