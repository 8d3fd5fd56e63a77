#pragma once

#include <string>
#include <vector>

#include "cassiabend/base/time.h"
#include "cassiabend/model/version.h"

namespace cassiabend {

/// \brief One committed version that can still be read from the store.
struct HistoryEntry {
  VersionMark mark;
  ChangeId change_id;
  std::string author;
  WallTime committed_at{};
  /// Store keys of the chunks of the full value, in order.
  std::vector<std::string> value_keys;

  [[nodiscard]] bool operator==(const HistoryEntry&) const = default;
};

/// \brief One committed change and the version that it produced.
struct CommittedChange {
  VersionNumber number = 0;
  ChangeId change_id;

  [[nodiscard]] bool operator==(const CommittedChange&) const = default;
};

/// \brief Value of the head key in the store: the newest committed version. A
/// change is committed when a compare-and-swap of this key succeeds.
struct Head {
  VersionMark mark;
  /// Store keys of the chunks of the full value, in order.
  std::vector<std::string> value_keys;
  /// Store key of the delta from the previous version; empty when there is
  /// none.
  std::string delta_key;
  /// Recently committed changes, newest first.
  std::vector<CommittedChange> recent;
  /// Versions that can still be read, newest first; the first is `mark`.
  std::vector<HistoryEntry> history;

  [[nodiscard]] bool operator==(const Head&) const = default;
};

}  // namespace cassiabend
