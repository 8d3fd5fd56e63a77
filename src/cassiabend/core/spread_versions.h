#pragma once

#include <cstdint>
#include <deque>

#include "cassiabend/core/fleet_context.h"

namespace cassiabend {

/// \brief What became of a version that was offered.
enum class OfferResult : std::uint8_t {
  /// In force from now on.
  kApplied,
  /// The very version in force.
  kSame,
  /// Older than the version in force.
  kOlder,
  /// The number in force with another content.
  kFork,
  /// A delta that does not fit the version in force.
  kNoBase,
  /// A value that does not match the mark it came with.
  kDamaged,
};

/// \brief Numbers of versions that were not applied, for metrics.
struct SpreadRefusals {
  std::uint64_t forks = 0;
  std::uint64_t damaged = 0;
};

/// \brief Holds the version in force. Takes only whole versions whose content
/// matches their mark and whose number is greater.
class SpreadVersions {
 public:
  [[nodiscard]] const RefPtr<const Snapshot>& newest() const noexcept {
    return newest_;
  }
  [[nodiscard]] VersionMark mark() const noexcept {
    return newest_ ? newest_->mark() : VersionMark{};
  }
  /// \returns Whether whoever confirms `mark` as the head confirms the version
  /// in force too: it is that version or a later one.
  [[nodiscard]] bool Covers(const VersionMark& mark) const noexcept;
  /// \returns The delta from `base` to its successor; null when not held.
  [[nodiscard]] DeltaPtr DeltaFrom(const VersionMark& base) const noexcept;
  /// \returns The delta that led to the version in force; null when not held.
  [[nodiscard]] DeltaPtr LatestDelta() const noexcept;
  [[nodiscard]] const SpreadRefusals& refusals() const noexcept {
    return refusals_;
  }

  /// \brief Takes a whole version that came under `mark`.
  OfferResult OfferWhole(const FleetContext& context,
                         const VersionMark& mark,
                         const RefPtr<const Snapshot>& snapshot);
  /// \brief Takes a whole version that was written elsewhere, and keeps its
  /// delta, so that peers need not take it whole.
  void OfferRestated(const FleetContext& context,
                     const RefPtr<const Snapshot>& snapshot);
  /// \brief Takes a delta that came under `mark`.
  OfferResult OfferDelta(const FleetContext& context,
                         const VersionMark& mark,
                         const DeltaPtr& shared);
  /// \brief Keeps a delta that led to the version in force.
  void KeepDelta(const DeltaPtr& shared);

 private:
  [[nodiscard]] OfferResult Compare(const VersionMark& mark) noexcept;
  void Apply(const FleetContext& context, RefPtr<const Snapshot> snapshot);

  RefPtr<const Snapshot> newest_;
  /// Oldest first.
  std::deque<DeltaPtr> deltas_;
  SpreadRefusals refusals_;
};

}  // namespace cassiabend
