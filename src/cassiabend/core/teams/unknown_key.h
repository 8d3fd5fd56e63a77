#pragma once

#include <cstdint>
#include <optional>

#include "cassiabend/base/time.h"

namespace cassiabend {

/// \brief What to do with a call whose key the version in force does not have.
enum class UnknownKeyAction : std::uint8_t {
  /// No version has the key: refuse the call as unknown.
  kRefuse,
  /// A version that has the key may arrive: look again later.
  kWait,
  /// The version in force may not be the newest: refuse the call as not run.
  kRefuseAsStale,
};

/// \brief What is known about a call whose key is unknown.
struct UnknownKey {
  MonoTime now{};
  /// When the call arrived.
  MonoTime arrived_at{};
  /// Until when the call may wait.
  MonoTime wait_until{};
  /// When the version in force was last known to be the newest; unset for
  /// never.
  std::optional<MonoTime> confirmed_at;
  /// Largest age of that confirmation at which the key counts as unknown.
  Milliseconds age_limit{0};
};

/// \brief Load pattern: a new key races with its first calls, which come before
/// the version that has the key. Callers do not repeat a call that is refused
/// as unknown, so that has to be true.
[[nodiscard]] UnknownKeyAction JudgeUnknownKey(const UnknownKey& key) noexcept;

}  // namespace cassiabend
