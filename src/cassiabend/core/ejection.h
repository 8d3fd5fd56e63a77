#pragma once

#include <cstdint>

#include "cassiabend/base/time.h"

namespace cassiabend {

/// \brief One node's observations of one upstream's failures.
struct EjectionRecord {
  std::uint32_t consecutive_failures = 0;
  /// Ejections in a row, with no answer in between.
  std::uint32_t ejections = 0;
  /// End of the current or latest ejection.
  MonoTime ejected_until{};
  bool ejected = false;
  /// Connections that went silent since `first_silent_at`. The count starts
  /// anew after an answer, and with the first silence that comes more than 30 s
  /// after `first_silent_at`.
  std::uint32_t silent_connections = 0;
  /// When the first of `silent_connections` went silent.
  MonoTime first_silent_at{};
  /// Until when the network path to the upstream counts as suspect, which makes
  /// the upstream avoided.
  MonoTime suspect_until{};
};

/// \brief Limits of ejection, which uses only this node's own observations.
struct EjectionLimits {
  /// Consecutive failures that eject an upstream.
  std::uint32_t failure_threshold = 5;
  /// Length of the first ejection; the nth in a row lasts n times as long, up
  /// to a limit.
  Milliseconds base_duration{5'000};
  /// Largest share of a service's upstreams that may be ejected, in
  /// thousandths.
  std::uint32_t max_ejected_permille = 340;
};

/// \brief Decides which upstreams of one service are ejected, and until when.
class EjectionPolicy {
 public:
  explicit EjectionPolicy(const EjectionLimits& limits) : limits_(limits) {}

  /// \returns The number of ejected upstreams.
  [[nodiscard]] std::uint32_t ejected() const noexcept { return ejected_; }

  /// \brief Records an answer, which clears the upstream's failures and ends
  /// its ejection.
  void RecordSuccess(EjectionRecord* record) noexcept;
  /// \brief Records a failed attempt: its node could not be reached, its answer
  /// was lost or a server error, or its connection fell silent.
  /// \param upstreams Number of upstreams of the service.
  void RecordFailure(MonoTime now,
                     std::size_t upstreams,
                     EjectionRecord* record) noexcept;
  /// \brief Records a connection that stopped delivering data.
  void RecordSilence(MonoTime now, EjectionRecord* record) const noexcept;
  /// \brief Ends the ejection if its time is over.
  /// \returns Whether the upstream is ejected or its path suspect at `now`.
  [[nodiscard]] bool IsAvoided(MonoTime now, EjectionRecord* record) noexcept;
  /// \brief Clears the record of an upstream that leaves the service.
  void Remove(EjectionRecord* record) noexcept;

 private:
  void EndEjection(EjectionRecord* record) noexcept;

  EjectionLimits limits_;
  std::uint32_t ejected_ = 0;
};

}  // namespace cassiabend
