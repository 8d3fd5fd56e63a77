#pragma once

#include <string_view>

#include "cassiabend/base/hash.h"

namespace cassiabend {

/// \brief Digest that identifies a caller's key without revealing it.
using KeyDigest = Id128;

/// \returns The 128-bit BLAKE2b digest of a key.
[[nodiscard]] KeyDigest DigestOfKey(std::string_view key) noexcept;

}  // namespace cassiabend
