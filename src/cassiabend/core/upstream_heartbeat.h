#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "cassiabend/base/time.h"

namespace cassiabend {

/// \brief State of an upstream as it reports it.
enum class UpstreamPhase : std::uint8_t {
  kReady,
  /// It stops soon and accepts no new work.
  kDraining,
  /// It has left the mesh.
  kLeft,
};

/// \brief One heartbeat of the upstream on this host.
struct UpstreamHeartbeat {
  /// Identifies one start of the upstream, but a restart may keep it.
  std::string instance;
  /// Start time by the upstream's clock; unset if it reports none.
  std::optional<WallTime> started_at;
  /// Increases with each heartbeat of one start; unset if it reports none.
  std::optional<std::uint64_t> sequence;
  std::string service;
  /// "ip:port" at which the upstream serves; empty if it states none.
  std::string address;
  /// Availability zone of the upstream; empty if it states none.
  std::string zone;
  /// Version of the upstream's software; empty if it states none.
  std::string version;
  std::uint32_t slots = 0;
  UpstreamPhase phase = UpstreamPhase::kReady;
  /// Time for which the upstream is still slow after its start.
  Milliseconds cold_left{0};

  [[nodiscard]] bool operator==(const UpstreamHeartbeat&) const = default;
};

}  // namespace cassiabend
