#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "cassiabend/core/store_types.h"

namespace cassiabend::testing {

/// \brief In-memory model of the platform's key-value service:
/// compare-and-swap of single keys, revisions, and leases that expire by the
/// time that the caller passes in.
class FleetFakeStore {
 public:
  /// \brief States eras from now on, beginning with the first.
  void StateEras() { era_ = 1; }
  /// \brief Goes back to an earlier state: keys, leases and revisions.
  void Restore(const FleetFakeStore& copy) {
    const StoreEra era = era_ + 1;
    *this = copy;
    era_ = era;
  }
  [[nodiscard]] StoreRevision revision() const noexcept { return revision_; }

  [[nodiscard]] const StoreEntry* Find(const std::string& key) const {
    const auto it = entries_.find(key);
    return it == entries_.end() ? nullptr : &it->second;
  }

  /// \brief Writes a key unconditionally.
  void Put(const std::string& key, const std::string& value) {
    entries_[key] = {key, value, ++revision_};
  }

  /// \brief Removes expired leases and the keys attached to them.
  void ExpireLeases(MonoTime now) {
    for (auto it = leases_.begin(); it != leases_.end();) {
      if (now < it->second.expires_at) {
        ++it;
        continue;
      }
      EraseKeysOfLease(it->first);
      it = leases_.erase(it);
    }
  }

  /// \brief Removes all leases and their keys before they expire; the holders
  /// are not notified.
  void EraseAllLeases() {
    for (const auto& [id, lease] : leases_) {
      EraseKeysOfLease(id);
    }
    leases_.clear();
  }

  /// \brief Executes a request. A watch does not wait: without a change since
  /// its revision it returns no entry.
  [[nodiscard]] StoreReply Execute(const StoreRequest& request, MonoTime now) {
    ExpireLeases(now);
    StoreReply reply;
    reply.status = StoreStatus::kOk;
    std::visit([&](const auto& it) { Apply(it, now, &reply); }, request);
    reply.store_revision = revision_;
    reply.era = era_;
    return reply;
  }

 private:
  struct Lease {
    Seconds ttl{0};
    MonoTime expires_at{};
  };

  void Apply(const StoreGet& get, MonoTime, StoreReply* reply) {
    const StoreEntry* entry = Find(get.key);
    if (entry != nullptr && entry->revision > get.newer_than) {
      reply->entry = *entry;
    }
    if (get.newer_than != 0) {
      ListChanges(get.key, get.prefix, get.newer_than, reply);
    }
  }
  void Apply(const StoreWatch& watch, MonoTime now, StoreReply* reply) {
    if (watch.after > revision_) {
      reply->status = StoreStatus::kUnavailable;
      return;
    }
    Apply(StoreGet{watch.key}, now, reply);
    if (reply->entry && reply->entry->revision <= watch.after) {
      reply->entry.reset();
    }
    ListChanges(watch.key, watch.prefix, watch.after, reply);
  }
  /// \brief Adds the changes of the other keys with a prefix; none if it is
  /// empty.
  void ListChanges(const std::string& key,
                   const std::string& prefix,
                   StoreRevision after,
                   StoreReply* reply) const {
    for (const auto& [other, entry] : entries_) {
      if (!prefix.empty() && other != key && other.starts_with(prefix) &&
          entry.revision > after) {
        reply->entries.push_back(entry);
      }
    }
  }
  void Apply(const StoreCompareAndSwap& swap, MonoTime now, StoreReply* reply) {
    Apply(StoreGet{swap.key}, now, reply);
    const StoreRevision present = reply->entry ? reply->entry->revision : 0;
    if (present != swap.expected) {
      reply->status = StoreStatus::kConflict;
      return;
    }
    Apply(StorePut{swap.key, swap.value, swap.lease}, now, reply);
  }
  void Apply(const StorePut& put, MonoTime, StoreReply* reply) {
    if (put.lease != 0 && !leases_.contains(put.lease)) {
      reply->status = StoreStatus::kLeaseLost;
      return;
    }
    Put(put.key, put.value);
    lease_of_[put.key] = put.lease;
    reply->entry = *Find(put.key);
  }
  void Apply(const StoreList& list, MonoTime, StoreReply* reply) {
    for (const auto& [key, entry] : entries_) {
      if (key.starts_with(list.prefix)) {
        reply->entries.push_back(entry);
      }
    }
  }
  void Apply(const StoreCompareAndDelete& erase, MonoTime, StoreReply* reply) {
    const StoreEntry* entry = Find(erase.key);
    if ((entry == nullptr ? 0 : entry->revision) != erase.expected) {
      reply->status = StoreStatus::kConflict;
      return;
    }
    entries_.erase(erase.key);
    ++revision_;
  }
  void Apply(const StoreLeaseGrant& grant, MonoTime now, StoreReply* reply) {
    reply->lease = ++last_lease_;
    leases_[last_lease_] = {grant.ttl, now + grant.ttl};
  }
  void Apply(const StoreLeaseKeepAlive& keep, MonoTime now, StoreReply* reply) {
    const auto it = leases_.find(keep.lease);
    if (it == leases_.end()) {
      reply->status = StoreStatus::kLeaseLost;
      return;
    }
    it->second.expires_at = now + it->second.ttl;
    reply->lease = keep.lease;
  }
  void Apply(const StoreLeaseRevoke& revoke, MonoTime, StoreReply*) {
    EraseKeysOfLease(revoke.lease);
    leases_.erase(revoke.lease);
  }

  void EraseKeysOfLease(LeaseId lease) {
    for (const auto& [key, owner] : lease_of_) {
      if (owner == lease && owner != 0 && entries_.erase(key) != 0) {
        ++revision_;
      }
    }
  }

  std::map<std::string, StoreEntry> entries_;
  std::map<std::string, LeaseId> lease_of_;
  std::map<LeaseId, Lease> leases_;
  LeaseId last_lease_ = 0;
  StoreRevision revision_ = 0;
  StoreEra era_ = 0;
};

}  // namespace cassiabend::testing
