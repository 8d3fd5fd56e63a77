#pragma once

#include <array>
#include <optional>

#include "cassiabend/base/time.h"
#include "cassiabend/core/cost_model.h"

namespace cassiabend {

/// \brief Expects the load of an upstream that has not told it lately, from
/// what the others of its service told.
///
/// Load pattern: many entry nodes, each of which hears from an upstream every
/// few seconds, and all upstreams busy. If a load that isn't known counts as
/// none, every node takes the upstreams that it knows least for idle: calls
/// leave the region for queues as long as the near ones, and entry nodes rush
/// to the same few upstreams of a small service. A busy service is known by its
/// other members: their mean load is the best guess for each of them.
class LoadExpectation {
 public:
  /// Time in which one upstream's report loses half of its weight against the
  /// mean of the others: work takes some hundreds of milliseconds.
  static constexpr Milliseconds kReportHalfLife{500};
  /// Age of the newest report from which a locality's mean load is not known:
  /// a queue at all of its upstreams takes seconds to come or go.
  static constexpr Milliseconds kKnownFor{3'000};
  /// Time from then on in which that mean loses half of its weight.
  static constexpr Milliseconds kMeanHalfLife{2'000};

  /// \param load Running and waiting calls as a share of the slots.
  void Record(MonoTime now, Locality locality, double load) noexcept;

  /// \param told Load that the upstream told last, `age` ago; unset for never.
  /// \returns The load to expect of it now, as a share of its slots.
  [[nodiscard]] double At(MonoTime now,
                          Locality locality,
                          double told,
                          std::optional<Nanoseconds> age) const noexcept;

  /// \returns Whether an upstream of the locality has told its load lately.
  [[nodiscard]] bool Knows(MonoTime now, Locality locality) const noexcept {
    const Mean& mean = means_.at(static_cast<std::size_t>(locality));
    return mean.at && now - *mean.at < kKnownFor;
  }

 private:
  struct Mean {
    double load = 0.0;
    /// Unset until the first report.
    std::optional<MonoTime> at;
  };

  /// \returns The mean load of one locality; where little was heard of it
  /// lately, it tends to that of the next nearer one.
  [[nodiscard]] double MeanAt(MonoTime now, Locality locality) const noexcept;

  std::array<Mean, kLocalityLevels> means_;
};

}  // namespace cassiabend
