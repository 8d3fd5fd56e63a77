#pragma once

#include <cstdint>

namespace cassiabend {

/// Bytes from which an answer counts as large: what it sends beyond them waits
/// for its share of the host's link, and its class is refused where the link
/// cannot send it in time.
inline constexpr std::uint64_t kLargeAnswerBytes = std::uint64_t{16} * 1024;

}  // namespace cassiabend
