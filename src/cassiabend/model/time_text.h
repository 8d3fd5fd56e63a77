#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "cassiabend/base/time.h"

namespace cassiabend {

/// \returns RFC 3339 text in UTC with milliseconds where there are any, such
/// as "2026-03-08T10:00:00Z".
[[nodiscard]] std::string FormatWallTime(WallTime time);

/// \brief Reads RFC 3339 text in UTC, with or without milliseconds.
/// \returns Unset when `text` is not such a time.
[[nodiscard]] std::optional<WallTime> ParseWallTime(std::string_view text);

/// \returns Minutes after midnight as "HH:MM".
[[nodiscard]] std::string FormatTimeOfDay(std::chrono::minutes minutes);

/// \brief Reads "HH:MM" from 00:00 to 23:59.
[[nodiscard]] std::optional<std::chrono::minutes> ParseTimeOfDay(
    std::string_view text);

}  // namespace cassiabend
