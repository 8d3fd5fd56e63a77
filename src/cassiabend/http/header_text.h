#pragma once

#include <charconv>
#include <concepts>
#include <optional>
#include <string>
#include <string_view>

#include "cassiabend/base/time.h"

namespace cassiabend {

/// \returns Whether `text` begins with `prefix`, ignoring case.
[[nodiscard]] bool StartsWithIgnoreCase(std::string_view text,
                                        std::string_view prefix) noexcept;

/// \returns `text` with its ASCII letters in lower case.
[[nodiscard]] std::string ToLower(std::string_view text);

/// \brief Parses a decimal number that takes up all of `text`.
/// \returns Unset when `text` is no number or out of range.
template <std::unsigned_integral Number>
[[nodiscard]] std::optional<Number> ParseNumber(
    std::string_view text) noexcept {
  Number n = 0;
  const char* end = text.data() + text.size();
  const auto [it, ec] = std::from_chars(text.data(), end, n);
  if (ec != std::errc() || it != end) {
    return std::nullopt;
  }
  return n;
}

/// \brief Parses a time in milliseconds; more than a day counts as a day.
/// \returns Unset when `text` is no number.
[[nodiscard]] std::optional<Milliseconds> ParseMilliseconds(
    std::string_view text) noexcept;

/// Longest time that a header may state.
inline constexpr Milliseconds kMaxHeaderTime{24 * 3600 * 1000};

}  // namespace cassiabend
