#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>

#include "cassiabend/base/time.h"
#include "cassiabend/core/member.h"
#include "cassiabend/core/rollout/version_counts.h"
#include "cassiabend/core/rollout/version_judge.h"

namespace cassiabend {

/// \brief What the nodes report of one roll-out: the counts of all of them, and
/// how far each node has come.
///
/// The versions are compared over the present step and over its last seconds.
/// Counts of different steps are never added up for that: where the shares
/// changed, an outage that hits both versions would weigh on one of them more.
class VersionEvidence {
 public:
  /// \brief Begins to compare anew, since the share has changed.
  void StartStep();
  void Add(MonoTime now, const NodeId& from, const VersionUse& use);

  /// \returns In what the new version is worse in any class.
  [[nodiscard]] VersionFault FindFault(MonoTime now) const;
  /// \returns The counts of all classes since the order.
  [[nodiscard]] VersionComparison Total() const;
  /// \returns Whether the node has reported of late that it chooses upstreams
  /// by `step`, and has no calls at the old version.
  [[nodiscard]] bool HasLeftOld(MonoTime now,
                                const NodeId& node,
                                std::uint32_t step) const;

 private:
  static constexpr std::size_t kSlots = 8;
  using ByClass = std::map<std::uint64_t, VersionComparison>;
  struct Slot {
    std::int64_t number = -1;
    ByClass counts;
  };
  struct Reporter {
    std::map<std::uint64_t, VersionComparison> counts;
    std::uint32_t step = 0;
    bool uses_old = false;
    MonoTime heard_at{};
  };

  [[nodiscard]] VersionFault FindFaultIn(const ByClass& counts) const;

  std::map<NodeId, Reporter> reporters_;
  /// Since the order, and since the present step began.
  ByClass whole_;
  ByClass at_step_;
  /// The counts of late, by the time at which they were reported.
  std::array<Slot, kSlots> recent_;
};

}  // namespace cassiabend
