#pragma once

#include <string_view>
#include <vector>

#include "cassiabend/rpc/admin_types.h"

namespace cassiabend {

/// \brief Finds the operator with a token. Against timing attacks, the time
/// taken depends neither on which operator matches nor on how much of the token
/// is correct.
/// \returns Null when no operator has the token.
[[nodiscard]] const OperatorToken* FindOperator(
    const std::vector<OperatorToken>& operators,
    std::string_view token);

/// \brief Whether an operator may change items of `team`. Shared items, whose
/// team is empty, need the team "*".
[[nodiscard]] bool MayChangeTeam(const OperatorToken& who,
                                 std::string_view team);

}  // namespace cassiabend
