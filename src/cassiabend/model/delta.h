#pragma once

#include <optional>

#include "cassiabend/base/ref_counted.h"
#include "cassiabend/model/change.h"
#include "cassiabend/model/snapshot.h"

namespace cassiabend {

/// \brief Applies a delta to the version that it starts from.
/// \returns The whole version that the delta names.
/// \throws ModelError unless `base` is the delta's base and the result has the
/// number and the hash that the delta states and is valid.
[[nodiscard]] RefPtr<const Snapshot> ApplyDelta(const Snapshot& base,
                                                const ConfigDelta& delta);

/// \brief Finds the delta to a version that was written whole elsewhere.
/// \returns Unset where an edit cannot say what differs, or where the delta
/// would hold more items than the version itself.
[[nodiscard]] std::optional<ConfigDelta> ComputeDelta(const Snapshot& base,
                                                      const Snapshot& next);

}  // namespace cassiabend
