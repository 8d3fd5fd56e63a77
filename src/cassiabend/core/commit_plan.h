#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cassiabend/core/config_events.h"
#include "cassiabend/model/head.h"
#include "cassiabend/model/snapshot.h"

namespace cassiabend {

/// \brief The version that a request creates.
struct NextVersion {
  RefPtr<const Snapshot> snapshot;
  /// The delta from the base version; unset for the first version.
  std::optional<ConfigDelta> delta;
};

/// \brief The next version, or the refusal of the request.
using Plan = std::variant<NextVersion, CommitResult>;

/// \brief Checks what does not depend on the base version: the change has an id
/// and edits, and no two edits concern the same item.
/// \returns The refusal; unset when the change is valid.
[[nodiscard]] std::optional<CommitResult> CheckChange(const Change& change);

/// \brief Plans the version that applies `change` to the newest version.
/// \param base The newest version; null when there is none.
[[nodiscard]] Plan PlanChange(const Snapshot* base, const Change& change);

/// \brief Plans the version after `base` with the content of `earlier`.
[[nodiscard]] Plan PlanRollback(const Snapshot& base,
                                const Snapshot& earlier,
                                const ChangeId& change_id,
                                const std::string& author);

/// \brief Plans the version that repeats the content of the fleet's newest
/// version under a number above its own and the store's.
/// \param store_number Version number of the store's head, 0 when there is no
/// head.
[[nodiscard]] Plan PlanRecovery(const Snapshot& newest,
                                VersionNumber store_number,
                                const ChangeId& change_id,
                                const std::string& author);

/// \returns The result that refuses a request.
[[nodiscard]] CommitResult MakeRefusal(CommitCode code,
                                       std::string path,
                                       std::string reason);

/// \returns The version that contains the change, according to `head`; unset
/// when the head does not list the change. The hash is zero when the version is
/// no longer in the history.
[[nodiscard]] std::optional<VersionMark> FindChange(const Head& head,
                                                    const ChangeId& id);

}  // namespace cassiabend
