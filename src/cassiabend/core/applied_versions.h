#pragma once

#include <cstdint>
#include <deque>

#include "cassiabend/core/fleet_context.h"

namespace cassiabend {

/// \brief Outcome of offering a version.
enum class OfferResult : std::uint8_t {
  /// The version is now in force.
  kApplied,
  /// The version was in force already.
  kSame,
  /// The version is older than the one in force.
  kOlder,
  /// The version has the number of the one in force and different content.
  kFork,
  /// The delta starts from a version other than the one in force.
  kNoBase,
  /// The content does not match the mark that came with it.
  kDamaged,
};

/// \brief Counts of refused versions, for metrics.
struct VersionRefusals {
  std::uint64_t forks = 0;
  std::uint64_t damaged = 0;
};

/// \brief Holds the version in force and recent deltas. Applies a version only
/// if it is complete, matches its mark and has a greater number.
class AppliedVersions {
 public:
  [[nodiscard]] const RefPtr<const Snapshot>& newest() const noexcept {
    return newest_;
  }
  [[nodiscard]] VersionMark mark() const noexcept {
    return newest_ ? newest_->mark() : VersionMark{};
  }
  /// \returns Whether a confirmation of `mark` as the head also confirms the
  /// version in force, which is then `mark` or a later version.
  [[nodiscard]] bool Covers(const VersionMark& mark) const noexcept;
  /// \returns The delta from `base` to its successor; null if it is not held.
  [[nodiscard]] DeltaPtr DeltaFrom(const VersionMark& base) const noexcept;
  /// \returns The delta that led to the version in force; null if it is not
  /// held.
  [[nodiscard]] DeltaPtr LatestDelta() const noexcept;
  [[nodiscard]] const VersionRefusals& refusals() const noexcept {
    return refusals_;
  }

  /// \brief Applies a full version, received under `mark`, if it is newer.
  OfferResult OfferFull(const FleetContext& context,
                        const VersionMark& mark,
                        const RefPtr<const Snapshot>& snapshot);
  /// \brief Applies a full version that was written to the store without a
  /// delta, if it is newer, and keeps a delta computed from the version before,
  /// so that peers need not transfer it in full.
  void OfferFullAndDeriveDelta(const FleetContext& context,
                               const RefPtr<const Snapshot>& snapshot);
  /// \brief Applies a delta, received under `mark`, if it leads from the
  /// version in force to a newer one.
  OfferResult OfferDelta(const FleetContext& context,
                         const VersionMark& mark,
                         const DeltaPtr& shared);
  /// \brief Keeps a delta for peers if it led to the version in force.
  void KeepDelta(const DeltaPtr& shared);

 private:
  /// \returns `kApplied` if `mark` is newer than the version in force, else why
  /// a version with this mark is not applied.
  [[nodiscard]] OfferResult CheckMark(const VersionMark& mark) noexcept;
  void Apply(const FleetContext& context, RefPtr<const Snapshot> snapshot);

  RefPtr<const Snapshot> newest_;
  /// Oldest first.
  std::deque<DeltaPtr> deltas_;
  VersionRefusals refusals_;
};

}  // namespace cassiabend
