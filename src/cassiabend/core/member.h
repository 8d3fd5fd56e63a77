#pragma once

#include <cstdint>
#include <string>

#include "cassiabend/base/hash.h"

namespace cassiabend {

/// \brief Identity of a slot: the address that its node answers peers on.
struct NodeId {
  std::string ip;
  std::uint16_t peer_port = 0;

  [[nodiscard]] bool empty() const noexcept { return ip.empty(); }
  [[nodiscard]] auto operator<=>(const NodeId&) const = default;
};

/// \returns "ip:port".
[[nodiscard]] inline std::string ToString(const NodeId& id) {
  return id.ip + ":" + std::to_string(id.peer_port);
}

/// \brief Reads "ip:port".
/// \returns Whether `text` was well formed; `*id` is set only then.
[[nodiscard]] bool ParseNodeId(std::string_view text, NodeId* id);

struct NodeIdHasher {
  [[nodiscard]] std::size_t operator()(const NodeId& id) const noexcept {
    return static_cast<std::size_t>(Hash64(id.ip, id.peer_port));
  }
};

enum class MemberStatus : std::uint8_t { kAlive, kSuspect, kDead, kLeft };

enum class UpstreamState : std::uint8_t {
  kNone,
  kWarming,
  kServing,
  kDraining
};

/// \brief What a node states about itself and its upstream, with the status
/// that others hold it to have.
struct Member {
  NodeId id;
  std::uint16_t call_port = 0;
  std::string region;
  std::string zone;
  /// Greater for each start of the process.
  std::uint64_t start_id = 0;
  /// Greater for each statement of the same process about itself.
  std::uint32_t revision = 0;
  MemberStatus status = MemberStatus::kAlive;
  /// Service of the upstream on this host; empty for none.
  std::string service;
  /// Calls that the upstream runs at the same time.
  std::uint32_t slots = 0;
  UpstreamState upstream_state = UpstreamState::kNone;
  /// Whether the node holds one of its zone's reader leases.
  bool is_reader = false;

  [[nodiscard]] bool operator==(const Member&) const = default;
};

/// \returns Whether `a` is a newer statement than `b` about the same member:
/// by start, then by revision, then by the graver status.
[[nodiscard]] bool Supersedes(const Member& a, const Member& b) noexcept;

}  // namespace cassiabend
