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

/// \brief Follows the head key for as long as this node is a reader: a watch
/// tells of changes, a plain read per confirmation period confirms the head and
/// shows when the watch is silently dead, and the version that the head names
/// is fetched, as a delta where that fits.
class ReaderWatch {
 public:
  [[nodiscard]] HeadState head_state() const noexcept { return head_state_; }
  /// \returns Whether the head was read lately.
  [[nodiscard]] bool ReadsAt(const FleetContext& context) const noexcept;

  /// \brief Starts, continues or (with `enabled` false) stops to follow.
  void Tick(const FleetContext& context, bool enabled);
  /// \brief Takes an answer of the store.
  /// \returns Whether the answer was to a call of this watch.
  bool OnReply(const FleetContext& context,
               const StoreReplied& replied,
               AppliedVersions* versions,
               Freshness* freshness);

 private:
  /// A version on its way from the store.
  struct Fetch {
    Head head;
    /// When the read that showed the head was sent.
    MonoTime read_sent_at{};
    bool by_delta = false;
    std::size_t next_chunk = 0;
    std::string value;
  };

  void Read(const FleetContext& context);
  void StartWatch(const FleetContext& context);
  void OnRead(const FleetContext& context,
              const StoreReply& reply,
              AppliedVersions* versions,
              Freshness* freshness);
  void OnWatched(const FleetContext& context,
                 const StoreReply& reply,
                 AppliedVersions* versions,
                 Freshness* freshness);
  void OnFetched(const FleetContext& context,
                 const StoreReply& reply,
                 AppliedVersions* versions,
                 Freshness* freshness);
  void TakeHead(const FleetContext& context,
                const StoreReply& reply,
                AppliedVersions* versions,
                Freshness* freshness);
  void StartFetch(const FleetContext& context,
                  Head head,
                  MonoTime read_sent_at,
                  const AppliedVersions& versions);
  void FetchNext(const FleetContext& context);
  [[nodiscard]] bool TakeFetched(const FleetContext& context,
                                 AppliedVersions* versions);
  void Fail(const FleetContext& context);
  /// \brief Says once that a value of the head key cannot be used.
  void Refuse(const FleetContext& context,
              const StoreEntry& entry,
              std::string reason);

  HeadState head_state_ = HeadState::kUnknown;
  /// When the newest read of the head that was answered was sent.
  std::optional<MonoTime> read_at_;
  StoreRevision revision_ = 0;
  /// Revision of the store up to which the head is known.
  StoreRevision seen_until_ = 0;
  /// Revision of the newest value that could not be used.
  StoreRevision refused_ = 0;
  bool enabled_ = false;
  MonoTime next_read_at_{};
  MonoTime next_watch_at_{};
  PendingStoreCall read_;
  PendingStoreCall watch_;
  PendingStoreCall fetching_;
  std::optional<Fetch> fetch_;
  StoreBackoff backoff_;
};

}  // namespace cassiabend
