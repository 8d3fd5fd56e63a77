#pragma once

#include <cstdint>

#include "cassiabend/base/hash.h"

namespace cassiabend {

/// \brief Number of a configuration version; 0 means that there is none.
using VersionNumber = std::uint64_t;

/// \brief Identifies one version of the configuration by its number and the
/// hash of its content.
struct VersionMark {
  VersionNumber number = 0;
  ContentHash hash;

  // clang-tidy 14 mistakes the 0 of a rewritten comparison for a pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  [[nodiscard]] auto operator<=>(const VersionMark&) const = default;
};

}  // namespace cassiabend
