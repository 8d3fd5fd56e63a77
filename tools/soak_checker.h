#pragma once

#include <string>
#include <vector>

#include "tools/soak_history.h"

namespace cassiabend::soak {

/// A version is in force everywhere so long after its commit (docs/DESIGN.md,
/// "What is promised").
inline constexpr Milliseconds kSpreadLimit{4'000};
/// An upstream gets no new work so long after its node began to leave.
inline constexpr Milliseconds kGateLimit{3'000};
/// Added to deadlines for processes and callers that wait for a processor.
inline constexpr Milliseconds kDeadlineSlack{2'000};
/// A request that was written so long before its node ended was read.
inline constexpr Milliseconds kReadSlack{500};
/// Added to `kSpreadLimit` for the time that reading a version takes.
inline constexpr Milliseconds kVersionReadSlack{500};
/// Calls of a kind from which on one of them must be served after a recovery.
inline constexpr std::size_t kRecoveryCalls = 3;

/// \brief A promise that a history does not keep.
struct Violation {
  /// Short name of the promise.
  std::string promise;
  RunTime at{0};
  std::size_t host = 0;
  /// Request id or order key; may be empty.
  std::string request;
  std::string detail;

  [[nodiscard]] auto operator<=>(const Violation&) const = default;
};

/// \returns Every violation, by time.
[[nodiscard]] std::vector<Violation> Check(const History& history);

}  // namespace cassiabend::soak
