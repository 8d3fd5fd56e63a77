#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace cassiabend {

/// \returns `bytes` in standard base64 with padding.
[[nodiscard]] std::string EncodeBase64(std::string_view bytes);

/// \returns The bytes that `text` encodes; unset when it is not standard base64
/// with padding.
[[nodiscard]] std::optional<std::string> DecodeBase64(std::string_view text);

}  // namespace cassiabend
