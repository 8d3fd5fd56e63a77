#include "cassiabend/core/allotments/allotments.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "cassiabend/base/hash.h"

namespace cassiabend {
namespace {

/// Shortest and longest time between two reports within a zone; and the longest
/// to another zone.
constexpr Milliseconds kUrgentPeriod{100};
constexpr Milliseconds kReportPeriod{250};
constexpr Milliseconds kZoneReportPeriod{1'000};
/// A neighbour counts as cut off from the first time without a report on, and
/// fully from the second on.
constexpr Milliseconds kSilenceBegin{1'100};
constexpr Milliseconds kSilenceEnd{1'600};
/// Time without an answer after which the parent counts as lost.
constexpr Milliseconds kParentPatience{1'000};
/// A child that is silent for so long is forgotten.
constexpr Milliseconds kForgetChildAfter{15'000};
/// A use that is not repeated for so long is forgotten, if its sender is heard.
constexpr Milliseconds kForgetUseAfter{60'000};
/// Time in which a team's calls approach its limit.
constexpr double kApproachSeconds = 1.0;
/// Time in which the rest of the fleet usually learns of a call.
constexpr double kTellingSeconds = 0.6;
/// Part of a team's limit that a cut fleet divides evenly, and not by demand.
constexpr double kEvenShare = 0.1;
/// Most changed and unchanged uses in one report.
constexpr std::size_t kMaxChangedUses = 40;
constexpr std::size_t kMaxRepeatedUses = 12;
/// Changes of use are reported at once if they are more than a part of this
/// share (1/2) of the error that the limit allows, and than these calls.
constexpr double kUrgentShare = 2;
constexpr double kUrgentCalls = 3;
/// A change of demand is told if it is more than this share (1/4) of it.
constexpr std::uint64_t kDemandError = 4;
/// Reports become rarer by a period for each so many teams in use.
constexpr std::size_t kTeamsPerPeriod = 500;
constexpr double kPpm = 1e6;
constexpr double kPer1000s = 1000;
constexpr double kPermille = 1000;

double InSeconds(Nanoseconds time) noexcept {
  return std::chrono::duration<double>(time).count();
}

std::uint64_t TeamHash(std::string_view name) noexcept {
  return Hash64(name, 0);
}

bool IsSame(const TeamUse& a, const TeamUse& b) noexcept {
  const auto [low, high] = std::minmax(a.demand_per_1000s, b.demand_per_1000s);
  return a.admitted == b.admitted && a.held == b.held &&
         high - low <= high / kDemandError;
}

bool IsNone(const TeamUse& it) noexcept {
  return it.admitted == 0 && it.held == 0 && it.demand_per_1000s == 0;
}

}  // namespace

std::string_view NameOf(AllotmentRefusal refusal) noexcept {
  constexpr std::array<std::string_view, kAllotmentRefusals> kNames = {
      "none", "over", "cut", "start", "close"};
  return kNames.at(static_cast<std::size_t>(refusal));
}

Allotments::Use& Allotments::Use::operator+=(const Use& it) noexcept {
  admitted += it.admitted;
  held += it.held;
  demand += it.demand;
  return *this;
}

void Allotments::SetLimits(MonoTime now, const std::vector<Team>& teams) {
  if (!started_at_) {
    started_at_ = now;
  }
  std::unordered_map<std::uint64_t, Limit> limits;
  for (const Team& it : teams) {
    if (it.rate_per_1000s == 0) {
      continue;
    }
    const double rate = static_cast<double>(it.rate_per_1000s) / kPer1000s;
    limits[TeamHash(it.name)] = {it.name, rate,
                                 rate * InSeconds(options_.window) + it.burst};
  }
  if (limits_.empty()) {
    parent_heard_at_ = now;
  }
  limits_ = std::move(limits);
  const auto has_no_limit = [this](const auto& it) {
    return !limits_.contains(it.first);
  };
  std::erase_if(teams_, has_no_limit);
  survey_.clear();
  surveyed_at_ = {};
  std::erase_if(settled_, has_no_limit);
}

void Allotments::SetLinks(MonoTime now, UseLinks links) {
  if (!started_at_) {
    started_at_ = now;
  }
  if (links.parent != links_.parent) {
    // What the former parent told counts until the new one is heard.
    parent_.told.clear();
    parent_heard_at_ = now;
    if (links_.parent) {
      left_.push_back(*links_.parent);
    }
  }
  if (uses_backup_ && links_.backup && links.backup != links_.backup) {
    left_.push_back(*links_.backup);
    uses_backup_ = false;
  }
  std::erase_if(zones_, [&links](const auto& it) {
    return !links.zones.contains(it.first);
  });
  for (const auto& [zone, id] : links.zones) {
    Neighbour& neighbour = zones_[zone];
    const auto it = links_.zones.find(zone);
    if (it == links_.zones.end() || it->second != id) {
      neighbour.told.clear();
      neighbour.told_at = {};
    }
  }
  links_ = std::move(links);
}

double Allotments::UnknownBelow(MonoTime now, const Neighbour* except) const {
  const double age = InSeconds(now - started_at_.value_or(now));
  const double own = std::max(0.0, 1 - age / InSeconds(options_.window)) /
                     std::max(links_.nodes, 1U);
  double sum = own;
  for (const auto& [id, child] : children_) {
    sum += &child == except ? 0 : child.unknown;
  }
  return sum;
}

bool Allotments::HasLostParent(MonoTime now) const {
  return links_.parent && now - parent_heard_at_ > kParentPatience;
}

bool Allotments::SpeaksForZone(MonoTime now) const {
  return !links_.parent ||
         (!links_.backup && !links_.zones.empty() && HasLostParent(now));
}

double Allotments::UnknownElsewhere(MonoTime now) const {
  if (!SpeaksForZone(now)) {
    return parent_.unknown;
  }
  double sum = 0;
  for (const auto& [zone, neighbour] : zones_) {
    sum += neighbour.unknown;
  }
  return sum;
}

double Allotments::Unknown(MonoTime now) const {
  return std::min(1.0, UnknownBelow(now, nullptr) + UnknownElsewhere(now));
}

double Allotments::SilenceOf(MonoTime now, const Neighbour& it) const {
  if (!it.was_heard) {
    return 1;
  }
  return std::clamp(InSeconds(now - it.heard_at - kSilenceBegin) /
                        InSeconds(kSilenceEnd - kSilenceBegin),
                    0.0, 1.0);
}

/// \returns The share of its limit that a team may use at a part of the fleet
/// that had this demand, if the fleet consists of `parts` such parts.
double Allotments::ShareOf(std::uint64_t team,
                           const Limit& limit,
                           double demand,
                           double parts) const {
  const auto it = settled_.find(team);
  const double all = it == settled_.end() ? 0 : it->second.all;
  const double even = kEvenShare * limit.rate;
  return std::min(1.0, (demand + even / parts) / (all + even));
}

Allotments::Use Allotments::UseOf(MonoTime now,
                                  std::uint64_t team,
                                  const Limit& limit,
                                  const Neighbour& it,
                                  double parts) const {
  Use use;
  const auto found = it.uses.find(team);
  if (found != it.uses.end()) {
    use = found->second.use;
  }
  const double silence = SilenceOf(now, it);
  if (silence > 0) {
    const double share =
        it.was_heard ? ShareOf(team, limit, use.demand, parts) : 1 / parts;
    const double most = silence * limit.calls * share;
    use.held = std::max(use.admitted + use.held, most);
    use.admitted = 0;
    use.demand = 0;
  }
  return use;
}

Allotments::Use Allotments::Here(MonoTime now, std::uint64_t team) const {
  const auto it = teams_.find(team);
  if (it == teams_.end()) {
    return {};
  }
  return {static_cast<double>(it->second.admitted.Sum(now)), 0,
          it->second.asked.PerSecond(now)};
}

Allotments::Use Allotments::Below(MonoTime now,
                                  std::uint64_t team,
                                  const Limit& limit,
                                  const Neighbour* except) const {
  Use use = Here(now, team);
  for (const auto& [id, child] : children_) {
    if (&child != except) {
      use += UseOf(now, team, limit, child, links_.nodes);
    }
  }
  return use;
}

Allotments::Use Allotments::Elsewhere(MonoTime now,
                                      std::uint64_t team,
                                      const Limit& limit) const {
  Use use;
  if (SpeaksForZone(now)) {
    const auto parts = static_cast<double>(zones_.size() + 1);
    for (const auto& [zone, neighbour] : zones_) {
      use += UseOf(now, team, limit, neighbour, parts);
    }
    return use;
  }
  const auto found = parent_.uses.find(team);
  if (found != parent_.uses.end()) {
    use = found->second.use;
  }
  const double silence = SilenceOf(now, parent_);
  if (silence > 0) {
    const auto settled = settled_.find(team);
    const double here = settled == settled_.end() ? 0 : settled->second.here;
    const double share = ShareOf(team, limit, here, links_.nodes);
    use.held =
        std::max(use.admitted + use.held, silence * limit.calls * (1 - share));
    use.admitted = 0;
    use.demand = 0;
  }
  return use;
}

bool Allotments::HearsAll(MonoTime now) const {
  const auto is_late = [now](const Neighbour& it) {
    return !it.was_heard || now - it.heard_at > kSilenceBegin;
  };
  if (!SpeaksForZone(now)) {
    return !is_late(parent_);
  }
  return std::ranges::none_of(
      zones_, [&](const auto& it) { return is_late(it.second); });
}

void Allotments::Settle(MonoTime now,
                        std::uint64_t team,
                        const Use& below,
                        const Use& all) {
  if (all.held == 0 && HearsAll(now)) {
    settled_[team] = {Here(now, team).demand, below.demand, all.demand};
  }
}

double Allotments::UntoldSurge(MonoTime now,
                               std::uint64_t team,
                               const Limit& limit) const {
  const auto state = teams_.find(team);
  const auto settled = settled_.find(team);
  if (state == teams_.end()) {
    return 0;
  }
  const double own = settled == settled_.end() ? 0 : settled->second.own;
  // Calls that come to a node for the first time come there alone.
  const double share =
      std::max(ShareOf(team, limit, own, links_.nodes), 1.0 / links_.nodes);
  return state->second.asked.Surge(now) * (1 - share) / share;
}

double Allotments::SlackOf(const Limit& limit) const noexcept {
  return limit.calls * options_.overage_permille / kPermille +
         options_.tolerance;
}

Allotments::TeamState* Allotments::StateOf(MonoTime now,
                                           std::uint64_t team,
                                           Random* random) {
  const auto it = teams_.find(team);
  if (it == teams_.end()) {
    const UseWindow window(options_.window);
    return &teams_
                .emplace(team, TeamState{.asked = window,
                                         .admitted = window,
                                         .counts = {},
                                         .draw = random->NextDouble(),
                                         .drawn_at = now})
                .first->second;
  }
  TeamState* state = &it->second;
  if (now - state->drawn_at >= options_.window) {
    state->draw = random->NextDouble();
    state->drawn_at = now;
  }
  return state;
}

Allotments::Decision Allotments::Admit(MonoTime now,
                                       std::string_view team,
                                       Random* random) {
  const std::uint64_t hash = TeamHash(team);
  const auto found = limits_.find(hash);
  if (found == limits_.end()) {
    return {};
  }
  const Limit& limit = found->second;
  TeamState& state = *StateOf(now, hash, random);
  state.asked.Add(now);
  Use use = Below(now, hash, limit, nullptr);
  use += Elsewhere(now, hash, limit);
  const double window = InSeconds(options_.window);
  const double demand = std::max(use.demand, 1 / window);
  const double others = use.demand - state.asked.PerSecond(now);
  const double unknown = Unknown(now) * limit.rate * window;
  // Errors of the parts of a cut fleet add up, so each may make its share.
  const double slack =
      SlackOf(limit) / 3 * std::max(0.0, 1 - use.held / limit.calls);
  const double held = std::max(0.0, use.held - slack / 2);
  const double room = limit.calls - use.admitted - held - unknown -
                      UntoldSurge(now, hash, limit);
  // Calls leave the window at the mean rate at which they entered it.
  const double pace =
      (use.admitted + unknown) / window + room / kApproachSeconds;
  const bool fits = room > state.draw;
  // What others admit before it is told here is an error that is allowed for.
  const bool is_safe =
      others * kTellingSeconds <= room + slack || pace >= demand;
  if (fits && (is_safe || random->NextDouble() * demand < pace)) {
    state.admitted.Add(now);
    ++state.counts.admitted;
    return {};
  }
  Decision decision{
      .used = use.admitted, .held = held + unknown, .limit = limit.calls};
  if (limit.calls - use.admitted < 1 || demand * window > limit.calls) {
    decision.refusal = AllotmentRefusal::kOver;
  } else if (use.held >= 1) {
    decision.refusal = AllotmentRefusal::kCut;
  } else {
    decision.refusal =
        unknown >= 1 ? AllotmentRefusal::kStart : AllotmentRefusal::kClose;
  }
  ++state.counts.refused.at(static_cast<std::size_t>(decision.refusal));
  const double needed = std::max(1.0, demand * kApproachSeconds) - room;
  const double wait = std::clamp(needed / std::max(pace, limit.rate),
                                 kApproachSeconds / 4, window);
  decision.retry_after =
      Milliseconds(static_cast<std::int64_t>(std::ceil(wait * 1000)));
  return decision;
}

void Allotments::Return(MonoTime now, std::string_view team, MonoTime at) {
  const auto it = teams_.find(TeamHash(team));
  if (it != teams_.end()) {
    it->second.admitted.Remove(now, at);
  }
}

void Allotments::OnReport(MonoTime now,
                          const NodeId& from,
                          const std::string& zone,
                          const UseReport& report,
                          std::vector<SendUseReport>* out) {
  if (!is_active()) {
    return;
  }
  if (report.scope == UseScope::kNone) {
    children_.erase(from);
    return;
  }
  Neighbour* neighbour = &parent_;
  if (report.scope == UseScope::kBelow) {
    neighbour = &children_[from];
  } else if (report.scope == UseScope::kZone) {
    neighbour = &zones_[zone];
  } else if (links_.parent == from) {
    parent_heard_at_ = now;
  } else if (!uses_backup_ || links_.backup != from) {
    return;
  }
  const bool is_new = neighbour->id != from;
  neighbour->id = from;
  neighbour->heard_at = now;
  neighbour->was_heard = true;
  neighbour->unknown = std::min(1.0, report.unknown_ppm / kPpm);
  for (const TeamUse& it : report.uses) {
    if (!limits_.contains(it.team)) {
      continue;
    }
    if (IsNone(it)) {
      neighbour->uses.erase(it.team);
      continue;
    }
    neighbour->uses[it.team] = {
        {static_cast<double>(it.admitted), static_cast<double>(it.held),
         static_cast<double>(it.demand_per_1000s) / kPer1000s},
        now};
  }
  surveyed_at_ = {};
  if (report.scope == UseScope::kBelow) {
    Report(now, from, UseScope::kElsewhere, neighbour, out);
  } else if (report.scope == UseScope::kZone && is_new && SpeaksForZone(now)) {
    neighbour->told.clear();
    Report(now, from, UseScope::kZone, neighbour, out);
  }
}

void Allotments::Tick(MonoTime now, std::vector<SendUseReport>* out) {
  if (!is_active() || now < next_report_at_) {
    return;
  }
  next_report_at_ = now + kUrgentPeriod;
  Forget(now);
  for (const NodeId& it : left_) {
    out->push_back({it, {.scope = UseScope::kNone}});
  }
  left_.clear();
  const std::vector<InUse>& teams = Survey(now);
  next_report_at_ += kUrgentPeriod * (teams.size() / kTeamsPerPeriod);
  if (links_.parent) {
    ReportToParents(now, teams, out);
  }
  for (auto& [id, child] : children_) {
    if (IsUrgent(now, teams, UseScope::kElsewhere, child, 1)) {
      Report(now, id, UseScope::kElsewhere, &child, out);
    }
  }
  if (!SpeaksForZone(now)) {
    return;
  }
  for (const auto& [zone, id] : links_.zones) {
    Neighbour& neighbour = zones_[zone];
    if (IsDue(now, teams, UseScope::kZone, kZoneReportPeriod, neighbour)) {
      // A backup may speak for the zone before the members show it.
      const bool is_heard =
          neighbour.was_heard && SilenceOf(now, neighbour) < 1;
      Report(now, is_heard ? neighbour.id : id, UseScope::kZone, &neighbour,
             out);
    }
  }
}

void Allotments::ReportToParents(MonoTime now,
                                 const std::vector<InUse>& teams,
                                 std::vector<SendUseReport>* out) {
  const bool is_lost = HasLostParent(now);
  if (is_lost != uses_backup_ && links_.backup) {
    uses_backup_ = is_lost;
    parent_.told.clear();
    if (!is_lost) {
      out->push_back({*links_.backup, {.scope = UseScope::kNone}});
    }
  }
  if (!IsDue(now, teams, UseScope::kBelow, kReportPeriod, parent_)) {
    return;
  }
  if (!is_lost) {
    Report(now, *links_.parent, UseScope::kBelow, &parent_, out);
    return;
  }
  // An empty report asks whether the parent is back.
  out->push_back({*links_.parent, {.scope = UseScope::kBelow}});
  parent_.told_at = now;
  if (uses_backup_) {
    Report(now, *links_.backup, UseScope::kBelow, &parent_, out);
  }
}

/// \brief Forgets what is no longer told, and settles the shares of all teams.
void Allotments::Forget(MonoTime now) {
  if (now < next_forget_at_) {
    return;
  }
  next_forget_at_ = now + kZoneReportPeriod;
  std::erase_if(children_, [now](const auto& it) {
    return now - it.second.heard_at > kForgetChildAfter;
  });
  const auto forget_uses = [](Neighbour* it) {
    std::erase_if(it->uses, [it](const auto& use) {
      return it->heard_at - use.second.at > kForgetUseAfter;
    });
  };
  forget_uses(&parent_);
  for (auto& [id, it] : children_) {
    forget_uses(&it);
  }
  for (auto& [zone, it] : zones_) {
    forget_uses(&it);
  }
  for (const InUse& it : Survey(now)) {
    Use all = it.below;
    all += it.elsewhere;
    Settle(now, it.team, it.below, all);
  }
}

std::vector<std::uint64_t> Allotments::TeamsInUse(MonoTime now) const {
  std::vector<std::uint64_t> teams;
  const auto add = [&](const auto& map) {
    for (const auto& it : map) {
      if (limits_.contains(it.first)) {
        teams.push_back(it.first);
      }
    }
  };
  for (const auto& [team, state] : teams_) {
    if (state.asked.Sum(now) > 0) {
      teams.push_back(team);
    }
  }
  add(parent_.uses);
  for (const auto& [id, it] : children_) {
    add(it.uses);
  }
  for (const auto& [zone, it] : zones_) {
    add(it.uses);
  }
  std::ranges::sort(teams);
  teams.erase(std::unique(teams.begin(), teams.end()), teams.end());
  return teams;
}

const std::vector<Allotments::InUse>& Allotments::Survey(MonoTime now) {
  if (now == surveyed_at_) {
    return survey_;
  }
  surveyed_at_ = now;
  survey_.clear();
  for (const std::uint64_t team : TeamsInUse(now)) {
    const Limit& limit = limits_.at(team);
    survey_.push_back(
        {team, Below(now, team, limit, nullptr), Elsewhere(now, team, limit)});
  }
  return survey_;
}

Allotments::Use Allotments::UseFor(MonoTime now,
                                   const InUse& team,
                                   UseScope scope,
                                   const Neighbour& neighbour) const {
  if (scope != UseScope::kElsewhere) {
    return team.below;
  }
  const Use own =
      UseOf(now, team.team, limits_.at(team.team), neighbour, links_.nodes);
  Use use = team.below;
  use.admitted = std::max(0.0, use.admitted - own.admitted);
  use.held = std::max(0.0, use.held - own.held);
  use.demand = std::max(0.0, use.demand - own.demand);
  use += team.elsewhere;
  return use;
}

bool Allotments::IsUrgent(MonoTime now,
                          const std::vector<InUse>& teams,
                          UseScope scope,
                          const Neighbour& neighbour,
                          double parts) const {
  return std::ranges::any_of(teams, [&](const InUse& team) {
    const auto found = neighbour.told.find(team.team);
    const TeamUse told =
        found == neighbour.told.end() ? TeamUse{} : found->second;
    const Use use = UseFor(now, team, scope, neighbour);
    const double demand =
        static_cast<double>(told.demand_per_1000s) / kPer1000s;
    const double change = std::max(std::abs(use.admitted - told.admitted),
                                   std::abs(use.demand - demand));
    const double slack = SlackOf(limits_.at(team.team));
    return change >= std::max(kUrgentCalls, slack / (kUrgentShare * parts));
  });
}

bool Allotments::IsDue(MonoTime now,
                       const std::vector<InUse>& teams,
                       UseScope scope,
                       Milliseconds period,
                       const Neighbour& neighbour) const {
  const double parts = scope == UseScope::kZone
                           ? static_cast<double>(zones_.size() + 1)
                           : links_.nodes;
  // Ticks come a little early or late.
  return now - neighbour.told_at >= period - kUrgentPeriod / 2 ||
         IsUrgent(now, teams, scope, neighbour, parts);
}

void Allotments::Report(MonoTime now,
                        const NodeId& to,
                        UseScope scope,
                        Neighbour* neighbour,
                        std::vector<SendUseReport>* out) {
  UseReport report;
  report.scope = scope;
  const bool is_elsewhere = scope == UseScope::kElsewhere;
  const double unknown = UnknownBelow(now, is_elsewhere ? neighbour : nullptr) +
                         (is_elsewhere ? UnknownElsewhere(now) : 0.0);
  report.unknown_ppm =
      static_cast<std::uint32_t>(std::min(1.0, unknown) * kPpm);
  report.uses = ChooseUses(now, Survey(now), scope, neighbour);
  for (const TeamUse& it : report.uses) {
    if (IsNone(it)) {
      neighbour->told.erase(it.team);
    } else {
      neighbour->told[it.team] = it;
    }
  }
  neighbour->told_at = now;
  out->push_back({to, std::move(report)});
}

/// \brief Chooses the uses that a report states: those that changed most, and
/// some others in turn, as any report may be lost.
std::vector<TeamUse> Allotments::ChooseUses(MonoTime now,
                                            const std::vector<InUse>& teams,
                                            UseScope scope,
                                            Neighbour* neighbour) const {
  std::vector<std::pair<double, TeamUse>> changed;
  std::vector<TeamUse> same;
  for (const auto& [team, told] : neighbour->told) {
    if (!std::ranges::binary_search(teams, team, {}, &InUse::team)) {
      changed.emplace_back(told.admitted, TeamUse{.team = team});
    }
  }
  for (const InUse& team : teams) {
    const Use use = UseFor(now, team, scope, *neighbour);
    const TeamUse next{
        team.team, static_cast<std::uint32_t>(std::lround(use.admitted)),
        static_cast<std::uint32_t>(std::ceil(use.held)),
        static_cast<std::uint64_t>(std::llround(use.demand * kPer1000s))};
    const auto it = neighbour->told.find(team.team);
    const TeamUse told = it == neighbour->told.end() ? TeamUse{} : it->second;
    if (!IsSame(next, told)) {
      const double change =
          std::abs(use.admitted + use.held - told.admitted - told.held) +
          std::abs(use.demand -
                   static_cast<double>(told.demand_per_1000s) / kPer1000s);
      changed.emplace_back(change, next);
    } else if (!IsNone(told)) {
      same.push_back(next);
    }
  }
  if (changed.size() > kMaxChangedUses) {
    std::ranges::nth_element(changed, changed.begin() + kMaxChangedUses,
                             std::greater<>(),
                             [](const auto& it) { return it.first; });
    changed.resize(kMaxChangedUses);
  }
  std::vector<TeamUse> uses;
  uses.reserve(changed.size() + kMaxRepeatedUses);
  for (const auto& [change, use] : changed) {
    uses.push_back(use);
  }
  std::rotate(
      same.begin(),
      std::ranges::upper_bound(same, neighbour->repeated, {}, &TeamUse::team),
      same.end());
  same.resize(std::min(same.size(), kMaxRepeatedUses));
  if (!same.empty()) {
    neighbour->repeated = same.back().team;
  }
  uses.insert(uses.end(), same.begin(), same.end());
  return uses;
}

std::vector<AllotmentCounts> Allotments::Counts(MonoTime now,
                                                std::size_t limit) const {
  std::vector<AllotmentCounts> counts;
  for (const auto& [team, state] : teams_) {
    const Limit& allowed = limits_.at(team);
    Use use = Below(now, team, allowed, nullptr);
    use += Elsewhere(now, team, allowed);
    AllotmentCounts it = state.counts;
    it.team = allowed.name;
    it.used_here = state.admitted.Sum(now);
    it.used = use.admitted;
    it.held = use.held;
    it.limit = allowed.calls;
    counts.push_back(std::move(it));
  }
  std::ranges::sort(counts, std::greater<>(), [](const AllotmentCounts& it) {
    return std::pair(it.used, it.admitted);
  });
  if (counts.size() <= limit) {
    return counts;
  }
  AllotmentCounts others;
  for (std::size_t i = limit; i < counts.size(); ++i) {
    others.admitted += counts[i].admitted;
    others.used_here += counts[i].used_here;
    for (std::size_t k = 0; k < kAllotmentRefusals; ++k) {
      others.refused[k] += counts[i].refused[k];
    }
  }
  counts.resize(limit);
  counts.push_back(std::move(others));
  return counts;
}

}  // namespace cassiabend
