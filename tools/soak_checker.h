#pragma once

#include <string>
#include <vector>

#include "tools/soak_history.h"

namespace cassiabend::soak {

/// Time from a commit until its version must be in force at every node
/// (docs/DESIGN.md, "What is promised").
inline constexpr Milliseconds kDisseminationLimit{4'000};
/// Time from the start of a node's shutdown after which its upstream must get
/// no new requests.
inline constexpr Milliseconds kDrainLimit{3'000};
/// Added to deadlines, as processes and callers may wait for a processor.
inline constexpr Milliseconds kDeadlineSlack{2'000};
/// A node must have read a request that was sent this long before it exited.
inline constexpr Milliseconds kReadSlack{500};
/// Added to `kDisseminationLimit` for the time that it takes to read a version.
inline constexpr Milliseconds kVersionReadSlack{500};
/// Calls of one kind after a recovery from which on at least one must be
/// answered.
inline constexpr std::size_t kMinRecoveryCalls = 3;

/// \brief A violated guarantee.
struct Violation {
  /// Short name of the guarantee.
  std::string promise;
  RunTime at{0};
  std::size_t host = 0;
  /// Request id or order key; may be empty.
  std::string request;
  std::string detail;

  [[nodiscard]] auto operator<=>(const Violation&) const = default;
};

/// \brief Checks a history against every guarantee.
/// \returns The violations, sorted by time.
[[nodiscard]] std::vector<Violation> Check(const History& history);

}  // namespace cassiabend::soak
