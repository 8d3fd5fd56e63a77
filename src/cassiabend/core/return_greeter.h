#pragma once

#include "cassiabend/core/fleet_context.h"
#include "cassiabend/core/membership.h"
#include "cassiabend/core/spread_tree.h"

namespace cassiabend {

/// \brief Greets the addresses of members that left or died lately. A process
/// that starts there again remembers nothing, and finds its peers by it while
/// the store is away. Only the roots of the member's zone greet.
class ReturnGreeter {
 public:
  void Tick(const FleetContext& context,
            const SpreadTree& tree,
            const Membership& membership);

 private:
  MonoTime next_at_{};
};

}  // namespace cassiabend
