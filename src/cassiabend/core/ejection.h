#pragma once

#include <cstdint>

#include "cassiabend/base/time.h"

namespace cassiabend {

/// \brief What this node has seen of one upstream's failures.
struct EjectionRecord {
  std::uint32_t consecutive_failures = 0;
  /// Ejections in a row without an answer between them.
  std::uint32_t ejections = 0;
  /// End of the present or last ejection.
  MonoTime ejected_until{};
  bool ejected = false;
  std::uint32_t silent_links = 0;
  MonoTime first_silent_at{};
  /// Until when the path to the upstream counts as suspect.
  MonoTime suspect_until{};
};

/// \brief Limits of ejection by this node's own observations.
struct EjectionLimits {
  std::uint32_t failures = 5;
  Milliseconds time{5'000};
  /// Most of a service's upstreams that may be ejected, in thousandths.
  std::uint32_t permille = 340;
};

/// \brief Decides which of one service's upstreams are ejected for a time.
class EjectionPolicy {
 public:
  explicit EjectionPolicy(const EjectionLimits& limits) : limits_(limits) {}

  /// \returns How many upstreams are ejected.
  [[nodiscard]] std::uint32_t ejected() const noexcept { return ejected_; }

  /// \brief Notes an answer: the upstream works.
  void RecordSuccess(EjectionRecord* record) noexcept;
  /// \brief Notes a refused, silent or broken attempt.
  /// \param upstreams How many upstreams the service has.
  void RecordFailure(MonoTime now,
                     std::size_t upstreams,
                     EjectionRecord* record) noexcept;
  /// \brief Notes a connection that went silent.
  void RecordSilence(MonoTime now, EjectionRecord* record) const noexcept;
  /// \brief Ends the ejection when its time is over.
  /// \returns Whether the upstream is to be avoided at `now`.
  [[nodiscard]] bool IsAvoided(MonoTime now, EjectionRecord* record) noexcept;
  /// \brief Forgets an upstream that leaves the service.
  void Remove(EjectionRecord* record) noexcept;

 private:
  void EndEjection(EjectionRecord* record) noexcept;

  EjectionLimits limits_;
  std::uint32_t ejected_ = 0;
};

}  // namespace cassiabend
