#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "cassiabend/base/time.h"
#include "cassiabend/core/store_types.h"

namespace cassiabend {

/// \brief A key with its value and metadata.
struct FakeStoreItem {
  /// Its revision is that of the last write.
  StoreEntry entry;
  /// Revision of the write that created the key.
  StoreRevision created = 0;
  /// 0 for no lease.
  LeaseId lease = 0;
};

/// \brief A write or removal of a key.
struct FakeStoreEvent {
  StoreRevision revision = 0;
  std::string key;
  /// Unset when the key was removed.
  std::optional<FakeStoreItem> item;
};

/// \brief Keys, revision, event history and leases of the fake store.
class FakeStoreState {
 public:
  [[nodiscard]] StoreRevision revision() const noexcept { return revision_; }
  [[nodiscard]] std::size_t key_count() const noexcept { return keys_.size(); }
  [[nodiscard]] std::size_t lease_count() const noexcept {
    return leases_.size();
  }
  [[nodiscard]] std::optional<FakeStoreItem> Find(const std::string& key) const;
  /// \returns The items whose keys begin with `prefix` and sort after `after`,
  /// sorted by key.
  [[nodiscard]] std::vector<FakeStoreItem> List(const std::string& prefix,
                                                const std::string& after) const;
  /// \returns The revision of `key`; 0 when it is absent.
  [[nodiscard]] StoreRevision RevisionOf(const std::string& key) const;
  [[nodiscard]] bool HasLease(LeaseId lease) const;
  /// \returns The retained events from revision `from` on, oldest first; valid
  /// until the next change.
  [[nodiscard]] std::span<const FakeStoreEvent> EventsSince(
      StoreRevision from) const;
  /// \returns The newest revision whose events have been dropped; 0 when all
  /// are retained.
  [[nodiscard]] StoreRevision compact_revision() const noexcept {
    return compact_revision_;
  }

  void Put(const std::string& key, const std::string& value, LeaseId lease);
  /// \returns Whether the key existed.
  bool Remove(const std::string& key);
  LeaseId GrantLease(Milliseconds ttl, MonoTime now);
  /// \brief Restarts a lease's time to live.
  /// \returns That time; unset when the lease does not exist.
  std::optional<Milliseconds> RenewLease(LeaseId lease, MonoTime now);
  /// \brief Ends a lease and removes its keys.
  /// \returns Whether the lease existed.
  bool EndLease(LeaseId lease);
  /// \brief Ends the leases whose time to live is over at `now`.
  void ExpireLeases(MonoTime now);
  /// \brief Postpones the end of every lease by `time`.
  void ExtendLeases(MonoTime::duration time);
  /// \brief Raises the revision by `n` without changing a key.
  void SkipRevisions(StoreRevision n) noexcept { revision_ += n; }
  /// \brief Drops all events, like a compaction of etcd.
  void Compact();

 private:
  struct Lease {
    Milliseconds ttl{0};
    MonoTime ends_at{};
  };

  void AddEvent(const std::string& key, std::optional<FakeStoreItem> item);

  StoreRevision revision_ = 1;
  StoreRevision compact_revision_ = 0;
  LeaseId next_lease_ = 1000;
  std::map<std::string, FakeStoreItem> keys_;
  std::map<LeaseId, Lease> leases_;
  std::vector<FakeStoreEvent> events_;
};

}  // namespace cassiabend
