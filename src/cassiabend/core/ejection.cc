#include "cassiabend/core/ejection.h"

#include <algorithm>

namespace cassiabend {
namespace {

/// Connections that go silent within `kSilenceInterval` before the network path
/// to the upstream counts as suspect.
constexpr std::uint32_t kSilentConnectionsOfSuspectPath = 2;
constexpr Milliseconds kSilenceInterval{30'000};
/// Longest ejection as a multiple of the first one.
constexpr std::uint32_t kMaxEjectionFactor = 6;

}  // namespace

void EjectionPolicy::RecordSuccess(EjectionRecord* record) noexcept {
  record->consecutive_failures = 0;
  record->ejections = 0;
  record->silent_connections = 0;
  record->suspect_until = {};
  EndEjection(record);
}

void EjectionPolicy::RecordFailure(MonoTime now,
                                   std::size_t upstreams,
                                   EjectionRecord* record) noexcept {
  ++record->consecutive_failures;
  if (record->ejected ||
      record->consecutive_failures < limits_.failure_threshold) {
    return;
  }
  if ((ejected_ + 1) * 1000ULL > upstreams * limits_.max_ejected_permille) {
    return;
  }
  record->ejected = true;
  ++ejected_;
  ++record->ejections;
  const auto factor = std::min(record->ejections, kMaxEjectionFactor);
  record->ejected_until = now + limits_.base_duration * factor;
}

void EjectionPolicy::RecordSilence(MonoTime now,
                                   EjectionRecord* record) const noexcept {
  if (record->silent_connections == 0 ||
      now - record->first_silent_at > kSilenceInterval) {
    record->silent_connections = 0;
    record->first_silent_at = now;
  }
  ++record->silent_connections;
  if (record->silent_connections >= kSilentConnectionsOfSuspectPath) {
    record->suspect_until = now + limits_.base_duration;
  }
}

bool EjectionPolicy::IsAvoided(MonoTime now, EjectionRecord* record) noexcept {
  if (record->ejected && now >= record->ejected_until) {
    EndEjection(record);
    // A single further failure ejects it again.
    record->consecutive_failures = limits_.failure_threshold - 1;
  }
  return record->ejected || now < record->suspect_until;
}

void EjectionPolicy::Remove(EjectionRecord* record) noexcept {
  EndEjection(record);
  *record = {};
}

void EjectionPolicy::EndEjection(EjectionRecord* record) noexcept {
  if (record->ejected) {
    record->ejected = false;
    --ejected_;
  }
}

}  // namespace cassiabend
