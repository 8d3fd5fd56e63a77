#pragma once

#include <memory>
#include <unordered_map>

#include "cassiabend/core/attempt.h"
#include "cassiabend/core/attempt_connections.h"
#include "cassiabend/core/attempt_tombstones.h"
#include "cassiabend/core/call_context.h"

namespace cassiabend {

/// \brief The attempts of one destination node: those that are queued, run or
/// hold an answer, the connections that wait for them, and tombstones of those
/// that have ended.
class AttemptTable {
 public:
  using Attempts =
      std::unordered_map<AttemptId, std::unique_ptr<Attempt>, Id128Hasher>;

  explicit AttemptTable(const CallContext* context);

  [[nodiscard]] const Attempts& attempts() const noexcept { return attempts_; }
  /// \returns The attempt, or the one that owns the same order; null for none.
  [[nodiscard]] Attempt* Find(const AttemptId& id) const;
  /// \returns The attempt that a connection waits for; null for none.
  [[nodiscard]] Attempt* FindByConnection(ConnectionId connection) const;
  /// \returns Whether the attempt has ended here, or was refused before it
  /// arrived.
  [[nodiscard]] bool HasEnded(const AttemptId& id) const;
  /// \returns Whether `request` could be a copy of an ended attempt whose
  /// tombstone was evicted.
  [[nodiscard]] bool MayHaveEvictedTombstone(
      const AttemptRequest& request) const;

  /// \brief Adds an attempt that has just arrived.
  Attempt* Add(const AttemptRequest& request);
  /// \brief Registers `request` as another attempt at the order of `owner`.
  /// \returns Whether there was room.
  [[nodiscard]] bool AddAlias(Attempt* owner, const AttemptRequest& request);
  /// \brief Attaches a connection to an attempt; see `AttemptConnections::Add`.
  [[nodiscard]] bool AddConnection(Attempt* attempt,
                                   const AttemptConnection& connection);
  void RemoveConnection(Attempt* attempt, ConnectionId connection);
  /// \brief Records that an attempt which has not arrived will not be run.
  /// \returns Whether it is recorded: it has not run, and will be refused.
  [[nodiscard]] bool RefuseUnknownAttempt(const AttemptId& id);
  /// \brief Records how an attempt that is not in the table ended.
  void AddTombstone(const AttemptRequest& request, TombstoneKind kind);
  /// \brief Removes an attempt and its aliases and records how they ended.
  void Erase(Attempt* attempt, TombstoneKind kind);
  /// \brief Drops tombstones that have been kept long enough.
  void Expire();

 private:
  void AddTombstone(const AttemptId& id,
                    WallTime expires_at,
                    TombstoneKind kind);

  const CallContext* context_;
  AttemptTombstones tombstones_;
  Attempts attempts_;
  /// Other attempts at an order, each with the attempt that owns the order.
  std::unordered_map<AttemptId, AttemptId, Id128Hasher> aliases_;
  AttemptConnections connections_;
};

}  // namespace cassiabend
