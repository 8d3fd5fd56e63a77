#pragma once

#include <cstdint>
#include <string>
#include <string_view>
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

/// Largest rate of a team: a billion calls a second.
inline constexpr std::uint64_t kMaxRatePer1000s = 1'000'000'000'000;
/// Range of a route's timeout.
inline constexpr Milliseconds kMinTimeout{1};
inline constexpr Milliseconds kMaxTimeout = std::chrono::minutes(10);

/// \returns Whether an item may have this name: 1 to 128 characters out of
/// A-Z a-z 0-9 . _ -
[[nodiscard]] bool IsItemName(std::string_view text) noexcept;

/// \brief Checks a full version against every rule of the model.
/// \returns The violations: sites, services, routes, windows and teams in this
/// order, then routes that match the same calls. Empty when the version is
/// valid.
[[nodiscard]] std::vector<Violation> Validate(const Config& config);

}  // namespace cassiabend
