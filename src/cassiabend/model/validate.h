#pragma once

#include <string>
#include <vector>

#include "cassiabend/model/config.h"

namespace cassiabend {

/// \brief One broken rule.
struct Violation {
  /// Field concerned, such as "routes[orders-eu].service".
  std::string path;
  std::string reason;

  [[nodiscard]] bool operator==(const Violation&) const = default;
};

/// \brief Checks every rule of the model on one whole version.
/// \returns The broken rules in the order of the lists; empty when valid.
[[nodiscard]] std::vector<Violation> Validate(const Config& config);

}  // namespace cassiabend
