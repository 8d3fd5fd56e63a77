#pragma once

#include <boost/json/object.hpp>
#include <string>
#include <vector>

#include "cassiabend/rpc/admin_types.h"

namespace cassiabend {

/// \brief Which nodes have a version, as one node sees the fleet.
struct Convergence {
  std::size_t in_force = 0;
  /// Reachable nodes with an older version.
  std::vector<MemberView> behind;
  /// Nodes that do not answer; their version is not known.
  std::vector<MemberView> unreachable;
};

/// \returns The state of the fleet with regard to the version `number`.
/// Members that have left do not count.
[[nodiscard]] Convergence ConvergenceOf(const FleetStatus& status,
                                        VersionNumber number);

/// \returns The JSON form of the fleet's status.
[[nodiscard]] boost::json::object StatusToJson(const FleetStatus& status);

/// \returns The fleet's status as tables for people: nodes per version and
/// zone, then the nodes that are behind or unreachable.
[[nodiscard]] std::string StatusToText(const FleetStatus& status);

/// \returns A sentence that names at most a few of `members`.
[[nodiscard]] std::string FormatMembers(const std::vector<MemberView>& members);

}  // namespace cassiabend
