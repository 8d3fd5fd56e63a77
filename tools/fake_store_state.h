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

/// \brief One key as the stand-in holds it.
struct FakeStoreItem {
  /// With the revision of the last write.
  StoreEntry entry;
  StoreRevision created = 0;
  /// 0 for none.
  LeaseId lease = 0;
};

/// \brief One change of a key.
struct FakeStoreEvent {
  StoreRevision revision = 0;
  std::string key;
  /// Unset when the key was removed.
  std::optional<FakeStoreItem> item;
};

/// \brief Keys, revisions and leases of the stand-in for the store.
class FakeStoreState {
 public:
  [[nodiscard]] StoreRevision revision() const noexcept { return revision_; }
  [[nodiscard]] std::size_t key_count() const noexcept { return keys_.size(); }
  [[nodiscard]] std::size_t lease_count() const noexcept {
    return leases_.size();
  }
  [[nodiscard]] std::optional<FakeStoreItem> Find(const std::string& key) const;
  /// \returns The keys that begin with `prefix` and come after `after`, in
  /// their order.
  [[nodiscard]] std::vector<FakeStoreItem> List(const std::string& prefix,
                                                const std::string& after) const;
  /// \returns The revision of `key`; 0 when it is absent.
  [[nodiscard]] StoreRevision RevisionOf(const std::string& key) const;
  [[nodiscard]] bool HasLease(LeaseId lease) const;
  /// \brief Changes from revision `from` on, oldest first.
  [[nodiscard]] std::span<const FakeStoreEvent> EventsSince(
      StoreRevision from) const;
  /// \returns The oldest revision whose events are still held.
  [[nodiscard]] StoreRevision compact_revision() const noexcept {
    return compact_revision_;
  }

  void Put(const std::string& key, const std::string& value, LeaseId lease);
  /// \returns Whether the key existed.
  bool Remove(const std::string& key);
  LeaseId GrantLease(Milliseconds ttl, MonoTime now);
  /// \returns The lease's time to live; unset when it does not exist.
  std::optional<Milliseconds> RenewLease(LeaseId lease, MonoTime now);
  /// \brief Ends a lease and removes its keys.
  /// \returns Whether it existed.
  bool EndLease(LeaseId lease);
  void ExpireLeases(MonoTime now);
  /// \brief Lets every lease end `time` later.
  void ProlongLeases(MonoTime::duration time);
  /// \brief Raises the revision by `n` without a change of a key.
  void SkipRevisions(StoreRevision n) noexcept { revision_ += n; }
  /// \brief Drops all events, as a compaction of the store would.
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
