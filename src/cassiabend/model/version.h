#pragma once

#include <cstdint>

#include "cassiabend/base/hash.h"

namespace cassiabend {

/// \brief Number of a configuration version; 0 stands for "none".
using VersionNumber = std::uint64_t;

/// \brief Names one version of the configuration.
struct VersionMark {
  VersionNumber number = 0;
  ContentHash hash;

  // clang-tidy 14 takes the 0 of a rewritten comparison for a pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  [[nodiscard]] auto operator<=>(const VersionMark&) const = default;
};

}  // namespace cassiabend
