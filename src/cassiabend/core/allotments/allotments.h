#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cassiabend/base/random.h"
#include "cassiabend/core/allotments/team_use.h"
#include "cassiabend/core/allotments/use_window.h"
#include "cassiabend/core/fleet_events.h"
#include "cassiabend/core/options.h"
#include "cassiabend/model/snapshot.h"

namespace cassiabend {

/// \brief Why a call was refused for its team's allotment.
enum class AllotmentRefusal : std::uint8_t {
  kNone,
  /// The team's calls are beyond its allotment.
  kOver,
  /// Nodes that are not heard may have used what is left.
  kCut,
  /// Nodes that have just started may have used what is left before.
  kStart,
  /// The team's calls are below its allotment, but too close to it.
  kClose,
};
inline constexpr std::size_t kAllotmentRefusals = 5;
/// \returns The stable name of a refusal, for logs and metrics.
[[nodiscard]] std::string_view NameOf(AllotmentRefusal refusal) noexcept;

/// \brief What a team's calls met at this node, for metrics.
struct AllotmentCounts {
  std::string team;
  std::uint64_t admitted = 0;
  /// Refused calls by `AllotmentRefusal`.
  std::array<std::uint64_t, kAllotmentRefusals> refused{};
  /// Calls in the window: at this node, at all nodes that are heard, held for
  /// those that are not, and the most allowed; see docs/design/allotments.md.
  std::uint32_t used_here = 0;
  double used = 0;
  double held = 0;
  double limit = 0;
};

/// \brief Settings of `Allotments`; see `CallOptions`.
struct AllotmentOptions {
  Milliseconds window{5'000};
  std::uint32_t overage_permille = 0;
  std::uint32_t tolerance = 0;
};

/// \brief Limits each team's calls over all nodes, from what the nodes tell
/// each other of their use. Decides only; its owner carries the reports.
class Allotments {
 public:
  /// \brief Outcome of one call.
  struct Decision {
    AllotmentRefusal refusal = AllotmentRefusal::kNone;
    /// Time after which a retry may succeed; 0 if admitted.
    Milliseconds retry_after{0};
    /// Of a refusal: calls in the window at the nodes that are heard, calls
    /// held for the others, and the most allowed.
    double used = 0;
    double held = 0;
    double limit = 0;
  };

  explicit Allotments(const AllotmentOptions& options) : options_(options) {}

  /// \returns Whether any team has a limit.
  [[nodiscard]] bool is_active() const noexcept { return !limits_.empty(); }
  void SetLimits(MonoTime now, const std::vector<Team>& teams);
  void SetLinks(MonoTime now, UseLinks links);

  /// \brief Decides on a call of `team`, and counts it if it is admitted.
  [[nodiscard]] Decision Admit(MonoTime now,
                               std::string_view team,
                               Random* random);
  /// \brief Takes back a call admitted at `at` that reached no upstream.
  void Return(MonoTime now, std::string_view team, MonoTime at);

  void OnReport(MonoTime now,
                const NodeId& from,
                const std::string& zone,
                const UseReport& report,
                std::vector<SendUseReport>* out);
  /// \brief Sends the reports that are due.
  void Tick(MonoTime now, std::vector<SendUseReport>* out);

  /// \returns The counts of the `limit` busiest teams, then those of the others
  /// together under the empty name.
  [[nodiscard]] std::vector<AllotmentCounts> Counts(MonoTime now,
                                                    std::size_t limit) const;

 private:
  struct Limit {
    std::string name;
    /// Calls per second, and most calls in a window.
    double rate = 0;
    double calls = 0;
  };
  struct Use {
    double admitted = 0;
    double held = 0;
    /// Calls per second.
    double demand = 0;

    Use& operator+=(const Use& it) noexcept;
  };
  /// \brief A team's use at this node and those below it, and elsewhere.
  struct InUse {
    std::uint64_t team = 0;
    Use below;
    Use elsewhere;
  };
  struct Received {
    Use use;
    MonoTime at{};
  };
  /// \brief Another node, or the zone that it speaks for.
  struct Neighbour {
    /// Node that spoke last.
    NodeId id;
    MonoTime heard_at{};
    /// Whether it was heard since it became a neighbour.
    bool was_heard = false;
    double unknown = 0;
    std::unordered_map<std::uint64_t, Received> uses;
    /// What it was told last, and when.
    std::unordered_map<std::uint64_t, TeamUse> told;
    MonoTime told_at{};
    /// Team up to which unchanged uses were repeated.
    std::uint64_t repeated = 0;
  };
  struct TeamState {
    UseWindow asked;
    UseWindow admitted;
    AllotmentCounts counts;
    /// Random number in [0, 1) that decides for one window whether a part of a
    /// call fits.
    double draw = 0;
    MonoTime drawn_at{};
  };
  /// \brief A team's demand when all neighbours were last heard, by which a cut
  /// fleet divides the limit.
  struct Settled {
    double own = 0;
    double here = 0;
    double all = 0;
  };

  /// \returns Whether the parent has not answered for a while.
  [[nodiscard]] bool HasLostParent(MonoTime now) const;
  [[nodiscard]] bool SpeaksForZone(MonoTime now) const;
  void ReportToParents(MonoTime now,
                       const std::vector<InUse>& teams,
                       std::vector<SendUseReport>* out);
  /// \returns Calls that the rest of the fleet is likely to have admitted and
  /// not told yet, if a team's calls surge there as they do here.
  [[nodiscard]] double UntoldSurge(MonoTime now,
                                   std::uint64_t team,
                                   const Limit& limit) const;
  [[nodiscard]] double Unknown(MonoTime now) const;
  [[nodiscard]] double UnknownBelow(MonoTime now,
                                    const Neighbour* except) const;
  [[nodiscard]] double UnknownElsewhere(MonoTime now) const;
  /// \returns How far a neighbour counts as cut off, from 0 to 1.
  [[nodiscard]] double SilenceOf(MonoTime now, const Neighbour& it) const;
  [[nodiscard]] double ShareOf(std::uint64_t team,
                               const Limit& limit,
                               double demand,
                               double parts) const;
  [[nodiscard]] Use UseOf(MonoTime now,
                          std::uint64_t team,
                          const Limit& limit,
                          const Neighbour& it,
                          double parts) const;
  [[nodiscard]] Use Here(MonoTime now, std::uint64_t team) const;
  [[nodiscard]] Use Below(MonoTime now,
                          std::uint64_t team,
                          const Limit& limit,
                          const Neighbour* except) const;
  [[nodiscard]] Use Elsewhere(MonoTime now,
                              std::uint64_t team,
                              const Limit& limit) const;
  void Settle(MonoTime now,
              std::uint64_t team,
              const Use& below,
              const Use& all);
  [[nodiscard]] bool HearsAll(MonoTime now) const;
  [[nodiscard]] std::vector<std::uint64_t> TeamsInUse(MonoTime now) const;
  /// \returns The teams in use, ordered by their hash.
  [[nodiscard]] const std::vector<InUse>& Survey(MonoTime now);
  /// \returns Whether a team's use or demand differs from what a neighbour was
  /// told by a part of the error that its limit allows.
  /// \param parts Number of parts that may err together.
  [[nodiscard]] bool IsUrgent(MonoTime now,
                              const std::vector<InUse>& teams,
                              UseScope scope,
                              const Neighbour& neighbour,
                              double parts) const;
  [[nodiscard]] bool IsDue(MonoTime now,
                           const std::vector<InUse>& teams,
                           UseScope scope,
                           Milliseconds period,
                           const Neighbour& neighbour) const;
  void Report(MonoTime now,
              const NodeId& to,
              UseScope scope,
              Neighbour* neighbour,
              std::vector<SendUseReport>* out);
  /// \returns What a neighbour is told of a team.
  [[nodiscard]] Use UseFor(MonoTime now,
                           const InUse& team,
                           UseScope scope,
                           const Neighbour& neighbour) const;
  /// \returns Calls beyond the limit that the platform tolerates.
  [[nodiscard]] double SlackOf(const Limit& limit) const noexcept;
  [[nodiscard]] std::vector<TeamUse> ChooseUses(MonoTime now,
                                                const std::vector<InUse>& teams,
                                                UseScope scope,
                                                Neighbour* neighbour) const;
  TeamState* StateOf(MonoTime now, std::uint64_t team, Random* random);
  void Forget(MonoTime now);

  AllotmentOptions options_;
  std::unordered_map<std::uint64_t, Limit> limits_;
  std::unordered_map<std::uint64_t, TeamState> teams_;
  std::unordered_map<std::uint64_t, Settled> settled_;
  UseLinks links_;
  /// Nodes that must be told that this one no longer reports to them.
  std::vector<NodeId> left_;
  MonoTime parent_heard_at_{};
  /// Whether the backup stands in for the parent.
  bool uses_backup_ = false;
  Neighbour parent_;
  std::map<NodeId, Neighbour> children_;
  std::map<std::string, Neighbour> zones_;
  std::optional<MonoTime> started_at_;
  std::vector<InUse> survey_;
  MonoTime surveyed_at_{};
  MonoTime next_report_at_{};
  MonoTime next_forget_at_{};
};

}  // namespace cassiabend
