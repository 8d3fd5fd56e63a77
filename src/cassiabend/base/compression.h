#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace cassiabend {

/// \returns `bytes` as one zstd frame that states its content's size.
/// \throws Error when there is no memory for it.
[[nodiscard]] std::string Compress(std::string_view bytes);

/// \param frame What `Compress` returned.
/// \param most Largest content to accept, in bytes.
/// \throws Error when `frame` is no such frame or holds more than `most`.
[[nodiscard]] std::string Decompress(std::string_view frame, std::size_t most);

}  // namespace cassiabend
