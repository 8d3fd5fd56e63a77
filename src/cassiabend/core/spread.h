#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cassiabend/core/fleet_context.h"
#include "cassiabend/core/freshness.h"
#include "cassiabend/core/membership.h"
#include "cassiabend/core/spread_tree.h"
#include "cassiabend/core/spread_versions.h"

namespace cassiabend {

/// \brief Carries versions and confirmations down the dissemination tree. A
/// child attaches to its parent; the parent pushes new versions to its attached
/// children at once and sends each a beat per period.
class Spread {
 public:
  /// \param start_id This node's start; beats to an earlier process of the same
  /// slot are told apart by it.
  explicit Spread(std::uint64_t start_id)
      : next_attach_(
            static_cast<std::uint32_t>(Hash64(std::to_string(start_id)))) {}

  [[nodiscard]] std::size_t child_count() const noexcept {
    return children_.size();
  }
  [[nodiscard]] const std::optional<NodeId>& parent() const noexcept {
    return parent_;
  }

  /// \param reads_store Whether this node confirms the head by itself.
  void Tick(const FleetContext& context,
            const SpreadTree& tree,
            const Membership& membership,
            bool reads_store);
  void OnAttach(const FleetContext& context,
                const NodeId& from,
                const VersionMark& mark,
                const AttachBody& body);
  /// \brief Takes a beat.
  /// \returns When this node sent the attach that the beat answers; unset for
  /// a beat that answers none.
  [[nodiscard]] std::optional<MonoTime> OnBeat(const FleetContext& context,
                                               const NodeId& from,
                                               const BeatBody& body);
  /// \brief Notes the version that a child has.
  void OnChildMark(const NodeId& child, const VersionMark& mark);

  /// \brief Pushes the version in force to the children, and as its committer
  /// to the roots of all zones.
  void PushNewest(const FleetContext& context,
                  const SpreadTree& tree,
                  const Membership& membership,
                  const SpreadVersions& versions,
                  const Freshness& freshness,
                  bool as_committer);

 private:
  struct Child {
    std::uint32_t sequence = 0;
    MonoTime attached_at{};
    VersionMark mark;
  };

  void ChooseParent(const FleetContext& context,
                    const SpreadTree& tree,
                    const Membership& membership,
                    bool reads_store);
  [[nodiscard]] std::vector<NodeId> ParentCandidates(
      const FleetContext& context,
      const SpreadTree& tree,
      const Membership& membership) const;
  void Attach(const FleetContext& context);
  void SendBeats(const FleetContext& context) const;
  static void SendBeat(const FleetContext& context,
                       const NodeId& id,
                       const Child& child);
  [[nodiscard]] VersionMark MarkOfPeer(const Membership& membership,
                                       const NodeId& id) const;

  std::map<NodeId, Child> children_;
  std::optional<NodeId> parent_;
  std::uint64_t tree_version_ = 0;
  /// Parents given up since the tree last changed.
  std::uint32_t failovers_ = 0;
  MonoTime next_retry_at_{};
  MonoTime heard_parent_at_{};
  MonoTime next_attach_at_{};
  MonoTime next_beat_at_{};
  std::uint32_t next_attach_;
  /// When the recent attaches were sent.
  std::map<std::uint32_t, MonoTime> attaches_;
};

}  // namespace cassiabend
