#pragma once

#include <cstdint>
#include <string>

#include "cassiabend/base/hash.h"

namespace cassiabend {

/// \brief Identity of a node across restarts: the address on which it accepts
/// its peers.
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

/// \brief Parses "ip:port".
/// \returns Whether `text` is well formed, with a non-zero port; `*id` is set
/// only then.
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

/// \brief Membership record of a node: what the node reports about itself and
/// its upstream, with the status that members assign to it.
struct Member {
  NodeId id;
  std::uint16_t call_port = 0;
  std::string region;
  std::string zone;
  /// Increases with each start of the process.
  std::uint64_t start_id = 0;
  /// Increases with each record that the same process issues about itself, like
  /// the incarnation number of SWIM.
  std::uint32_t revision = 0;
  MemberStatus status = MemberStatus::kAlive;
  /// Service of the upstream on the node's host; empty for none.
  std::string service;
  /// Number of calls that the upstream runs concurrently.
  std::uint32_t slots = 0;
  UpstreamState upstream_state = UpstreamState::kNone;
  /// Whether the node holds one of its zone's reader leases.
  bool is_reader = false;
  /// Version of the upstream's software; empty if it states none.
  std::string upstream_version;

  [[nodiscard]] bool operator==(const Member&) const = default;
};

/// \returns Whether `a` is a newer record than `b` of the same member: ordered
/// by start, then by revision, then by status, where a later enumerator wins.
[[nodiscard]] bool Supersedes(const Member& a, const Member& b) noexcept;

}  // namespace cassiabend
