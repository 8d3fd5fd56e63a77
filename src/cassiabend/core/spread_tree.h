#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cassiabend/core/membership.h"
#include "cassiabend/core/options.h"

namespace cassiabend {

/// \brief The dissemination tree as this node's membership view gives it.
///
/// The roots of a zone are its readers, filled up with the members of highest
/// rank where there are too few readers. The other members follow in order of
/// rank, level by level, each inner node with up to `fan_out` children. Nodes
/// with the same view compute the same tree.
class SpreadTree {
 public:
  /// \brief Computes the tree anew if the view has changed.
  void Refresh(const FleetOptions& options, const Membership& membership);

  [[nodiscard]] const std::vector<NodeId>& roots() const noexcept {
    return RootsOf(zone_);
  }
  /// \returns The roots of one zone, readers first; empty if not known.
  [[nodiscard]] const std::vector<NodeId>& RootsOf(
      const std::string& zone) const noexcept;
  [[nodiscard]] const std::map<std::string, std::vector<NodeId>>& all_roots()
      const noexcept {
    return roots_;
  }
  [[nodiscard]] bool is_root() const noexcept { return self_is_root_; }
  /// \returns Whether this node may try for a reader's lease.
  [[nodiscard]] bool is_candidate() const noexcept { return is_candidate_; }
  /// \returns Members of the zone that hold a reader lease, this node left out.
  [[nodiscard]] std::uint32_t other_readers() const noexcept {
    return other_readers_;
  }
  /// \returns This node's parent within the zone; unset for roots.
  [[nodiscard]] const std::optional<NodeId>& parent() const noexcept {
    return parent_;
  }
  /// \returns A number that changes when the tree does.
  [[nodiscard]] std::uint64_t version() const noexcept { return version_; }

 private:
  void ComputeOwnPlace(const FleetOptions& options,
                       const Membership& membership,
                       const std::vector<NodeId>& by_rank);

  std::uint64_t version_ = 0;
  std::string zone_;
  std::map<std::string, std::vector<NodeId>> roots_;
  bool self_is_root_ = false;
  bool is_candidate_ = false;
  std::uint32_t other_readers_ = 0;
  std::optional<NodeId> parent_;
};

}  // namespace cassiabend
