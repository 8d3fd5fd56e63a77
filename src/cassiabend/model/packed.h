#pragma once

#include <string>
#include <string_view>

#include "cassiabend/base/compression.h"
#include "cassiabend/base/error.h"
#include "cassiabend/model/codec.h"

namespace cassiabend {

/// Largest decompressed value that a node accepts from a peer, in bytes.
inline constexpr std::size_t kMaxEncodedBytes = std::size_t{64} * 1024 * 1024;

/// \brief Decompresses an encoded value.
/// \param what What the value is, for errors.
/// \throws ModelError when `packed` is not valid compressed data, or its
/// content is larger than `kMaxEncodedBytes`.
[[nodiscard]] inline std::string UnpackBytes(std::string_view packed,
                                             const char* what) {
  try {
    return Decompress(packed, kMaxEncodedBytes);
  } catch (const Error& error) {
    throw ModelError("cannot decode", what, error.what());
  }
}

}  // namespace cassiabend
