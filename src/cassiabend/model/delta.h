#pragma once

#include <optional>

#include "cassiabend/base/ref_counted.h"
#include "cassiabend/model/change.h"
#include "cassiabend/model/snapshot.h"

namespace cassiabend {

/// \brief Applies a delta to its base version.
/// \returns The full version that results.
/// \throws ModelError when `base` is not the base of the delta, or when the
/// result is not valid or does not match the number and hash in the delta.
[[nodiscard]] RefPtr<const Snapshot> ApplyDelta(const Snapshot& base,
                                                const ConfigDelta& delta);

/// \brief Computes the delta between two full versions.
/// \returns Unset when `next` is not newer than `base`, when the caller limits
/// differ, which edits cannot express, or when the delta would hold at least as
/// many edits as `next` has items.
[[nodiscard]] std::optional<ConfigDelta> ComputeDelta(const Snapshot& base,
                                                      const Snapshot& next);

}  // namespace cassiabend
