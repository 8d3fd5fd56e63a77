#pragma once

#include <string>
#include <vector>

#include "cassiabend/core/config_events.h"
#include "cassiabend/core/fleet_reducer.h"

namespace cassiabend {

/// \brief An operator of the administration API.
struct OperatorToken {
  std::string name;
  /// Hash of the operator's token, as returned by `HashToken`.
  std::string token_hash;
  /// Teams whose items the operator may change; "*" for all.
  std::vector<std::string> teams;

  [[nodiscard]] bool operator==(const OperatorToken&) const = default;
};

/// \returns The hash of an operator's token in the form used in the settings:
/// hexadecimal BLAKE2b-256.
[[nodiscard]] std::string HashToken(std::string_view token);

/// \brief The version in force on a node and its view of the fleet's members.
struct FleetStatus {
  VersionMark mark;
  std::vector<MemberView> members;
};

}  // namespace cassiabend
