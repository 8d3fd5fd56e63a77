#pragma once

namespace cassiabend {

/// \returns Whether a number is the status of an HTTP response: of an interim
/// one (100 to 199) or of a final one (200 to 599). A message with another
/// number is not a response.
[[nodiscard]] constexpr bool IsHttpStatus(unsigned status) noexcept {
  constexpr unsigned kFirst = 100;
  constexpr unsigned kLast = 599;
  return status >= kFirst && status <= kLast;
}

/// \returns Whether a number is the status of a final HTTP response.
[[nodiscard]] constexpr bool IsFinalHttpStatus(unsigned status) noexcept {
  constexpr unsigned kFirst = 200;
  return status >= kFirst && IsHttpStatus(status);
}

}  // namespace cassiabend
