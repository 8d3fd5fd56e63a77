#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace cassiabend {

/// \returns `bytes` as one zstd frame with the size of its content in the
/// header.
/// \throws Error when zstd fails, for lack of memory.
[[nodiscard]] std::string Compress(std::string_view bytes);

/// \param frame Result of `Compress`.
/// \param max_bytes Largest content to accept, in bytes.
/// \returns The content of the frame.
/// \throws Error when `frame` is not a valid frame with the size of its
/// content, or its content is larger than `max_bytes`.
[[nodiscard]] std::string Decompress(std::string_view frame,
                                     std::size_t max_bytes);

}  // namespace cassiabend
