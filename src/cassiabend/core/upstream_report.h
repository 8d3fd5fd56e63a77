#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "cassiabend/base/time.h"

namespace cassiabend {

/// \brief What an upstream says of its own state.
enum class UpstreamPhase : std::uint8_t {
  kReady,
  /// It ends soon and wants no new work.
  kDraining,
  /// It has left the mesh.
  kLeft,
};

/// \brief One heartbeat of the upstream on this host.
struct UpstreamReport {
  /// Names one start of the upstream, mostly; a restart may keep it.
  std::string instance;
  /// When that start was, by the upstream's clock; unset when it is not said.
  std::optional<WallTime> started_at;
  /// Grows with each heartbeat of one start; unset when it is not said.
  std::optional<std::uint64_t> sequence;
  std::string service;
  std::uint32_t slots = 0;
  UpstreamPhase phase = UpstreamPhase::kReady;
  /// How much longer the upstream is slow after its start.
  Milliseconds cold_left{0};

  [[nodiscard]] bool operator==(const UpstreamReport&) const = default;
};

}  // namespace cassiabend
