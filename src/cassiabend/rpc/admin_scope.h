#pragma once

#include <optional>

#include "cassiabend/core/config_events.h"
#include "cassiabend/model/change.h"
#include "cassiabend/rpc/admin_types.h"

namespace cassiabend {

/// \brief Checks that every edit concerns only tenants of the operator: the
/// tenant of the item put, and that of the present item which it replaces or
/// removes.
/// \param present The version in force; null before the first.
/// \returns The refusal; unset when the change is within the scope.
[[nodiscard]] std::optional<CommitResult> CheckScope(const OperatorToken& who,
                                                     const Change& change,
                                                     const Config* present);

/// \brief Checks that the operator may act on all tenants.
[[nodiscard]] std::optional<CommitResult> CheckWholeScope(
    const OperatorToken& who,
    const ChangeId& change_id);

}  // namespace cassiabend
