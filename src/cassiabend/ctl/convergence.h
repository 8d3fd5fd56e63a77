#pragma once

#include <boost/json/object.hpp>
#include <string>
#include <vector>

#include "cassiabend/rpc/admin_types.h"

namespace cassiabend {

/// \brief Which nodes have applied a version, as one node sees the fleet.
struct Convergence {
  /// Nodes with this version or a newer one.
  std::size_t in_force = 0;
  /// Reachable nodes with an older version.
  std::vector<MemberView> behind;
  /// Nodes that do not answer and were last known with an older version.
  std::vector<MemberView> unreachable;
};

/// \returns Which members have applied the version `number`. Members that have
/// left are not counted.
[[nodiscard]] Convergence ConvergenceOf(const FleetStatus& status,
                                        VersionNumber number);

/// \returns The JSON form of the fleet's status.
[[nodiscard]] boost::json::object StatusToJson(const FleetStatus& status);

/// \returns The fleet's status as text: a table of nodes per zone and version,
/// then the nodes that are behind or unreachable.
[[nodiscard]] std::string StatusToText(const FleetStatus& status);

/// \returns The ids, zones and versions of `members`, shortened when there are
/// many.
[[nodiscard]] std::string FormatMembers(const std::vector<MemberView>& members);

}  // namespace cassiabend
