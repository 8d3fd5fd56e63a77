#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cassiabend/core/applied_versions.h"
#include "cassiabend/core/dissemination_tree.h"
#include "cassiabend/core/fleet_context.h"
#include "cassiabend/core/freshness.h"
#include "cassiabend/core/membership.h"

namespace cassiabend {

/// \brief Carries versions and confirmations of the head down the dissemination
/// tree. A child attaches to its parent; the parent pushes new versions to its
/// attached children at once and sends each a heartbeat per period.
class Dissemination {
 public:
  /// \param start_id Start id of this process. The attach sequence starts from
  /// its hash, so that heartbeats meant for an earlier process at this address
  /// match no attach.
  explicit Dissemination(std::uint64_t start_id)
      : attach_sequence_(
            static_cast<std::uint32_t>(Hash64(std::to_string(start_id)))) {}

  /// \returns The number of children attached to this node.
  [[nodiscard]] std::size_t child_count() const noexcept {
    return children_.size();
  }
  /// \returns The parent that this node attaches to; unset for none.
  [[nodiscard]] const std::optional<NodeId>& parent() const noexcept {
    return parent_;
  }

  /// \param reads_store Whether this node reads the head itself and needs no
  /// parent.
  void Tick(const FleetContext& context,
            const DisseminationTree& tree,
            const Membership& membership,
            bool reads_store);
  void OnAttach(const FleetContext& context,
                const NodeId& from,
                const VersionMark& mark,
                const AttachBody& body);
  /// \brief Handles a heartbeat.
  /// \returns When this node sent the attach that the heartbeat answers; unset
  /// if it answers none.
  [[nodiscard]] std::optional<MonoTime> OnHeartbeat(const FleetContext& context,
                                                    const NodeId& from,
                                                    const HeartbeatBody& body);
  /// \brief Sends the next heartbeats with the next tick.
  void HastenHeartbeats() noexcept { next_heartbeat_at_ = {}; }
  /// \brief Handles the version that a child reports.
  void OnChildMark(const NodeId& child, const VersionMark& mark);

  /// \brief Pushes the version in force to the children and, if this node
  /// committed it, to the roots of all zones.
  void PushNewest(const FleetContext& context,
                  const DisseminationTree& tree,
                  const Membership& membership,
                  const AppliedVersions& versions,
                  const Freshness& freshness,
                  bool as_committer);

 private:
  struct Child {
    /// Sequence and arrival time of the child's newest attach.
    std::uint32_t sequence = 0;
    MonoTime attached_at{};
    VersionMark mark;
  };

  void ChooseParent(const FleetContext& context,
                    const DisseminationTree& tree,
                    const Membership& membership,
                    bool reads_store);
  [[nodiscard]] std::vector<NodeId> ParentCandidates(
      const FleetContext& context,
      const DisseminationTree& tree,
      const Membership& membership) const;
  void Attach(const FleetContext& context);
  void SendHeartbeats(const FleetContext& context) const;
  static void SendHeartbeat(const FleetContext& context,
                            const NodeId& id,
                            const Child& child);
  [[nodiscard]] VersionMark MarkOfPeer(const Membership& membership,
                                       const NodeId& id) const;

  std::map<NodeId, Child> children_;
  std::optional<NodeId> parent_;
  std::uint64_t tree_version_ = 0;
  /// Parents given up as silent since the tree last changed.
  std::uint32_t failovers_ = 0;
  MonoTime next_retry_at_{};
  MonoTime heard_parent_at_{};
  MonoTime next_attach_at_{};
  MonoTime next_heartbeat_at_{};
  /// Sequence of the newest attach.
  std::uint32_t attach_sequence_;
  /// When each recent attach was sent, by sequence.
  std::map<std::uint32_t, MonoTime> attaches_;
};

}  // namespace cassiabend
