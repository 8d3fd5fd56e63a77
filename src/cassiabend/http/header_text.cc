#include "cassiabend/http/header_text.h"

#include <algorithm>
#include <cstdint>

#include "cassiabend/http/message.h"

namespace cassiabend {

bool StartsWithIgnoreCase(std::string_view text,
                          std::string_view prefix) noexcept {
  return text.size() >= prefix.size() &&
         EqualsIgnoreCase(text.substr(0, prefix.size()), prefix);
}

std::string ToLower(std::string_view text) {
  std::string out(text);
  for (char& c : out) {
    if (c >= 'A' && c <= 'Z') {
      c = static_cast<char>(c - 'A' + 'a');
    }
  }
  return out;
}

std::optional<Milliseconds> ParseMilliseconds(std::string_view text) noexcept {
  const auto n = ParseNumber<std::uint64_t>(text);
  if (!n.has_value()) {
    return std::nullopt;
  }
  return Milliseconds(std::min<std::uint64_t>(*n, kMaxHeaderTime.count()));
}

}  // namespace cassiabend
