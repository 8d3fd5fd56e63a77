#pragma once

#include <optional>
#include <unordered_map>

#include "cassiabend/core/attempt.h"

namespace cassiabend {

/// \brief Maps connections to the attempts for which they wait.
class AttemptConnections {
 public:
  /// \returns The attempt that a connection waits for; unset for none.
  [[nodiscard]] std::optional<AttemptId> Find(ConnectionId connection) const;

  /// \brief Attaches a connection to `attempt`. It replaces the one that asked
  /// for the same id or, at the limit, one to which the answer is already sent.
  /// \returns Whether there was room.
  [[nodiscard]] bool Add(Attempt* attempt, const AttemptConnection& connection);
  /// \brief Detaches a connection; does nothing if it was not attached.
  void Remove(Attempt* attempt, ConnectionId connection);
  void RemoveAll(Attempt* attempt);

 private:
  [[nodiscard]] bool MakeRoom(Attempt* attempt);

  std::unordered_map<ConnectionId, AttemptId> attempts_;
};

}  // namespace cassiabend
