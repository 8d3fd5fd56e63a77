#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "cassiabend/base/ref_counted.h"
#include "cassiabend/core/store_types.h"
#include "cassiabend/model/change.h"
#include "cassiabend/model/head.h"
#include "cassiabend/model/snapshot.h"

namespace cassiabend {

/// \brief Identifies one request of an operator; unique within the process.
using AdminRequestId = std::uint64_t;

/// \brief Event: an operator asks for a change.
struct CommitRequested {
  AdminRequestId request = 0;
  Change change;
  bool dry_run = false;
};

/// \brief Event: an operator asks for a new version with the content of an
/// earlier one.
struct RollbackRequested {
  AdminRequestId request = 0;
  VersionNumber number = 0;
  ChangeId change_id;
  std::string author;
};

/// \brief Event: an operator asks to write the fleet's newest version to a
/// store that was restored to an older state.
struct RecoverRequested {
  AdminRequestId request = 0;
  ChangeId change_id;
  std::string author;
};

/// \brief Event: an operator asks for the head's history.
struct HistoryRequested {
  AdminRequestId request = 0;
};

/// \brief Event: an operator asks for an earlier version.
struct VersionRequested {
  AdminRequestId request = 0;
  VersionNumber number = 0;
};

using ConfigEvent = std::variant<CommitRequested,
                                 RollbackRequested,
                                 RecoverRequested,
                                 HistoryRequested,
                                 VersionRequested,
                                 StoreReplied>;

enum class CommitCode : std::uint8_t {
  kOk,
  kConflict,
  kInvalid,
  /// Not accepted; the request can be retried.
  kStoreUnavailable,
  /// May have been accepted; retry with the same change id.
  kOutcomeUnknown,
  kNotAuthorised,
  kStoreBehind,
  kNotFound,
  kBusy,
};

/// \brief The outcome of an operator's request.
struct CommitResult {
  CommitCode code = CommitCode::kOk;
  /// The field or item that the result refers to.
  std::string path;
  std::string reason;
  /// With `kConflict`: the version that changed the item.
  VersionNumber conflict_number = 0;
  ChangeId change_id;
  /// The version that contains the change; for a dry run, the one that it
  /// would create.
  VersionMark mark;

  [[nodiscard]] bool operator==(const CommitResult&) const = default;
};

/// \brief Effect: answer a commit, rollback or recover request.
struct CommitFinished {
  AdminRequestId request = 0;
  CommitResult result;
};

/// \brief Effect: answer a history request.
struct HistoryFinished {
  AdminRequestId request = 0;
  CommitResult result;
  std::vector<HistoryEntry> entries;
};

/// \brief Effect: answer a request for an earlier version.
struct VersionFinished {
  AdminRequestId request = 0;
  CommitResult result;
  RefPtr<const Snapshot> snapshot;
};

/// \brief Effect: this node committed a version or found one in the store.
struct VersionCommitted {
  RefPtr<const Snapshot> snapshot;
  /// Edits from the parent version; empty when only the full version is known.
  ConfigDelta delta;
  /// When the store request was sent that showed this version as the head.
  MonoTime confirmed_at{};
};

using ConfigEffect = std::variant<StoreCall,
                                  CommitFinished,
                                  HistoryFinished,
                                  VersionFinished,
                                  VersionCommitted>;

}  // namespace cassiabend
