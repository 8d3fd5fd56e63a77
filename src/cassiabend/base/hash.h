#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace cassiabend {

/// \brief A 128-bit value: a content hash or a random identifier.
struct Id128 {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  /// \returns Whether the value is all zeros, which stands for "none".
  [[nodiscard]] constexpr bool IsZero() const noexcept {
    return high == 0 && low == 0;
  }

  // clang-tidy 14 takes the 0 of a rewritten comparison for a pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  [[nodiscard]] auto operator<=>(const Id128&) const = default;
};

using ContentHash = Id128;
using ChangeId = Id128;
using AttemptId = Id128;

/// \returns 32 lower-case hexadecimal digits.
[[nodiscard]] std::string ToHex(const Id128& id);

/// \brief Reads the form that `ToHex` writes.
/// \returns Whether `text` was well formed; `*id` is set only then.
[[nodiscard]] bool FromHex(std::string_view text, Id128* id) noexcept;

/// \returns The 128-bit XXH3 hash of `bytes`; it is not cryptographic.
[[nodiscard]] ContentHash HashBytes(std::span<const std::byte> bytes) noexcept;
/// \returns The hash of the bytes of `text`, as by `HashBytes`.
[[nodiscard]] ContentHash HashText(std::string_view text) noexcept;

/// \returns The 64-bit XXH3 hash of `text` with `seed`.
[[nodiscard]] std::uint64_t Hash64(std::string_view text,
                                   std::uint64_t seed = 0) noexcept;

/// \returns The weight of `member` for `key` in rendezvous hashing; the member
/// with the highest weight is chosen.
[[nodiscard]] std::uint64_t RendezvousWeight(std::string_view key,
                                             std::string_view member) noexcept;

/// \brief Hasher for unordered containers keyed by `Id128`.
struct Id128Hasher {
  [[nodiscard]] std::size_t operator()(const Id128& id) const noexcept {
    return static_cast<std::size_t>(id.high ^ (id.low * 0x9E3779B97F4A7C15ULL));
  }
};

}  // namespace cassiabend
