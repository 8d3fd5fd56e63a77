#pragma once

#include <string_view>
#include <vector>

#include "cassiabend/rpc/admin_types.h"

namespace cassiabend {

/// \brief Finds the operator of a token. The time taken does not depend on
/// which operator it is, or on how much of the token is right.
/// \returns Null when there is none.
[[nodiscard]] const OperatorToken* FindOperator(
    const std::vector<OperatorToken>& operators,
    std::string_view token);

/// \brief Whether an operator may change items of `team`. Shared items, whose
/// team is empty, need the team "*".
[[nodiscard]] bool MayChangeTeam(const OperatorToken& who,
                                 std::string_view team);

}  // namespace cassiabend
