#pragma once

#include <optional>

#include "cassiabend/core/fleet_context.h"

namespace cassiabend {

/// \brief Tracks the latest time at which the head is known not to have been
/// newer than the version in force here.
///
/// Every confirmation is a lower bound: it counts from the time at which this
/// node sent the request, not from the arrival of the answer, so that a delayed
/// or duplicated answer never makes an old confirmation look new.
class Freshness {
 public:
  [[nodiscard]] std::optional<MonoTime> confirmed_at() const noexcept {
    return confirmed_at_;
  }
  /// \returns The age of the confirmation, rounded up; unset when there is
  /// none.
  [[nodiscard]] std::optional<Milliseconds> AgeAt(MonoTime now) const noexcept;

  /// \brief Records a confirmation and emits `HeadConfirmed` when it is newer
  /// than the last one. A time in the future is ignored.
  void Confirm(const FleetContext& context, MonoTime at);

  /// \brief Records the confirmation in a peer's answer.
  /// \param sent_at When this node sent the request.
  /// \param held How long the peer held the request before it answered.
  /// \param age Age of the peer's confirmation when it answered; unset when it
  /// has none.
  void ConfirmByPeer(const FleetContext& context,
                     MonoTime sent_at,
                     Milliseconds held,
                     std::optional<Milliseconds> age);

 private:
  std::optional<MonoTime> confirmed_at_;
};

}  // namespace cassiabend
