#pragma once

#include <string>
#include <vector>

#include "cassiabend/core/config_events.h"
#include "cassiabend/core/fleet_reducer.h"

namespace cassiabend {

/// \brief One operator who may administer.
struct OperatorToken {
  std::string name;
  /// Hash of the token as `HashToken` writes it.
  std::string token_hash;
  /// Teams whose items the operator may change; "*" for all.
  std::vector<std::string> teams;

  [[nodiscard]] bool operator==(const OperatorToken&) const = default;
};

/// \returns The hash of an operator's token, as settings hold it:
/// hexadecimal BLAKE2b-256.
[[nodiscard]] std::string HashToken(std::string_view token);

/// \brief What a node tells operators about itself and the fleet.
struct FleetStatus {
  VersionMark mark;
  std::vector<MemberView> members;
};

}  // namespace cassiabend
