#pragma once

#include <optional>

#include "cassiabend/core/config_events.h"
#include "cassiabend/model/change.h"
#include "cassiabend/rpc/admin_types.h"

namespace cassiabend {

/// \brief Checks that every edit concerns only teams of the operator: the
/// team of the item put, and that of the present item which it replaces or
/// removes. The check sees the version in force on this node, which may be
/// older than the store's head: unless the operator may change all teams,
/// each edit is made to hold only for the revision that was checked, so that
/// the commit cannot touch an item that has moved to another team since.
/// \param present The version in force; null before the first.
/// \returns The refusal; unset when the change is within the scope.
[[nodiscard]] std::optional<CommitResult> ApplyScope(const OperatorToken& who,
                                                     const Config* present,
                                                     Change* change);

/// \brief Checks that the operator may act on all teams.
[[nodiscard]] std::optional<CommitResult> CheckWholeScope(
    const OperatorToken& who,
    const ChangeId& change_id);

}  // namespace cassiabend
