#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "cassiabend/core/fleet_context.h"
#include "cassiabend/core/membership_updates.h"

namespace cassiabend {

/// \brief What this node knows about another member.
struct MemberEntry {
  Member member;
  /// Rendezvous weight of the member within its zone. The members with the
  /// highest weights are the reader candidates and the inner nodes of the
  /// dissemination tree.
  std::uint64_t rank = 0;
  /// When the member entered its present status.
  MonoTime status_since{};
  /// Newest configuration version that the member has reported.
  VersionMark mark;
  /// Age of the member's confirmation of the head when it reported `mark`;
  /// unset for none.
  std::optional<Milliseconds> confirmed_age;
  /// When the last datagram from the member's present process arrived.
  std::optional<MonoTime> heard_at;
  /// Outstanding calls in thousandths of the slots, as last reported.
  std::uint16_t load_permille = 0;
};

/// \returns Whether a member with this status takes part in the fleet and may
/// be sent datagrams.
[[nodiscard]] constexpr bool IsLive(MemberStatus status) noexcept {
  return status == MemberStatus::kAlive || status == MemberStatus::kSuspect;
}

/// \brief Whether merged records that are new here are gossiped to other
/// members.
enum class Relay : std::uint8_t { kYes, kNo };

/// \brief The member list, merged from records by start, revision and status as
/// in SWIM. Emits `MembersChanged` for each change that the rest of this node
/// must know.
class Membership {
 public:
  explicit Membership(const Member& self);

  [[nodiscard]] const Member& self() const noexcept { return self_; }
  [[nodiscard]] const std::map<NodeId, MemberEntry>& entries() const noexcept {
    return entries_;
  }
  /// \returns The entry of a member; null if it is unknown or this node itself.
  [[nodiscard]] const MemberEntry* Find(const NodeId& id) const noexcept;
  /// \returns The member's record as the rest of this node sees it: an alive
  /// member of an unreachable zone appears as suspect.
  [[nodiscard]] Member VisibleRecord(const MemberEntry& entry) const;
  /// \returns A number that changes with the set of live members or readers, on
  /// which the dissemination tree depends.
  [[nodiscard]] std::uint64_t view_version() const noexcept {
    return view_version_;
  }
  /// \returns A digest of the start and revision of each live member, this
  /// node included; equal for equal sets.
  [[nodiscard]] std::uint64_t live_digest() const noexcept {
    return live_digest_;
  }
  /// \returns The records of all known members, this node's first.
  [[nodiscard]] std::vector<Member> AllRecords() const;
  /// \returns The other live members of this node's zone.
  [[nodiscard]] std::vector<NodeId> LiveInZone() const;
  [[nodiscard]] const std::set<std::string>& unreachable_zones()
      const noexcept {
    return unreachable_zones_;
  }

  /// \returns The newest updates for heartbeats, which carry them to the whole
  /// zone in a few heartbeat periods; empty once they are too old.
  [[nodiscard]] std::vector<Member> RecentUpdates(
      const FleetContext& context) const;

  /// \brief Replaces this node's own record under a new revision, if it
  /// differs.
  void UpdateOwnRecord(const FleetContext& context, Member record);
  /// \brief Merges records received from peers.
  /// \param relay Whether to gossip the records that were new here.
  void Merge(const FleetContext& context,
             std::span<const Member> records,
             Relay relay = Relay::kYes);
  /// \brief Gossips what `records`, the whole list of a peer, lacks or holds in
  /// an older form.
  void RelayMissing(const FleetContext& context,
                    std::span<const Member> records);
  /// \brief Updates an entry from the header of a datagram; ignores unknown
  /// members and other starts of known ones.
  void OnDatagramHeader(const FleetContext& context, const Datagram& datagram);
  /// \brief Marks an alive member that did not answer a probe as suspect.
  void Suspect(const FleetContext& context, const NodeId& id);
  /// \brief Makes the alive members of exactly these zones appear as suspect.
  void SetUnreachableZones(const FleetContext& context,
                           std::set<std::string> zones);
  /// \brief Declares members dead whose suspicion has timed out, and forgets
  /// members that have been gone for `FleetOptions::forget_after`.
  void Tick(const FleetContext& context);
  /// \brief Restarts the timeout of each suspicion, for use after this process
  /// itself was paused and could not receive refutations.
  void RestartSuspicionTimeouts(const FleetContext& context);

  /// \brief Selects the updates to piggyback on a datagram to `to` and counts
  /// them as sent.
  /// \param include_self Whether this node's own record comes first.
  [[nodiscard]] std::vector<Member> PiggybackUpdates(const NodeId& to,
                                                     bool include_self);

 private:
  using ServiceInZone = std::pair<std::string, std::string>;

  void MergeSelf(const FleetContext& context, const Member& record);
  bool MergeOther(const FleetContext& context, Member record);
  void UpsertRecord(const FleetContext& context, const Member& record);
  void AdjustLiveCount(const Member& member, int step);
  void UpdateDigest(const Member* before, const Member& after);
  void QueueUpdate(const FleetContext& context, const Member& record);
  [[nodiscard]] UpdateQueue* QueueFor(const NodeId& to);
  [[nodiscard]] bool IsRemovalAllowed(const FleetContext& context,
                                      const Member& member);
  void RecordRemoval(const FleetContext& context, const Member& member);

  Member self_;
  std::map<NodeId, MemberEntry> entries_;
  std::uint64_t view_version_ = 1;
  std::uint64_t live_digest_ = 0;
  /// Number of known members of this zone, dead and departed ones and this node
  /// included.
  std::uint32_t zone_size_ = 1;
  /// Members with the newest updates, newest first, for heartbeats.
  std::deque<NodeId> recent_updates_;
  MonoTime recent_updates_until_{};
  /// Updates to send to members of this zone.
  UpdateQueue zone_updates_;
  /// Updates about members of this zone to send to each other zone.
  std::map<std::string, UpdateQueue> other_zone_updates_;
  std::map<ServiceInZone, int> live_counts_;
  /// When suspicion removed members within `FleetOptions::removal_interval`.
  std::map<ServiceInZone, std::deque<MonoTime>> removals_;
  std::set<std::string> unreachable_zones_;
};

}  // namespace cassiabend
