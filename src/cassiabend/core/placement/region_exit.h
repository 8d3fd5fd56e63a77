#pragma once

#include <optional>

namespace cassiabend {

/// \brief Decides whether an attempt may leave the region.
///
/// Load pattern: all zones of all regions are full at the same time. Calls that
/// the near upstreams refuse, or would let wait, then go from region to region
/// for a refusal or a queue as long as the one at home, and their answers come
/// back over the dearest links. An attempt leaves the region only for a slot
/// that is expected to be free, and a call does so once. Where nothing is known
/// of the far upstreams and the near ones are full, a call may go and see: what
/// comes back tells their load. A service that has no upstream in use in the
/// region is reached beyond it in any case.
class RegionExit {
 public:
  /// Load from which an upstream is expected to have no free slot.
  static constexpr double kFullLoad = 0.95;

  /// \brief What is known before the upstreams of other regions are compared.
  struct Near {
    /// Whether the region has an upstream that takes calls, with or without
    /// room.
    bool has_upstream = false;
    /// Whether the best of them has no free slot, or the region has refused the
    /// call.
    bool is_full = false;
  };

  /// \param has_left Whether an earlier attempt of the call left the region.
  /// \param knows_far Whether a far upstream has told its load lately.
  RegionExit(const Near& near, bool has_left, bool knows_far) noexcept
      : near_(near), has_left_(has_left), knows_far_(knows_far) {}

  /// \param load Expected load of the far upstream, as a share of its slots.
  /// \returns The load with which it is compared; unset when the attempt may
  /// not go there.
  [[nodiscard]] std::optional<double> LoadToCompare(
      double load) const noexcept {
    if (!near_.has_upstream) {
      return load;
    }
    if (has_left_) {
      return std::nullopt;
    }
    if (load < kFullLoad) {
      return load;
    }
    const bool may_see = near_.is_full && !knows_far_;
    return may_see ? std::optional(kFullLoad) : std::nullopt;
  }

 private:
  Near near_;
  bool has_left_;
  bool knows_far_;
};

}  // namespace cassiabend
