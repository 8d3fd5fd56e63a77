#pragma once

#include <optional>

#include "cassiabend/core/config_events.h"
#include "cassiabend/model/change.h"
#include "cassiabend/rpc/admin_types.h"

namespace cassiabend {

/// \brief Checks that every edit concerns only the operator's teams: the team
/// of the item that it puts, and that of the item that it replaces or removes.
/// The check uses the version in force on this node, which may be older than
/// the store's head. Therefore, unless the operator may change all teams, each
/// edit is made conditional on the revision that was checked: the commit cannot
/// change an item that has moved to another team since.
/// \param current The version in force; null before the first one.
/// \param change Receives the expected revisions.
/// \returns The refusal; unset when the change is within the scope.
[[nodiscard]] std::optional<CommitResult> ApplyScope(const OperatorToken& who,
                                                     const Config* current,
                                                     Change* change);

/// \brief Checks that the operator may act on all teams.
/// \returns The refusal; unset when the operator may.
[[nodiscard]] std::optional<CommitResult> CheckAllTeamsScope(
    const OperatorToken& who,
    const ChangeId& change_id);

}  // namespace cassiabend
