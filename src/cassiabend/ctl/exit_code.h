#pragma once

#include <cstdint>
#include <string_view>

#include "cassiabend/core/config_events.h"

namespace cassiabend {

/// \brief Exit codes of cassiabend-ctl. `kExitCodeTexts` has the same order.
enum class ExitCode : std::uint8_t {
  kOk,
  kUsage,
  kInvalid,
  kConflict,
  kUnavailable,
  kOutcomeUnknown,
  kNotAuthorised,
  kWaitTimedOut,
  kUnreachableNodes,
  kNotFound,
  kStoreBehind,
};

/// Meaning of each exit code, for --help and error messages.
inline constexpr std::string_view kExitCodeTexts[] = {
    "done",
    "the command line or a file cannot be used",
    "refused: the change breaks a rule",
    "conflict: somebody else changed the same item first",
    "unavailable: nothing was changed; ask again later",
    "outcome unknown: ask again with the same --change-id",
    "not authorised",
    "the wait timed out: some nodes have an older version",
    "in force on every reachable node; some nodes are unreachable",
    "not found",
    "the store is older than the fleet; see the command recover",
};

/// \returns The exit code for the result of an operator's request.
[[nodiscard]] constexpr ExitCode ToExitCode(CommitCode code) noexcept {
  switch (code) {
    case CommitCode::kOk:
      return ExitCode::kOk;
    case CommitCode::kConflict:
      return ExitCode::kConflict;
    case CommitCode::kInvalid:
      return ExitCode::kInvalid;
    case CommitCode::kStoreUnavailable:
    case CommitCode::kBusy:
      return ExitCode::kUnavailable;
    case CommitCode::kOutcomeUnknown:
      return ExitCode::kOutcomeUnknown;
    case CommitCode::kNotAuthorised:
      return ExitCode::kNotAuthorised;
    case CommitCode::kStoreBehind:
      return ExitCode::kStoreBehind;
    case CommitCode::kNotFound:
      return ExitCode::kNotFound;
  }
  return ExitCode::kOutcomeUnknown;
}

}  // namespace cassiabend
