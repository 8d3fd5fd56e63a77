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

/// \brief How a node reads the head at the moment.
struct HeadDuty {
  /// Whether it reads the head at all.
  bool reads = false;
  /// When the head is read next although the watch is waiting; unset: once in
  /// each confirmation period.
  std::optional<MonoTime> verify_at;
  /// Time without an answer after which a read fails; 0: the store client's.
  Milliseconds read_timeout{0};
  /// Longest pause after a read that got no answer, since the node reads for
  /// others; 0: as after any failure.
  Milliseconds silence_pause{0};
};

/// \brief Follows the head key while this node is a reader. A watch reports
/// changes; plain reads confirm the head and detect a watch that has silently
/// stopped. The version that the head names is fetched, as a delta if it
/// directly follows the version in force.
class HeadWatcher {
 public:
  [[nodiscard]] HeadState head_state() const noexcept { return head_state_; }
  /// \returns Whether the head was read recently and no call has failed since.
  [[nodiscard]] bool HasRecentRead(const FleetContext& context) const noexcept;
  /// \returns Whether the head was read and no call has failed since.
  [[nodiscard]] bool is_reading() const noexcept {
    return enabled_ && last_read_at_ && backoff_.failures() == 0;
  }
  /// \returns When the last successful read of the head was sent.
  [[nodiscard]] std::optional<MonoTime> last_read_at() const noexcept {
    return last_read_at_;
  }

  /// \returns Number of reads of the whole head, before which changes of other
  /// watched keys may have been missed.
  [[nodiscard]] std::uint64_t whole_reads() const noexcept {
    return whole_reads_;
  }

  /// \brief Starts or continues to follow the head, or stops.
  void Tick(const FleetContext& context, const HeadDuty& duty);
  /// \brief Forgets the revisions that are known: the store was restored from a
  /// copy and gives them out again. The version in force stays.
  void OnStoreRestored(const FleetContext& context);
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
  [[nodiscard]] bool IsReadDue(MonoTime now) const noexcept;
  void StartWatch(const FleetContext& context);
  void OnReadReply(const FleetContext& context,
                   const StoreReply& reply,
                   AppliedVersions* versions,
                   Freshness* freshness);
  /// \brief Handles a reply that the head has not changed since it was known.
  void OnUnchanged(const FleetContext& context,
                   const StoreReply& reply,
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
  void BackOff(const FleetContext& context, Milliseconds limit);
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
  /// Whether the next read asks for the whole head: the store may have dropped
  /// the changes since `known_until_`.
  bool reads_whole_head_ = true;
  /// When the last successful read of the whole head was sent.
  MonoTime last_whole_read_at_{};
  std::uint64_t whole_reads_ = 0;
  /// Revision of the last value that could not be decoded.
  StoreRevision refused_revision_ = 0;
  bool enabled_ = false;
  HeadDuty duty_;
  MonoTime next_read_at_{};
  MonoTime next_watch_at_{};
  PendingStoreCall read_call_;
  PendingStoreCall watch_call_;
  PendingStoreCall fetch_call_;
  std::optional<Fetch> fetch_;
  StoreBackoff backoff_;
};

}  // namespace cassiabend
