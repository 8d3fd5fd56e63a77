#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cassiabend/core/config_events.h"
#include "cassiabend/model/head.h"
#include "cassiabend/model/snapshot.h"

namespace cassiabend {

/// \brief The version that a change leads to.
struct NextVersion {
  RefPtr<const Snapshot> snapshot;
  /// From the base; unset for the first version.
  std::optional<ConfigDelta> delta;
};

/// \brief A next version, or why there is none.
using Plan = std::variant<NextVersion, CommitResult>;

/// \brief Checks what does not depend on the base: the change has an id and
/// edits, and no two edits concern the same item.
/// \returns The refusal; unset when there is none.
[[nodiscard]] std::optional<CommitResult> CheckChange(const Change& change);

/// \brief Applies a change to the newest version, or to none (null).
[[nodiscard]] Plan PlanChange(const Snapshot* base, const Change& change);

/// \brief Gives the newest version the content of an earlier one.
[[nodiscard]] Plan PlanRollback(const Snapshot& base,
                                const Snapshot& earlier,
                                const ChangeId& change_id,
                                const std::string& author);

/// \brief Gives the fleet's newest version a number above the store's.
/// \param store_number Number of the store's head, 0 when it has none.
[[nodiscard]] Plan PlanRecovery(const Snapshot& newest,
                                VersionNumber store_number,
                                const ChangeId& change_id,
                                const std::string& author);

/// \returns The result that refuses a change.
[[nodiscard]] CommitResult Refusal(CommitCode code,
                                   std::string path,
                                   std::string reason);

/// \returns The version that holds the change, by the head; unset when the
/// head does not know the change.
[[nodiscard]] std::optional<VersionMark> FindChange(const Head& head,
                                                    const ChangeId& id);

}  // namespace cassiabend
