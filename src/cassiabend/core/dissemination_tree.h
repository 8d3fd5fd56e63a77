#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cassiabend/core/membership.h"
#include "cassiabend/core/options.h"

namespace cassiabend {

/// \brief The dissemination tree that follows from this node's view of the
/// membership.
///
/// The rank of a member is its rendezvous weight, a hash of its zone and node
/// id; each zone orders its members by falling rank.
///
/// The roots of a zone are its readers, topped up with the members of highest
/// rank if there are fewer than `readers_per_zone`. The other members follow in
/// order of rank, level by level, each inner node with up to `fan_out`
/// children. Nodes with the same view compute the same tree.
class DisseminationTree {
 public:
  /// \brief Recomputes the tree if the view has changed.
  void Refresh(const FleetOptions& options, const Membership& membership);

  /// \returns The roots of this node's zone, readers first.
  [[nodiscard]] const std::vector<NodeId>& roots() const noexcept {
    return RootsOf(zone_);
  }
  /// \returns The roots of `zone`, readers first; empty for an unknown zone.
  [[nodiscard]] const std::vector<NodeId>& RootsOf(
      const std::string& zone) const noexcept;
  [[nodiscard]] const std::map<std::string, std::vector<NodeId>>& all_roots()
      const noexcept {
    return roots_;
  }
  [[nodiscard]] bool is_root() const noexcept { return self_is_root_; }
  /// \returns Whether `id` is a root of its zone.
  [[nodiscard]] bool IsRoot(const NodeId& id) const noexcept;
  /// \returns Whether this node may try to acquire a reader lease.
  [[nodiscard]] bool is_reader_candidate() const noexcept {
    return is_reader_candidate_;
  }
  /// \returns The number of other members of the zone that hold a reader lease.
  [[nodiscard]] std::uint32_t other_readers() const noexcept {
    return other_readers_;
  }
  /// \returns This node's parent within the zone; unset for roots.
  [[nodiscard]] const std::optional<NodeId>& parent() const noexcept {
    return parent_;
  }
  /// \returns This node's place among the roots of all zones in the order of
  /// `HeadRank`, from 0; unset unless it is a root.
  [[nodiscard]] const std::optional<std::size_t>& head_place() const noexcept {
    return head_place_;
  }
  /// \returns The rank by which the roots of all zones verify the head: the
  /// first one does, and the others do when its confirmations fail to arrive.
  [[nodiscard]] static std::uint64_t HeadRank(const NodeId& id) {
    return RendezvousWeight("head", ToString(id));
  }
  /// \returns A number that changes whenever the tree is recomputed.
  [[nodiscard]] std::uint64_t version() const noexcept { return version_; }

 private:
  void ComputeOwnPosition(const FleetOptions& options,
                          const Membership& membership,
                          const std::vector<NodeId>& by_rank);

  void ComputeHeadPlace(const NodeId& self);

  std::uint64_t version_ = 0;
  std::string zone_;
  std::map<std::string, std::vector<NodeId>> roots_;
  bool self_is_root_ = false;
  bool is_reader_candidate_ = false;
  std::uint32_t other_readers_ = 0;
  std::optional<NodeId> parent_;
  std::optional<std::size_t> head_place_;
};

}  // namespace cassiabend
