#pragma once

#include <cstdint>

namespace cassiabend {

/// Size in bytes from which an answer counts as large: the bytes beyond it wait
/// for their share of the host's network link, and attempts of its class are
/// refused if the link cannot send their answers in time.
inline constexpr std::uint64_t kLargeAnswerBytes = std::uint64_t{16} * 1024;

}  // namespace cassiabend
