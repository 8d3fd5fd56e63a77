#pragma once

#include <algorithm>
#include <array>
#include <bit>
#include <cstddef>
#include <cstdint>
#include <numeric>
#include <string>
#include <vector>

#include "cassiabend/base/time.h"
#include "cassiabend/core/store_types.h"

namespace cassiabend {

/// \brief Answers of one version to calls of one class.
struct VersionCounts {
  static constexpr std::size_t kBuckets = 16;

  /// Server errors, lost answers and malformed ones.
  std::uint32_t failures = 0;
  /// Other answers by their time at the upstream: bucket i holds those of
  /// [2^(i-1), 2^i) ms, the last one all that took longer.
  std::array<std::uint32_t, kBuckets> times{};

  [[nodiscard]] std::uint32_t successes() const noexcept {
    return std::accumulate(times.begin(), times.end(), 0U);
  }
  [[nodiscard]] std::uint32_t answers() const noexcept {
    return failures + successes();
  }
  void AddSuccess(Milliseconds time) noexcept {
    const auto ms =
        static_cast<std::uint64_t>(std::max<std::int64_t>(time.count(), 0));
    ++times.at(std::min<std::size_t>(std::bit_width(ms), kBuckets - 1));
  }
  VersionCounts& operator+=(const VersionCounts& other) noexcept {
    failures += other.failures;
    for (std::size_t i = 0; i < kBuckets; ++i) {
      times.at(i) += other.times.at(i);
    }
    return *this;
  }
  /// \returns What was added since `before`; all of it if the counts started
  /// anew since.
  [[nodiscard]] VersionCounts Since(const VersionCounts& before) const {
    VersionCounts out = *this;
    bool restarted = failures < before.failures;
    for (std::size_t i = 0; i < kBuckets; ++i) {
      restarted = restarted || times.at(i) < before.times.at(i);
      out.times.at(i) -= before.times.at(i);
    }
    out.failures -= before.failures;
    return restarted ? *this : out;
  }
  [[nodiscard]] bool operator==(const VersionCounts&) const = default;
};

/// \brief Answers of both versions to calls of one class.
struct VersionComparison {
  VersionCounts old_version;
  VersionCounts new_version;

  VersionComparison& operator+=(const VersionComparison& other) noexcept {
    old_version += other.old_version;
    new_version += other.new_version;
    return *this;
  }
  [[nodiscard]] VersionComparison Since(const VersionComparison& before) const {
    return {old_version.Since(before.old_version),
            new_version.Since(before.new_version)};
  }
  [[nodiscard]] bool operator==(const VersionComparison&) const = default;
};

/// \brief What one node has seen of a roll-out since it learned of the order.
struct VersionUse {
  struct Class {
    /// Hash of the request class.
    std::uint64_t request_class = 0;
    VersionComparison counts;

    [[nodiscard]] bool operator==(const Class&) const = default;
  };

  std::string service;
  StoreRevision order_revision = 0;
  /// Step by which the node chooses upstreams now.
  std::uint32_t step = 0;
  /// Whether calls of this node run at upstreams of other versions than the
  /// target, or have ended there a moment ago.
  bool uses_old = false;
  std::vector<Class> classes;

  [[nodiscard]] bool operator==(const VersionUse&) const = default;
};

}  // namespace cassiabend
