#pragma once

#include <string>
#include <vector>

#include "cassiabend/core/commit_plan.h"
#include "cassiabend/core/config_env.h"
#include "cassiabend/core/store_types.h"

namespace cassiabend {

/// \brief A key of an attempt and the value that is written under it.
struct KeyValue {
  std::string key;
  std::string value;
};

/// \brief Everything that one attempt to replace the head writes. No other
/// attempt uses the same value keys, and the attempt can only replace one
/// revision of the head.
struct CommitAttempt {
  NextVersion next;
  /// Version and revision of the head that the attempt replaces; zeros when
  /// there is no head.
  VersionMark base;
  StoreRevision expected = 0;
  Head head;
  std::string head_bytes;
  /// The chunks of the full version, then the delta if there is one.
  std::vector<KeyValue> values;

  [[nodiscard]] std::vector<std::string> Keys() const;
};

/// \brief Builds the attempt to make `next` the newest version.
/// \param old_head The head to replace; default-constructed for none.
/// \param expected Revision of `old_head`, 0 for none.
/// \throws ModelError when the version or the head is too large, or the encoded
/// version decodes to another configuration.
[[nodiscard]] CommitAttempt MakeAttempt(const NextVersion& next,
                                        const Head& old_head,
                                        StoreRevision expected,
                                        WallTime now,
                                        ConfigEnv* env);

}  // namespace cassiabend
