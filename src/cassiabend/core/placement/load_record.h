#pragma once

#include <optional>

#include "cassiabend/base/time.h"
#include "cassiabend/core/placement/upstream_load.h"

namespace cassiabend {

/// \brief Keeps what an upstream reports of its load, for as long as it says
/// something of the present. An upstream may report anything, so each figure is
/// bounded by what is known of it otherwise.
///
/// Load pattern: hosts are shared with others' work, so that the speed of an
/// upstream changes many times a second around a level of its own. One figure
/// is true for some tens of milliseconds, work takes some hundreds: what counts
/// is the mean over the next few hundred milliseconds, which the mean over the
/// last few hundred tells best.
class LoadRecord {
 public:
  /// Age from which the newest report says nothing: most of the work that it
  /// counts has ended by then.
  static constexpr Milliseconds kHorizon{1'000};
  /// Time in which a reported speed loses half of its weight in the mean.
  static constexpr Milliseconds kSpeedHalfLife{250};
  /// Bounds of a reported time of work, in hundredths of the usual.
  static constexpr std::uint32_t kMinTimePercent = 25;
  static constexpr std::uint32_t kMaxTimePercent = 400;
  /// A reported number of slots counts up to this factor from the known one.
  static constexpr std::uint32_t kMaxSlotsFactor = 2;
  /// Most slots that a report may name where none are known.
  static constexpr std::uint32_t kMaxSlots = 1'000;
  /// Most waiting calls that a report may name, in multiples of the slots.
  static constexpr std::uint32_t kMaxWaitingFactor = 8;

  /// \param known_slots Slots that the upstream's heartbeat or the settings
  /// name; 0 for none.
  void Record(MonoTime now,
              const UpstreamLoad& reported,
              std::uint32_t known_slots) noexcept;
  /// \brief Forgets all reports, those of another start of the upstream.
  void Reset() noexcept { *this = {}; }

  /// \returns The newest report within its bounds, with the mean speed; unset
  /// when it is older than `kHorizon`.
  [[nodiscard]] std::optional<UpstreamLoad> At(MonoTime now) const noexcept;

 private:
  void RecordSpeed(MonoTime now, std::uint32_t time_percent) noexcept;

  UpstreamLoad newest_;
  std::optional<MonoTime> reported_at_;
  double mean_time_percent_ = 0.0;
  MonoTime speed_reported_at_{};
};

}  // namespace cassiabend
