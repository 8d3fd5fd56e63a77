#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cassiabend/base/time.h"
#include "cassiabend/core/store_types.h"

namespace cassiabend {

/// \brief One change of a key.
struct FakeStoreEvent {
  StoreRevision revision = 0;
  std::string key;
  /// Unset when the key was removed.
  std::optional<std::string> value;
};

/// \brief Keys, revisions and leases of the stand-in for the store.
class FakeStoreState {
 public:
  [[nodiscard]] StoreRevision revision() const noexcept { return revision_; }
  [[nodiscard]] std::size_t key_count() const noexcept { return keys_.size(); }
  [[nodiscard]] std::size_t lease_count() const noexcept {
    return leases_.size();
  }
  [[nodiscard]] std::optional<StoreEntry> Find(const std::string& key) const;
  /// \returns The revision of `key`; 0 when it is absent.
  [[nodiscard]] StoreRevision RevisionOf(const std::string& key) const;
  [[nodiscard]] bool HasLease(LeaseId lease) const;
  /// \brief Changes of `key` from revision `from` on, oldest first.
  [[nodiscard]] std::vector<FakeStoreEvent> EventsSince(
      const std::string& key,
      StoreRevision from) const;
  /// \returns The oldest revision whose events are still held.
  [[nodiscard]] StoreRevision compact_revision() const noexcept {
    return compact_revision_;
  }

  void Put(const std::string& key, const std::string& value, LeaseId lease);
  /// \returns Whether the key existed.
  bool Remove(const std::string& key);
  LeaseId GrantLease(Seconds ttl, MonoTime now);
  /// \returns The lease's time to live; unset when it does not exist.
  std::optional<Seconds> RenewLease(LeaseId lease, MonoTime now);
  /// \brief Ends a lease and removes its keys.
  /// \returns Whether it existed.
  bool EndLease(LeaseId lease);
  void ExpireLeases(MonoTime now);
  /// \brief Drops all events, as a compaction of the store would.
  void Compact();

 private:
  struct Value {
    std::string bytes;
    StoreRevision revision = 0;
    LeaseId lease = 0;
  };
  struct Lease {
    Seconds ttl{0};
    MonoTime ends_at{};
  };

  void AddEvent(const std::string& key, std::optional<std::string> value);

  StoreRevision revision_ = 1;
  StoreRevision compact_revision_ = 0;
  LeaseId next_lease_ = 1000;
  std::map<std::string, Value> keys_;
  std::map<LeaseId, Lease> leases_;
  std::deque<FakeStoreEvent> events_;
};

}  // namespace cassiabend
