#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace cassiabend {

/// \returns `bytes` in standard base64 with padding.
[[nodiscard]] std::string EncodeBase64(std::string_view bytes);

/// \returns The bytes that `text` stands for; unset when it is malformed.
[[nodiscard]] std::optional<std::string> DecodeBase64(std::string_view text);

}  // namespace cassiabend
