#pragma once

#include <cstdint>
#include <vector>

#include "cassiabend/core/dissemination_tree.h"
#include "cassiabend/core/fleet_context.h"
#include "cassiabend/core/membership.h"

namespace cassiabend {

/// \brief Answers requests for the member list at a bounded rate. Beyond it, an
/// answer holds only a few members, which the requester can ask in turn.
class MembershipServer {
 public:
  /// \returns The records of all members, or of a few beyond the rate limit.
  [[nodiscard]] std::vector<Member> Answer(const FleetContext& context,
                                           const Membership& membership,
                                           const DisseminationTree& tree);
  /// \brief Takes from the rate limit of requests to unknown senders.
  /// \returns Whether an unknown sender may be asked for its record now.
  [[nodiscard]] bool AllowIntroductionRequest(const FleetContext& context);

 private:
  /// \brief Rate limit of one use per `pause`: each use moves `*busy_until`
  /// ahead by one pause, at most `burst` pauses beyond `now`.
  /// \returns Whether the use is within the limit.
  [[nodiscard]] static bool TryAcquireToken(MonoTime now,
                                            Milliseconds pause,
                                            std::int64_t burst,
                                            MonoTime* busy_until);

  MonoTime lists_busy_until_{};
  MonoTime introductions_busy_until_{};
};

}  // namespace cassiabend
