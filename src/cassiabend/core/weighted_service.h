#pragma once

#include <string>

#include "cassiabend/base/random.h"
#include "cassiabend/model/config.h"

namespace cassiabend {

/// \brief Picks the service of a call at random by the weights of its route's
/// traffic split. The call stays with this service: calls that one service has
/// no capacity for do not move to another.
/// \returns The service; the route's own if the route has no split.
[[nodiscard]] std::string PickWeightedService(const Route& route,
                                              Random* random);

}  // namespace cassiabend
