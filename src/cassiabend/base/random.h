#pragma once

#include <cstdint>
#include <random>

#include "cassiabend/base/hash.h"
#include "cassiabend/base/time.h"

namespace cassiabend {

/// \brief Seeded pseudo-random number generator: equal seeds give equal
/// sequences.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}

  /// \returns 64 random bits.
  [[nodiscard]] std::uint64_t Next() { return engine_(); }
  /// \returns A number in [0, n); 0 when `n` is 0.
  [[nodiscard]] std::uint64_t Below(std::uint64_t n) {
    return n == 0 ? 0 : engine_() % n;
  }
  /// \returns A number in [0, 1).
  [[nodiscard]] double NextDouble() {
    constexpr double kScale = 1.0 / 9007199254740992.0;  // 2^-53
    return static_cast<double>(engine_() >> 11) * kScale;
  }
  /// \returns `base` scaled by a factor in [1 - share, 1 + share).
  [[nodiscard]] Nanoseconds Jitter(Nanoseconds base, double share) {
    const double factor = 1.0 + share * (2.0 * NextDouble() - 1.0);
    return Nanoseconds(
        static_cast<std::int64_t>(static_cast<double>(base.count()) * factor));
  }
  /// \returns A random identifier that is not zero.
  [[nodiscard]] Id128 NextId() { return {Next(), Next() | 1}; }

 private:
  std::mt19937_64 engine_;
};

}  // namespace cassiabend
