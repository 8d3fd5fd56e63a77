#pragma once

#include <string>
#include <vector>

#include "cassiabend/base/time.h"
#include "cassiabend/model/version.h"

namespace cassiabend {

/// \brief One accepted version that can still be read.
struct HistoryEntry {
  VersionMark mark;
  ChangeId change_id;
  std::string author;
  WallTime committed_at{};
  /// Store keys of the full value's chunks, in order.
  std::vector<std::string> value_keys;

  [[nodiscard]] bool operator==(const HistoryEntry&) const = default;
};

/// \brief One accepted change.
struct CommittedChange {
  VersionNumber number = 0;
  ChangeId change_id;

  [[nodiscard]] bool operator==(const CommittedChange&) const = default;
};

/// \brief Value of the head key: the newest accepted version. Writing it by
/// compare-and-swap is the commit point.
struct Head {
  VersionMark mark;
  std::vector<std::string> value_keys;
  /// Key of the delta from the version before; empty when there is none.
  std::string delta_key;
  /// Newest first.
  std::vector<CommittedChange> recent;
  /// Newest first; the first entry is `mark`.
  std::vector<HistoryEntry> history;

  [[nodiscard]] bool operator==(const Head&) const = default;
};

}  // namespace cassiabend
