#pragma once

#include <optional>
#include <unordered_map>

#include "cassiabend/core/attempt.h"

namespace cassiabend {

/// \brief Which connection waits for which attempt.
class AttemptLinks {
 public:
  /// \returns The attempt that a connection waits for; unset for none.
  [[nodiscard]] std::optional<AttemptId> Find(LinkId link) const;

  /// \brief Lets a connection wait for `attempt`. It replaces the one that
  /// asked for the same attempt before or, where there are many, one that the
  /// answer goes to already.
  /// \returns Whether there was room.
  [[nodiscard]] bool Add(Attempt* attempt, const AttemptLink& link);
  /// \brief Lets a connection wait no more; harmless when it did not.
  void Remove(Attempt* attempt, LinkId link);
  void RemoveAll(Attempt* attempt);

 private:
  [[nodiscard]] bool MakeRoom(Attempt* attempt);

  std::unordered_map<LinkId, AttemptId> attempts_;
};

}  // namespace cassiabend
