#pragma once

#include <cstdint>
#include <vector>

#include "cassiabend/base/random.h"
#include "cassiabend/base/time.h"
#include "cassiabend/core/config_events.h"
#include "cassiabend/core/options.h"

namespace cassiabend {

/// \brief The time of the event being reduced and the list that receives its
/// effects.
struct ReduceContext {
  Instant now;
  std::vector<ConfigEffect>* out = nullptr;
};

/// \brief State shared by the jobs of one `ConfigReducer`.
struct ConfigEnv {
  ConfigOptions options;
  Random random;
  /// Sequence number of the last store call.
  std::uint64_t last_sequence = 0;
  /// The version in force on this node; null if there is none.
  RefPtr<const Snapshot> newest;

  [[nodiscard]] VersionMark newest_mark() const noexcept {
    return newest ? newest->mark() : VersionMark{};
  }
};

}  // namespace cassiabend
