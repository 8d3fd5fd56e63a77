#include "cassiabend/core/attempt_table.h"

#include <algorithm>

namespace cassiabend {
namespace {

/// Most ended attempts that are remembered.
constexpr std::size_t kMaxTombstones = 65'536;
/// Added to the time for which an ended attempt is remembered.
constexpr Milliseconds kMemoryMargin{1'000};

}  // namespace

AttemptTable::AttemptTable(const CallContext* context)
    : context_(context), tombstones_(kMaxTombstones) {}

Attempt* AttemptTable::Find(const AttemptId& id) const {
  const auto alias = aliases_.find(id);
  const auto it = attempts_.find(alias == aliases_.end() ? id : alias->second);
  return it == attempts_.end() ? nullptr : it->second.get();
}

Attempt* AttemptTable::FindByConnection(ConnectionId connection) const {
  const auto id = connections_.Find(connection);
  return id ? Find(*id) : nullptr;
}

bool AttemptTable::HasEnded(const AttemptId& id) const {
  return tombstones_.Find(id).has_value();
}

bool AttemptTable::MayHaveEvictedTombstone(
    const AttemptRequest& request) const {
  return request.expires_at != WallTime{} &&
         tombstones_.MayHaveEvicted(request.expires_at);
}

Attempt* AttemptTable::Add(const AttemptRequest& request) {
  auto& slot = attempts_[request.id];
  slot = std::make_unique<Attempt>();
  slot->request = request;
  slot->arrived_at = context_->now.mono;
  if (request.objective > Milliseconds(0)) {
    slot->objective_at = slot->arrived_at + request.objective;
  }
  slot->deadline =
      context_->now.mono +
      std::min(request.deadline, LongestDeadline(context_->options));
  return slot.get();
}

bool AttemptTable::AddAlias(Attempt* owner, const AttemptRequest& request) {
  if (owner->aliases.size() == kMaxAliasesPerAttempt) {
    return false;
  }
  owner->aliases.push_back({request.id, request.expires_at});
  aliases_[request.id] = owner->request.id;
  return true;
}

bool AttemptTable::AddConnection(Attempt* attempt,
                                 const AttemptConnection& connection) {
  return connections_.Add(attempt, connection);
}

void AttemptTable::RemoveConnection(Attempt* attempt, ConnectionId connection) {
  connections_.Remove(attempt, connection);
}

bool AttemptTable::RefuseUnknownAttempt(const AttemptId& id) {
  return tombstones_.Add(id, TombstoneKind::kNotRun, std::nullopt,
                         context_->now.mono + context_->options.order_memory);
}

void AttemptTable::AddTombstone(const AttemptRequest& request,
                                TombstoneKind kind) {
  AddTombstone(request.id, request.expires_at, kind);
}

void AttemptTable::AddTombstone(const AttemptId& id,
                                WallTime expires_at,
                                TombstoneKind kind) {
  const MonoTime now = context_->now.mono;
  const Milliseconds memory = context_->options.order_memory;
  if (expires_at == WallTime{}) {
    tombstones_.Add(id, kind, std::nullopt, now + memory);
    return;
  }
  const Milliseconds left =
      std::clamp(expires_at - context_->now.wall, Milliseconds(0), memory);
  // The clock error counts for the sender's clock, for the clock now, and for
  // the clock at the last moment at which a copy may start.
  const Milliseconds errors = 3 * context_->options.clock_error;
  tombstones_.Add(id, kind, expires_at, now + left + errors + kMemoryMargin);
}

void AttemptTable::Erase(Attempt* attempt, TombstoneKind kind) {
  connections_.RemoveAll(attempt);
  AddTombstone(attempt->request, kind);
  for (const AttemptAlias& it : attempt->aliases) {
    aliases_.erase(it.id);
    AddTombstone(it.id, it.expires_at, kind);
  }
  attempts_.erase(AttemptId(attempt->request.id));
}

void AttemptTable::Expire() {
  tombstones_.Expire(context_->now.mono);
}

}  // namespace cassiabend
