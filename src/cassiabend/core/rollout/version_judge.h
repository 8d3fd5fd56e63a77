#pragma once

#include <cstddef>
#include <cstdint>

#include "cassiabend/core/rollout/version_counts.h"

namespace cassiabend {

/// \brief In what a version is worse than the one before it.
enum class VersionFault : std::uint8_t { kNone, kFailures, kTimes };

/// \brief Compares two versions by the answers to calls of the same class in
/// the same time, so that what strikes both condemns neither.
///
/// A version is worse if, beyond reasonable doubt, it fails more than twice as
/// often, if its answers take more than 2.5 times as long, or if more than
/// twice as many are bad: failures, or much slower than the old version's
/// median. Upstreams that have just started take up to twice as long.
[[nodiscard]] VersionFault FindFault(const VersionCounts& new_version,
                                     const VersionCounts& old_version);

/// \returns The bucket of the median time.
[[nodiscard]] std::size_t MedianBucket(const VersionCounts& counts);

}  // namespace cassiabend
