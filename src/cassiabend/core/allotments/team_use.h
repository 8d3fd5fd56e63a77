#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cassiabend/core/member.h"

namespace cassiabend {

/// \brief One team's calls at some nodes, within the allotment window.
struct TeamUse {
  /// Hash of the team's name.
  std::uint64_t team = 0;
  /// Calls admitted by nodes that are heard.
  std::uint32_t admitted = 0;
  /// Calls that nodes that are not heard may have admitted.
  std::uint32_t held = 0;
  /// Calls that asked to be admitted at nodes that are heard, per 1,000 s.
  std::uint64_t demand_per_1000s = 0;

  [[nodiscard]] bool operator==(const TeamUse&) const = default;
};

/// \brief Which nodes a use report speaks for.
enum class UseScope : std::uint8_t {
  /// The sender and those that report to it.
  kBelow,
  /// All nodes but the receiver and those that report to it.
  kElsewhere,
  /// The sender's whole zone.
  kZone,
  /// None: the sender reports to another node from now on.
  kNone,
};

/// \brief What one node tells another of the teams' use.
struct UseReport {
  UseScope scope = UseScope::kBelow;
  /// Share of all nodes, in millionths, whose use in the window is unknown as
  /// they have just started.
  std::uint32_t unknown_ppm = 0;
  std::vector<TeamUse> uses;

  [[nodiscard]] bool operator==(const UseReport&) const = default;
};

/// \brief To whom a node reports the use of teams.
struct UseLinks {
  /// Unset for the node that speaks for its zone.
  std::optional<NodeId> parent;
  /// Takes the parent's place while that is not heard; if unset, this node then
  /// speaks for its zone itself.
  std::optional<NodeId> backup;
  /// The nodes that speak for the other zones, by zone; empty unless this node
  /// may speak for its own.
  std::map<std::string, NodeId> zones;
  /// Number of known nodes, this one included.
  std::uint32_t nodes = 1;

  [[nodiscard]] bool operator==(const UseLinks&) const = default;
};

}  // namespace cassiabend
