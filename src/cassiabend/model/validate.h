#pragma once

#include <string>
#include <vector>

#include "cassiabend/model/config.h"

namespace cassiabend {

/// \brief One rule of the model that a configuration breaks.
struct Violation {
  /// Field that breaks the rule, such as "routes[orders-eu].service".
  std::string path;
  std::string reason;

  [[nodiscard]] bool operator==(const Violation&) const = default;
};

/// \brief Checks a full version against every rule of the model.
/// \returns The violations: sites, services, routes, windows and teams in this
/// order, then routes that match the same calls. Empty when the version is
/// valid.
[[nodiscard]] std::vector<Violation> Validate(const Config& config);

}  // namespace cassiabend
