#include "cassiabend/core/attempt_connections.h"

#include <algorithm>

namespace cassiabend {

std::optional<AttemptId> AttemptConnections::Find(
    ConnectionId connection) const {
  const auto it = attempts_.find(connection);
  if (it == attempts_.end()) {
    return std::nullopt;
  }
  return it->second;
}

bool AttemptConnections::Add(Attempt* attempt,
                             const AttemptConnection& connection) {
  const auto known =
      std::ranges::find(attempt->connections, connection.requested_id,
                        &AttemptConnection::requested_id);
  if (known != attempt->connections.end()) {
    attempts_.erase(known->id);
    *known = connection;
  } else if (MakeRoom(attempt)) {
    attempt->connections.push_back(connection);
  } else {
    return false;
  }
  attempt->orphan_due = MonoTime::max();
  attempts_[connection.id] = attempt->request.id;
  return true;
}

void AttemptConnections::Remove(Attempt* attempt, ConnectionId connection) {
  const auto it = std::ranges::find(attempt->connections, connection,
                                    &AttemptConnection::id);
  if (it == attempt->connections.end()) {
    return;
  }
  attempt->connections.erase(it);
  attempts_.erase(connection);
}

bool AttemptConnections::MakeRoom(Attempt* attempt) {
  if (attempt->connections.size() < kMaxConnectionsPerAttempt) {
    return true;
  }
  const auto it = std::ranges::find(attempt->connections, true,
                                    &AttemptConnection::receives_answer);
  if (it == attempt->connections.end()) {
    return false;
  }
  Remove(attempt, it->id);
  return true;
}

void AttemptConnections::RemoveAll(Attempt* attempt) {
  for (const AttemptConnection& it : attempt->connections) {
    attempts_.erase(it.id);
  }
  attempt->connections.clear();
}

}  // namespace cassiabend
