#pragma once

#include <cstdint>

#include "cassiabend/core/call_events.h"
#include "cassiabend/model/snapshot.h"

namespace cassiabend {

/// \brief As whom the entry node serves a call.
enum class CallerKind : std::uint8_t {
  /// The version in force has no teams; the call's team is what it states.
  kUnchecked,
  /// Anyone: the route is public.
  kAnyone,
  /// The team that holds the key.
  kTeam,
  /// Nobody: the key is missing or belongs to no team.
  kUnknown,
};

/// \brief Who makes a call, according to one configuration version.
struct CallerIdentity {
  CallerKind kind = CallerKind::kUnchecked;
  /// Set for `kTeam` only.
  const Team* team = nullptr;

  [[nodiscard]] bool operator==(const CallerIdentity&) const = default;
};

/// \returns The team that holds the key of a call; null when the version has no
/// teams, or the key is missing or belongs to none.
[[nodiscard]] const Team* TeamOf(const Snapshot& snapshot,
                                 const CallMetadata& call) noexcept;

/// \brief Identifies the caller of a call that was routed.
[[nodiscard]] CallerIdentity IdentifyCaller(const Snapshot& snapshot,
                                            const Route& route,
                                            const CallMetadata& call) noexcept;

/// \returns The priority that outranks the route's. A caller without a team,
/// and a team without a priority, rank by the route's on the same scale; it is
/// 0 for all calls where the version has no teams.
[[nodiscard]] std::uint32_t TeamPriorityOf(const CallerIdentity& caller,
                                           const Route& route) noexcept;

}  // namespace cassiabend
