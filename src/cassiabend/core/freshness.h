#pragma once

#include <optional>

#include "cassiabend/core/fleet_context.h"

namespace cassiabend {

/// \brief Keeps the newest moment at which the head is known not to have been
/// newer than the version in force here.
///
/// Every confirmation is a lower bound: it counts from the moment at which this
/// node sent the request that the answer belongs to, so that an answer which
/// was delayed or repeated never makes an old confirmation look new.
class Freshness {
 public:
  [[nodiscard]] std::optional<MonoTime> confirmed_at() const noexcept {
    return confirmed_at_;
  }
  /// \returns The age of the confirmation, rounded up; unset for none.
  [[nodiscard]] std::optional<Milliseconds> AgeAt(MonoTime now) const noexcept;

  /// \brief Takes a confirmation; emits `HeadConfirmed` when it is newer.
  void Confirm(const FleetContext& context, MonoTime at);

  /// \brief Takes a peer's confirmation.
  /// \param sent_at When this node sent the request that was answered.
  /// \param held Time that the peer held the request before it answered.
  /// \param age Age of the peer's confirmation at its answer.
  void ConfirmByPeer(const FleetContext& context,
                     MonoTime sent_at,
                     Milliseconds held,
                     std::optional<Milliseconds> age);

 private:
  std::optional<MonoTime> confirmed_at_;
};

}  // namespace cassiabend
