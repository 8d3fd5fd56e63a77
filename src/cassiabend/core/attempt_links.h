#pragma once

#include <optional>
#include <unordered_map>

#include "cassiabend/core/attempt.h"

namespace cassiabend {

/// \brief Maps connections to the attempts for which they wait.
class AttemptLinks {
 public:
  /// \returns The attempt that a connection waits for; unset for none.
  [[nodiscard]] std::optional<AttemptId> Find(LinkId link) const;

  /// \brief Attaches a connection to `attempt`. It replaces the one that asked
  /// for the same id or, at the limit, one to which the answer is already sent.
  /// \returns Whether there was room.
  [[nodiscard]] bool Add(Attempt* attempt, const AttemptLink& link);
  /// \brief Detaches a connection; does nothing if it was not attached.
  void Remove(Attempt* attempt, LinkId link);
  void RemoveAll(Attempt* attempt);

 private:
  [[nodiscard]] bool MakeRoom(Attempt* attempt);

  std::unordered_map<LinkId, AttemptId> attempts_;
};

}  // namespace cassiabend
