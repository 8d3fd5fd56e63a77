#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "cassiabend/base/time.h"

namespace cassiabend {

/// \returns RFC 3339 text in UTC, such as "2026-03-08T10:00:00Z". Milliseconds
/// are included unless they are 0.
[[nodiscard]] std::string FormatWallTime(WallTime time);

/// \brief Parses RFC 3339 text in UTC, with or without milliseconds.
/// \returns Unset when `text` is not such a time.
[[nodiscard]] std::optional<WallTime> ParseWallTime(std::string_view text);

/// \param minutes Minutes after midnight.
/// \returns The time of day as "HH:MM".
[[nodiscard]] std::string FormatTimeOfDay(std::chrono::minutes minutes);

/// \brief Parses "HH:MM" from 00:00 to 23:59.
/// \returns Minutes after midnight; unset when `text` is not a time of day.
[[nodiscard]] std::optional<std::chrono::minutes> ParseTimeOfDay(
    std::string_view text);

}  // namespace cassiabend
