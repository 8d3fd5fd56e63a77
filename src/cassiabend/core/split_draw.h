#pragma once

#include <string>

#include "cassiabend/base/random.h"
#include "cassiabend/model/config.h"

namespace cassiabend {

/// \brief Draws from a route's split by weight. Each call keeps its service:
/// what one service has no room for is not moved to another.
/// \returns The service; the route's own where it has no split.
[[nodiscard]] std::string DrawService(const Route& route, Random* random);

}  // namespace cassiabend
