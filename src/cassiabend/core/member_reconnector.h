#pragma once

#include "cassiabend/core/dissemination_tree.h"
#include "cassiabend/core/fleet_context.h"
#include "cassiabend/core/membership.h"

namespace cassiabend {

/// \brief Contacts the addresses of members that left or died recently. A
/// process that restarts there keeps no state, and finds its peers this way
/// while the store is unavailable. Only the roots of the member's zone do so.
class MemberReconnector {
 public:
  void Tick(const FleetContext& context,
            const DisseminationTree& tree,
            const Membership& membership);

 private:
  MonoTime next_at_{};
};

}  // namespace cassiabend
