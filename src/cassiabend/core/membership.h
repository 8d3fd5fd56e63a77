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

/// \brief What this node holds of one other member.
struct MemberEntry {
  Member member;
  /// Weight within its zone; the members with the highest weights are the
  /// candidates for readers and the inner nodes of the dissemination tree.
  std::uint64_t rank = 0;
  /// When the member came to its status.
  MonoTime status_since{};
  /// Newest version that the member said it has.
  VersionMark mark;
  std::optional<Milliseconds> confirmed_age;
  /// When a datagram of the member's present start arrived last.
  std::optional<MonoTime> heard_at;
  std::uint16_t load_permille = 0;
};

/// \returns Whether a member of this status may be sent to.
[[nodiscard]] constexpr bool IsLive(MemberStatus status) noexcept {
  return status == MemberStatus::kAlive || status == MemberStatus::kSuspect;
}

/// \brief Whether news about members is passed on to others.
enum class Relay : std::uint8_t { kYes, kNo };

/// \brief The members known, merged from statements by start, revision and
/// status. Emits `MembersChanged` for whatever others of this node must know.
class Membership {
 public:
  explicit Membership(const Member& self);

  [[nodiscard]] const Member& self() const noexcept { return self_; }
  [[nodiscard]] const std::map<NodeId, MemberEntry>& entries() const noexcept {
    return entries_;
  }
  /// \returns Null for members that are not known, and for this node.
  [[nodiscard]] const MemberEntry* Find(const NodeId& id) const noexcept;
  /// \returns The statement as shown to others: a member of a zone that cannot
  /// be reached is shown as suspect.
  [[nodiscard]] Member Shown(const MemberEntry& entry) const;
  /// \returns A number that changes with the set of live members or readers.
  [[nodiscard]] std::uint64_t view_version() const noexcept {
    return view_version_;
  }
  /// \returns A digest of the newest statements of the live members, this
  /// node's included: equal for equal sets.
  [[nodiscard]] std::uint64_t live_digest() const noexcept {
    return live_digest_;
  }
  /// \returns All statements, this node's first.
  [[nodiscard]] std::vector<Member> Statements() const;
  [[nodiscard]] std::vector<NodeId> LiveInZone() const;
  [[nodiscard]] const std::set<std::string>& unreachable_zones()
      const noexcept {
    return unreachable_zones_;
  }

  /// \returns The newest updates while they are fresh, for beats: these reach
  /// the whole zone in a few beat periods.
  [[nodiscard]] std::vector<Member> News(const FleetContext& context) const;

  /// \brief Changes this node's statement about itself.
  void StateSelf(const FleetContext& context, Member statement);
  /// \brief Takes statements from peers.
  /// \param relay Whether to pass on what was new.
  void Merge(const FleetContext& context,
             std::span<const Member> statements,
             Relay relay = Relay::kYes);
  /// \brief Passes on what `statements`, a peer's whole list, does not have.
  void RelayMissing(const FleetContext& context,
                    std::span<const Member> statements);
  /// \brief Takes the header of a datagram from a known member.
  void TakeHeader(const FleetContext& context, const Datagram& datagram);
  /// \brief Holds a member of the zone that did not answer as suspect.
  void Suspect(const FleetContext& context, const NodeId& id);
  /// \brief Shows the members of these zones as suspect, and all others as
  /// they are.
  void SetUnreachableZones(const FleetContext& context,
                           std::set<std::string> zones);
  /// \brief Lets suspicions run out and forgets members long gone.
  void Tick(const FleetContext& context);
  /// \brief Starts the suspicions anew, after this node itself was paused.
  void RestartSuspicions(const FleetContext& context);

  /// \brief Takes the updates for a datagram to `to`.
  [[nodiscard]] std::vector<Member> TakeUpdates(const NodeId& to,
                                                bool with_self);

 private:
  using ServiceInZone = std::pair<std::string, std::string>;

  void MergeSelf(const FleetContext& context, const Member& statement);
  bool MergeOther(const FleetContext& context, Member statement);
  void Put(const FleetContext& context, const Member& statement);
  void CountLive(const Member& member, int step);
  void ReplaceInDigest(const Member* before, const Member& after);
  void QueueUpdate(const FleetContext& context, const Member& statement);
  [[nodiscard]] UpdateQueue* QueueFor(const NodeId& to);
  [[nodiscard]] bool MayRemove(const FleetContext& context,
                               const Member& member);
  void NoteRemoval(const FleetContext& context, const Member& member);

  Member self_;
  std::map<NodeId, MemberEntry> entries_;
  std::uint64_t view_version_ = 1;
  std::uint64_t live_digest_ = 0;
  /// Members of this zone, those that are gone included.
  std::uint32_t zone_size_ = 1;
  /// Members with the newest updates, for the beats.
  std::deque<NodeId> news_;
  MonoTime news_until_{};
  /// Updates for members of this zone.
  UpdateQueue zone_updates_;
  /// Updates about members of this zone for each other zone.
  std::map<std::string, UpdateQueue> outer_updates_;
  std::map<ServiceInZone, int> live_counts_;
  std::map<ServiceInZone, std::deque<MonoTime>> removals_;
  std::set<std::string> unreachable_zones_;
};

}  // namespace cassiabend
