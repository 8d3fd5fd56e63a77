#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cassiabend/core/fleet_context.h"
#include "cassiabend/core/fleet_store.h"
#include "cassiabend/core/membership.h"
#include "cassiabend/core/spread_tree.h"

namespace cassiabend {

/// \brief Brings a started node, which remembers nothing, to its peers: by the
/// addresses of its settings and those that the store holds for its zone.
/// Later it compares member lists with other zones now and then.
class Join {
 public:
  /// \returns Whether a peer has told the members that it knows.
  [[nodiscard]] bool joined() const noexcept { return joined_; }

  void Tick(const FleetContext& context,
            const SpreadTree& tree,
            const Membership& membership);
  /// \brief Takes an answer of the store.
  /// \returns Whether the answer was to a call of this part.
  bool OnReply(const FleetContext& context,
               const StoreReplied& replied,
               const Membership& membership);
  void OnMembers(const FleetContext& context,
                 const MembersAnswered& answer,
                 Membership* membership);
  /// \brief Takes the members that the store lists, and meets some.
  void TakeFound(const FleetContext& context,
                 std::vector<NodeId> found,
                 const Membership& membership);
  /// \brief Takes addresses at which peers may be found.
  void MeetUnknown(const FleetContext& context,
                   const std::vector<NodeId>& peers,
                   const Membership& membership);

 private:
  void Meet(const FleetContext& context, const NodeId& peer) const;
  void MeetSome(const FleetContext& context,
                const std::vector<NodeId>& peers,
                const Membership& membership) const;
  void SeekPeers(const FleetContext& context, const Membership& membership);
  void CompareMembers(const FleetContext& context,
                      const SpreadTree& tree,
                      const Membership& membership);

  bool joined_ = false;
  /// Addresses found in the store.
  std::vector<NodeId> found_;
  bool zone_key_read_ = false;
  StorePending seed_read_;
  StoreBackoff backoff_;
  std::optional<MonoTime> next_read_at_;
  MonoTime next_meet_at_{};
  /// Further members to ask until one tells nothing new.
  std::uint32_t meetings_left_ = 0;
  std::optional<MonoTime> next_sync_at_;
  NodeId sync_peer_;
};

}  // namespace cassiabend
