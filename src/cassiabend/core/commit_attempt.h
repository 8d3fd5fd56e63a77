#pragma once

#include <string>
#include <vector>

#include "cassiabend/core/commit_plan.h"
#include "cassiabend/core/config_env.h"
#include "cassiabend/core/store_types.h"

namespace cassiabend {

/// \brief One key of an attempt with what is written under it.
struct FreshValue {
  std::string key;
  std::string value;
};

/// \brief All that one try to move the head writes. Its keys are fresh: no
/// other attempt ever uses them, and it is bound to one revision of the head.
struct CommitAttempt {
  NextVersion next;
  /// Version and revision of the head that the attempt replaces; zeros when it
  /// is absent.
  VersionMark base;
  StoreRevision expected = 0;
  Head head;
  std::string head_bytes;
  /// The value's chunks, then the delta if there is one.
  std::vector<FreshValue> values;

  [[nodiscard]] std::vector<std::string> Keys() const;
};

/// \param old_head The head to replace; default for none.
/// \throws ModelError when the version cannot be stored.
[[nodiscard]] CommitAttempt MakeAttempt(const NextVersion& next,
                                        const Head& old_head,
                                        StoreRevision expected,
                                        WallTime now,
                                        ConfigEnv* env);

}  // namespace cassiabend
