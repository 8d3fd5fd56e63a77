#pragma once

#include <cstdint>
#include <vector>

#include "cassiabend/core/fleet_context.h"
#include "cassiabend/core/membership.h"
#include "cassiabend/core/spread_tree.h"

namespace cassiabend {

/// \brief Answers requests for the member list at a bounded rate: beyond it the
/// answer names a few members, whom the asker can ask in turn.
class MembershipServer {
 public:
  [[nodiscard]] std::vector<Member> Answer(const FleetContext& context,
                                           const Membership& membership,
                                           const SpreadTree& tree);
  /// \returns Whether an unknown sender may be asked who it is now.
  [[nodiscard]] bool MayAskWho(const FleetContext& context);

 private:
  /// \brief A rate limit: `busy_until` runs ahead of the time by one pause per
  /// use, up to `burst` pauses.
  [[nodiscard]] static bool TakeToken(MonoTime now,
                                      Milliseconds pause,
                                      std::int64_t burst,
                                      MonoTime* busy_until);

  MonoTime lists_busy_until_{};
  MonoTime questions_busy_until_{};
};

}  // namespace cassiabend
