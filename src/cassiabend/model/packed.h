#pragma once

#include <string>
#include <string_view>

#include "cassiabend/base/compression.h"
#include "cassiabend/base/error.h"
#include "cassiabend/model/codec.h"

namespace cassiabend {

/// Largest encoded value that a node takes from a peer, in bytes.
inline constexpr std::size_t kMaxEncodedBytes = std::size_t{64} * 1024 * 1024;

/// \brief Decompresses an encoded value of the kind `what`.
/// \throws ModelError when `packed` is not one.
[[nodiscard]] inline std::string UnpackBytes(std::string_view packed,
                                             const char* what) {
  try {
    return Decompress(packed, kMaxEncodedBytes);
  } catch (const Error& error) {
    throw ModelError("cannot decode", what, error.what());
  }
}

}  // namespace cassiabend
