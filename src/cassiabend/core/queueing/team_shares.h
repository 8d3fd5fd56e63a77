#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "cassiabend/base/time.h"

namespace cassiabend {

/// \brief Divides an upstream's time among the teams that wait for it, in
/// proportion to their weights (start-time fair queueing).
///
/// Load pattern: one team sends many times its usual, or repeats what was
/// refused, and fills the queue. It gets its own share and what the others
/// leave; a team that has waited for nothing has saved up nothing. Among teams
/// that are level within one run, `is_due` holds for all, and their priorities
/// may decide.
class TeamShares {
 public:
  /// \brief The team begins to wait. It counts as having used what the waiting
  /// team that had used least had used when it was served last.
  void Enter(const std::string& team);
  /// \brief Counts a run of `cost` that the team was given.
  /// \param least What the waiting team that has used least has used.
  void Charge(const std::string& team,
              std::uint64_t weight,
              Nanoseconds cost,
              double least);
  /// \brief Takes back what was counted for a run that was not made.
  void Refund(const std::string& team, std::uint64_t weight, Nanoseconds cost);
  /// \returns The team's share of time so far, in nanoseconds of weight 1: the
  /// waiting team with the lowest is the next one.
  [[nodiscard]] double UsedBy(const std::string& team) const;
  /// \returns Whether a team with `used` may be next although another has only
  /// `least`: it is ahead by less than one run.
  [[nodiscard]] static bool IsDue(double used,
                                  double least,
                                  std::uint64_t weight,
                                  Nanoseconds cost) noexcept {
    return used <= least || used - least < PartOf(weight, cost);
  }

 private:
  [[nodiscard]] static double PartOf(std::uint64_t weight,
                                     Nanoseconds cost) noexcept {
    return static_cast<double>(cost.count()) /
           static_cast<double>(weight > 0 ? weight : 1);
  }

  /// What a team that begins to wait has used at least.
  double floor_ = 0;
  std::unordered_map<std::string, double> used_;
};

}  // namespace cassiabend
