#pragma once

#include <memory>
#include <unordered_map>

#include "cassiabend/core/attempt.h"
#include "cassiabend/core/attempt_links.h"
#include "cassiabend/core/attempt_tombstones.h"
#include "cassiabend/core/call_context.h"

namespace cassiabend {

/// \brief The attempts of one destination node: those that wait, run or hold an
/// answer, the connections that wait for them, and the fates of ended ones.
class AttemptTable {
 public:
  using Attempts =
      std::unordered_map<AttemptId, std::unique_ptr<Attempt>, Id128Hasher>;

  explicit AttemptTable(const CallContext* context);

  [[nodiscard]] const Attempts& attempts() const noexcept { return attempts_; }
  /// \returns The attempt, or the one that has the same order; null for none.
  [[nodiscard]] Attempt* Find(const AttemptId& id) const;
  /// \returns The attempt that a connection waits for; null for none.
  [[nodiscard]] Attempt* FindByLink(LinkId link) const;
  /// \returns Whether the attempt has ended here, or was said not to come.
  [[nodiscard]] bool HasEnded(const AttemptId& id) const;
  /// \returns Whether this could be a copy of an attempt whose fate had to be
  /// forgotten.
  [[nodiscard]] bool MayBeForgotten(const AttemptRequest& request) const;

  /// \brief Adds an attempt that has just arrived.
  Attempt* Add(const AttemptRequest& request);
  /// \brief Lets `request` stand for the order that `owner` has.
  /// \returns Whether there was room.
  [[nodiscard]] bool AddAlias(Attempt* owner, const AttemptRequest& request);
  /// \brief Lets a connection wait for an attempt; see `AttemptLinks::Add`.
  [[nodiscard]] bool AddLink(Attempt* attempt, const AttemptLink& link);
  void RemoveLink(Attempt* attempt, LinkId link);
  /// \brief Remembers that an attempt which is not here will not be run.
  /// \returns Whether that holds: it has not run, and will be refused.
  [[nodiscard]] bool RefuseAbsent(const AttemptId& id);
  /// \brief Remembers how an attempt ended that is not in the table.
  void Remember(const AttemptRequest& request, AttemptFate fate);
  /// \brief Takes an attempt and its aliases out and remembers their fate.
  void Erase(Attempt* attempt, AttemptFate fate);
  /// \brief Drops fates that have been kept long enough.
  void Expire();

 private:
  void Remember(const AttemptId& id, WallTime expires_at, AttemptFate fate);

  const CallContext* context_;
  AttemptTombstones tombstones_;
  Attempts attempts_;
  /// Attempts that repeat an order, with the attempt that has it.
  std::unordered_map<AttemptId, AttemptId, Id128Hasher> aliases_;
  AttemptLinks links_;
};

}  // namespace cassiabend
