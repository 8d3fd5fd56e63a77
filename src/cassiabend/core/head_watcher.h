#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cassiabend/core/applied_versions.h"
#include "cassiabend/core/fleet_context.h"
#include "cassiabend/core/fleet_reducer.h"
#include "cassiabend/core/freshness.h"
#include "cassiabend/core/pending_store_call.h"
#include "cassiabend/model/head.h"

namespace cassiabend {

/// \brief Follows the head key while this node is a reader. A watch reports
/// changes; a plain read in each confirmation period confirms the head and
/// detects a watch that has silently stopped. The version that the head names
/// is fetched, as a delta if it directly follows the version in force.
class HeadWatcher {
 public:
  [[nodiscard]] HeadState head_state() const noexcept { return head_state_; }
  /// \returns Whether the head was read recently and no call has failed since.
  [[nodiscard]] bool HasRecentRead(const FleetContext& context) const noexcept;

  /// \brief Starts or continues to follow the head, or stops when `enabled` is
  /// false.
  void Tick(const FleetContext& context, bool enabled);
  /// \brief Handles a reply of the store.
  /// \returns Whether the reply belongs to a call of this watch.
  bool OnReply(const FleetContext& context,
               const StoreReplied& replied,
               AppliedVersions* versions,
               Freshness* freshness);

 private:
  /// A version that is being fetched from the store.
  struct Fetch {
    Head head;
    /// When the read that showed the head was sent.
    MonoTime read_sent_at{};
    bool by_delta = false;
    std::size_t next_chunk = 0;
    std::string value;
  };

  void ReadHead(const FleetContext& context);
  void StartWatch(const FleetContext& context);
  void OnReadReply(const FleetContext& context,
                   const StoreReply& reply,
                   AppliedVersions* versions,
                   Freshness* freshness);
  void OnWatchReply(const FleetContext& context,
                    const StoreReply& reply,
                    AppliedVersions* versions,
                    Freshness* freshness);
  void OnFetchReply(const FleetContext& context,
                    const StoreReply& reply,
                    AppliedVersions* versions,
                    Freshness* freshness);
  void HandleHead(const FleetContext& context,
                  const StoreReply& reply,
                  AppliedVersions* versions,
                  Freshness* freshness);
  void StartFetch(const FleetContext& context,
                  Head head,
                  MonoTime read_sent_at,
                  const AppliedVersions& versions);
  void FetchNext(const FleetContext& context);
  [[nodiscard]] bool ApplyFetched(const FleetContext& context,
                                  AppliedVersions* versions);
  void BackOff(const FleetContext& context);
  /// \brief Reports a value of the head key that cannot be decoded, once for
  /// each revision.
  void RefuseHead(const FleetContext& context,
                  const StoreEntry& entry,
                  std::string reason);

  HeadState head_state_ = HeadState::kUnknown;
  /// When the last successful read of the head was sent.
  std::optional<MonoTime> last_read_at_;
  StoreRevision head_revision_ = 0;
  /// Revision of the store up to which the head is known.
  StoreRevision known_until_ = 0;
  /// Revision of the last value that could not be decoded.
  StoreRevision refused_revision_ = 0;
  bool enabled_ = false;
  MonoTime next_read_at_{};
  MonoTime next_watch_at_{};
  PendingStoreCall read_call_;
  PendingStoreCall watch_call_;
  PendingStoreCall fetch_call_;
  std::optional<Fetch> fetch_;
  StoreBackoff backoff_;
};

}  // namespace cassiabend
