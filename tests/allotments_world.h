#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cassiabend/core/allotments/allotments.h"

namespace cassiabend::testing {

inline constexpr std::size_t kZones = 6;

/// \brief Nodes in zones whose links can be cut, in virtual time.
struct AllotmentFleet {
  std::size_t nodes = 0;
  MonoTime now{Seconds(1'000)};
  Random random{7};
  std::vector<bool> alive;
  /// Nodes with equal numbers reach each other.
  std::vector<int> part;
  std::vector<Team> teams;
  std::uint64_t messages_in_zones = 0;
  std::uint64_t messages_between = 0;

  [[nodiscard]] static std::size_t ZoneOf(std::size_t node) {
    return node % kZones;
  }
  [[nodiscard]] bool Reaches(std::size_t a, std::size_t b) const {
    return alive[a] && alive[b] && part[a] == part[b];
  }
  void Count(std::size_t a, std::size_t b, std::uint64_t n = 1) {
    (ZoneOf(a) == ZoneOf(b) ? messages_in_zones : messages_between) += n;
  }
  [[nodiscard]] double MostOf(const Team& team) const {
    return static_cast<double>(team.rate_per_1000s) / 200 + team.burst;
  }
};

/// \brief A way to limit teams over all nodes.
class AllotmentWay {
 public:
  explicit AllotmentWay(AllotmentFleet* fleet) : fleet_(fleet) {}
  AllotmentWay(const AllotmentWay&) = delete;
  AllotmentWay& operator=(const AllotmentWay&) = delete;
  virtual ~AllotmentWay() = default;

  virtual void OnStart(std::size_t /*node*/) {}
  virtual void OnTeams() {}
  virtual void Step() {}
  [[nodiscard]] virtual bool Admit(std::size_t node, std::size_t team) = 0;

 protected:
  AllotmentFleet* fleet_;
};

/// \brief The product's way: the nodes tell each other of use and demand.
class ToldUse final : public AllotmentWay {
 public:
  explicit ToldUse(AllotmentFleet* fleet) : AllotmentWay(fleet) {
    for (std::size_t i = 0; i < fleet->nodes; ++i) {
      nodes_.push_back(Make());
    }
    OnTeams();
  }

  void OnStart(std::size_t node) override {
    nodes_[node] = Make();
    nodes_[node]->SetLimits(fleet_->now, fleet_->teams);
    Link();
  }
  void OnTeams() override {
    for (const auto& it : nodes_) {
      it->SetLimits(fleet_->now, fleet_->teams);
    }
  }
  void Step() override {
    for (; !sent_.empty() && sent_.front().due <= fleet_->now;
         sent_.pop_front()) {
      const Sent& it = sent_.front();
      if (fleet_->Reaches(it.from, it.to) && fleet_->random.Below(50) != 0) {
        std::vector<SendUseReport> out;
        nodes_[it.to]->OnReport(fleet_->now, IdOf(it.from), ZoneName(it.from),
                                it.report, &out);
        Post(it.to, std::move(out));
      }
    }
    // The view of the members follows their state after a second.
    if ((fleet_->now.time_since_epoch() / Milliseconds(10)) % 100 == 0) {
      Link();
    }
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (fleet_->alive[i] &&
          (fleet_->now.time_since_epoch() / Milliseconds(10) + i) % 2 == 0) {
        std::vector<SendUseReport> out;
        nodes_[i]->Tick(fleet_->now, &out);
        Post(i, std::move(out));
      }
    }
  }
  bool Admit(std::size_t node, std::size_t team) override {
    return nodes_[node]
               ->Admit(fleet_->now, fleet_->teams[team].name, &fleet_->random)
               .refusal == AllotmentRefusal::kNone;
  }

 private:
  struct Sent {
    MonoTime due;
    std::size_t from;
    std::size_t to;
    UseReport report;
  };

  std::unique_ptr<Allotments> Make() {
    return std::make_unique<Allotments>(
        AllotmentOptions{Milliseconds(5'000), 100, 20});
  }
  static NodeId IdOf(std::size_t node) {
    return {"n", static_cast<std::uint16_t>(node + 1)};
  }
  static std::string ZoneName(std::size_t node) {
    return std::to_string(AllotmentFleet::ZoneOf(node));
  }
  void Link() {
    constexpr std::size_t kFanOut = 16;
    std::map<std::string, std::vector<std::size_t>> zones;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (fleet_->alive[i]) {
        zones[ZoneName(i)].push_back(i);
      }
    }
    for (const auto& [zone, members] : zones) {
      for (std::size_t i = 0; i < members.size(); ++i) {
        UseLinks links;
        links.nodes = static_cast<std::uint32_t>(nodes_.size());
        if (i > 0) {
          const std::size_t parent = (i - 1) / kFanOut;
          links.parent = IdOf(members[parent]);
          if (i > 1) {
            links.backup = IdOf(members[parent == 0 ? 1 : 0]);
          }
        }
        if (i < 2) {
          for (const auto& [other, others] : zones) {
            if (other != zone) {
              links.zones[other] = IdOf(others.front());
            }
          }
        }
        nodes_[members[i]]->SetLinks(fleet_->now, std::move(links));
      }
    }
  }
  void Post(std::size_t from, std::vector<SendUseReport> out) {
    for (SendUseReport& it : out) {
      const std::size_t to = it.to.peer_port - 1U;
      fleet_->Count(from, to);
      const bool is_near =
          AllotmentFleet::ZoneOf(from) == AllotmentFleet::ZoneOf(to);
      const MonoTime due = fleet_->now + Milliseconds(is_near ? 10 : 20);
      const auto place = std::ranges::upper_bound(sent_, due, {}, &Sent::due);
      sent_.insert(place, {due, from, to, std::move(it.report)});
    }
  }

  std::vector<std::unique_ptr<Allotments>> nodes_;
  std::deque<Sent> sent_;
};

/// \brief Weighed: one home node a team hands out leases of its calls. Who is
/// home follows the reachable nodes after 4 s; a new home knows no past.
class HomeLeases final : public AllotmentWay {
 public:
  explicit HomeLeases(AllotmentFleet* fleet)
      : AllotmentWay(fleet), leases_(fleet->nodes) {
    OnTeams();
  }
  void OnTeams() override { homes_.resize(fleet_->teams.size()); }
  void OnStart(std::size_t node) override { leases_[node].clear(); }
  bool Admit(std::size_t node, std::size_t team) override {
    Lease& lease = leases_[node][team];
    if (lease.calls > 0 && fleet_->now < lease.until) {
      --lease.calls;
      return true;
    }
    Home& home = homes_[team][fleet_->part[node]];
    if (!fleet_->Reaches(node, home.node)) {
      home.lost_at = home.lost_at == MonoTime{} ? fleet_->now : home.lost_at;
      if (fleet_->now - home.lost_at < Seconds(4)) {
        return false;
      }
      home = {};
      home.since = fleet_->now;
      while (!fleet_->Reaches(node, home.node)) {
        home.node = fleet_->random.Below(fleet_->nodes);
      }
    }
    home.lost_at = {};
    fleet_->Count(node, home.node, 2);
    double reachable = 0;
    for (std::size_t i = 0; i < fleet_->nodes; ++i) {
      reachable += fleet_->part[i] == fleet_->part[node] ? 1 : 0;
    }
    const Team& it = fleet_->teams[team];
    const double most =
        fleet_->MostOf(it) * reachable / static_cast<double>(fleet_->nodes);
    while (!home.granted.empty() &&
           home.granted.front().first + Seconds(5) <= fleet_->now) {
      home.used -= home.granted.front().second;
      home.granted.pop_front();
    }
    const double past = most * std::max(0.0, 1 - Age(home.since) / 5);
    const double batch =
        std::max(1.0, std::floor(static_cast<double>(it.rate_per_1000s) /
                                 4'000 / static_cast<double>(fleet_->nodes)));
    if (home.used + past + batch > most) {
      return false;
    }
    home.used += batch;
    home.granted.emplace_back(fleet_->now, batch);
    lease = {batch - 1, fleet_->now + Seconds(1)};
    return true;
  }

 private:
  struct Lease {
    double calls = 0;
    MonoTime until{};
  };
  struct Home {
    std::size_t node = 0;
    MonoTime since{};
    MonoTime lost_at{};
    std::deque<std::pair<MonoTime, double>> granted;
    double used = 0;
  };
  [[nodiscard]] double Age(MonoTime since) const {
    return std::chrono::duration<double>(fleet_->now - since).count();
  }
  /// Homes by team and part of the fleet.
  std::vector<std::map<int, Home>> homes_;
  std::vector<std::map<std::size_t, Lease>> leases_;
};

/// \brief Weighed: equal parts; a node that lacks calls borrows from three
/// others of its zone.
class EqualParts final : public AllotmentWay {
 public:
  explicit EqualParts(AllotmentFleet* fleet)
      : AllotmentWay(fleet), buckets_(fleet->nodes) {}
  void OnStart(std::size_t node) override { buckets_[node].clear(); }
  bool Admit(std::size_t node, std::size_t team) override {
    double have = Fill(node, team);
    std::vector<std::size_t> lenders{node};
    for (int i = 0; have < 1 && i < 3; ++i) {
      const std::size_t other =
          (node + kZones * (1 + fleet_->random.Below(fleet_->nodes / kZones))) %
          fleet_->nodes;
      if (!fleet_->Reaches(node, other) || std::ranges::count(lenders, other)) {
        continue;
      }
      fleet_->Count(node, other, 2);
      have += Fill(other, team);
      lenders.push_back(other);
    }
    double needed = have < 1 ? 0 : 1;
    for (const std::size_t it : lenders) {
      const double taken = std::min(needed, buckets_[it][team].calls);
      buckets_[it][team].calls -= taken;
      needed -= taken;
    }
    return have >= 1;
  }

 private:
  struct Bucket {
    double calls = 0;
    MonoTime filled_at{};
  };
  double Fill(std::size_t node, std::size_t team) {
    const Team& it = fleet_->teams[team];
    const auto n = static_cast<double>(fleet_->nodes);
    const double most = (it.burst + (fleet_->MostOf(it) * 0.1 + 20) / 2) / n;
    Bucket& bucket = buckets_[node][team];
    const double age =
        bucket.filled_at == MonoTime{}
            ? 0
            : std::chrono::duration<double>(fleet_->now - bucket.filled_at)
                  .count();
    bucket.calls = std::min(
        most,
        bucket.calls + age * static_cast<double>(it.rate_per_1000s) / 1000 / n);
    bucket.filled_at = fleet_->now;
    return bucket.calls;
  }

  std::vector<std::map<std::size_t, Bucket>> buckets_;
};

/// \brief What a pattern does to the fleet and to the demand.
struct AllotmentPattern {
  const char* name;
  /// Called at each step of 10 ms, with the time since the start.
  std::function<void(double, AllotmentFleet*, AllotmentWay*)> disturb;
  /// \returns The factor on the usual demand of a team at a zone.
  std::function<double(double, std::size_t, std::size_t)> demand;
  /// Most calls within the limits that may be refused, in hundredths.
  double most_lost_percent = 3;
};

/// \brief What a pattern brought.
struct AllotmentResult {
  /// Calls within the limit that were refused, in hundredths of all such; and
  /// for the worst team that sent at least 30.
  double lost_percent = 0;
  double worst_lost_percent = 0;
  /// The most calls of a team in a window, in hundredths of the bound.
  double most_percent = 0;
  double messages_in_zones = 0;
  double messages_between = 0;
};

/// \brief Plays 40 s of calls of 73 teams, of very different size, whose limits
/// are 1.6 times what they usually send.
template <typename Way>
AllotmentResult PlayAllotments(std::size_t nodes,
                               const AllotmentPattern& pattern,
                               std::uint64_t seed,
                               std::uint32_t burst = 0) {
  constexpr std::size_t kTeams = 73;
  constexpr double kStep = 0.01;
  constexpr double kEnd = 40;
  AllotmentFleet fleet;
  fleet.nodes = nodes;
  fleet.random = Random(seed);
  fleet.alive.assign(nodes, true);
  fleet.part.assign(nodes, 0);
  std::vector<double> usual;
  double sum = 0;
  for (std::size_t i = 0; i < kTeams; ++i) {
    sum += std::pow(i + 1, -1.2);
  }
  for (std::size_t i = 0; i < kTeams; ++i) {
    usual.push_back(11.0 * static_cast<double>(nodes) * std::pow(i + 1, -1.2) /
                    sum);
    Team team;
    team.name = "team-" + std::to_string(i);
    team.rate_per_1000s = static_cast<std::uint64_t>(usual.back() * 1'600);
    team.burst = burst;
    fleet.teams.push_back(team);
  }
  Way way(&fleet);
  // Calls of the last window and the most of them, by team.
  std::vector<std::deque<MonoTime>> admitted(kTeams);
  std::vector<std::deque<MonoTime>> asked(kTeams);
  std::vector<std::uint64_t> owed(kTeams);
  std::vector<std::uint64_t> lost(kTeams);
  AllotmentResult result;
  std::vector<MonoTime> lowered_at(kTeams);
  std::vector<std::uint64_t> rates;
  for (const Team& it : fleet.teams) {
    rates.push_back(it.rate_per_1000s);
  }
  for (double at = -10; at < kEnd; at += kStep) {
    fleet.now += Milliseconds(10);
    pattern.disturb(at, &fleet, &way);
    way.Step();
    for (std::size_t team = 0; at >= 0 && team < kTeams; ++team) {
      const Team& limits = fleet.teams[team];
      if (limits.rate_per_1000s != rates[team]) {
        rates[team] = limits.rate_per_1000s;
        lowered_at[team] = fleet.now;
      }
      const auto drop_old = [&](std::deque<MonoTime>* calls) {
        while (!calls->empty() && calls->front() + Seconds(5) <= fleet.now) {
          calls->pop_front();
        }
      };
      for (std::size_t zone = 0; zone < kZones; ++zone) {
        double mean =
            usual[team] * kStep / kZones * pattern.demand(at, team, zone);
        for (mean -= -std::log(1 - fleet.random.NextDouble()); mean > 0;
             mean -= -std::log(1 - fleet.random.NextDouble())) {
          std::size_t node = 0;
          int tries = 0;
          do {
            node = zone + kZones * fleet.random.Below(nodes / kZones);
          } while (!fleet.alive[node] && ++tries < 50);
          if (!fleet.alive[node]) {
            continue;
          }
          drop_old(&asked[team]);
          drop_old(&admitted[team]);
          asked[team].push_back(fleet.now);
          const bool is_owed =
              static_cast<double>(asked[team].size()) <= fleet.MostOf(limits);
          owed[team] += is_owed ? 1 : 0;
          if (!way.Admit(node, team)) {
            lost[team] += is_owed ? 1 : 0;
            continue;
          }
          admitted[team].push_back(fleet.now);
          if (lowered_at[team] != MonoTime{} &&
              fleet.now - lowered_at[team] < Seconds(8)) {
            continue;
          }
          const double bound = fleet.MostOf(limits) * 1.1 + 20;
          result.most_percent = std::max(
              result.most_percent,
              100 * static_cast<double>(admitted[team].size()) / bound);
        }
      }
    }
  }
  double all_owed = 0;
  double all_lost = 0;
  for (std::size_t team = 0; team < kTeams; ++team) {
    all_owed += static_cast<double>(owed[team]);
    all_lost += static_cast<double>(lost[team]);
    if (owed[team] >= 30) {
      result.worst_lost_percent = std::max(
          result.worst_lost_percent, 100 * static_cast<double>(lost[team]) /
                                         static_cast<double>(owed[team]));
    }
  }
  result.lost_percent = 100 * all_lost / all_owed;
  result.messages_in_zones =
      static_cast<double>(fleet.messages_in_zones) / (kEnd + 10);
  result.messages_between =
      static_cast<double>(fleet.messages_between) / (kEnd + 10);
  return result;
}

}  // namespace cassiabend::testing
