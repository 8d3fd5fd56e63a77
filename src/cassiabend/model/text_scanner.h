#pragma once

#include <charconv>
#include <cstddef>
#include <string_view>

namespace cassiabend {

/// \brief Reads a text with fields of fixed form from left to right.
class TextScanner {
 public:
  explicit TextScanner(std::string_view text) noexcept : rest_(text) {}

  [[nodiscard]] bool AtEnd() const noexcept { return rest_.empty(); }
  [[nodiscard]] bool NextIs(char c) const noexcept {
    return rest_.starts_with(c);
  }

  /// \brief Reads a number of exactly `digits` digits.
  /// \returns The number, or -1 when the next characters are no such number or
  /// it is above `max`; then nothing is consumed.
  int ReadNumber(std::size_t digits, int max) noexcept {
    if (rest_.size() < digits) {
      return -1;
    }
    int value = -1;
    const char* end = rest_.data() + digits;
    const auto [it, ec] = std::from_chars(rest_.data(), end, value);
    if (ec != std::errc() || it != end || value < 0 || value > max) {
      return -1;
    }
    rest_.remove_prefix(digits);
    return value;
  }

  /// \brief Consumes `c` if it is the next character.
  /// \returns Whether it was.
  bool Consume(char c) noexcept {
    if (!NextIs(c)) {
      return false;
    }
    rest_.remove_prefix(1);
    return true;
  }

  /// \brief Consumes the letters that come next.
  /// \returns Their number.
  std::size_t SkipLetters() noexcept {
    std::size_t n = 0;
    while (n < rest_.size() && IsLetter(rest_[n])) {
      ++n;
    }
    rest_.remove_prefix(n);
    return n;
  }

 private:
  static bool IsLetter(char c) noexcept {
    return (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z');
  }

  std::string_view rest_;
};

}  // namespace cassiabend
