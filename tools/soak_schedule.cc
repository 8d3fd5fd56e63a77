#include "tools/soak_schedule.h"

#include <algorithm>
#include <span>

#include "cassiabend/base/random.h"

namespace cassiabend::soak {
namespace {

constexpr Milliseconds kCalmTime{4'000};
constexpr Milliseconds kStopTime{16'000};
constexpr Milliseconds kMixedTime{14'000};
/// A stopped node is back after the shutdown timeout (5.3 s) and its start.
constexpr Milliseconds kSeriesPause{6'500};
/// Time between stops that overlap.
constexpr Milliseconds kOverlapLeast{300};
constexpr Milliseconds kOverlapMost{2'500};
/// Time between two changes.
constexpr Milliseconds kChangeLeast{1'500};
constexpr Milliseconds kChangeMost{5'000};
/// Time after which a stopped node is back and may be stopped again.
constexpr Milliseconds kStopAgain{11'000};
/// Time in which a node's proxy accepts no connections: from less than the
/// nodes' `http.connect_timeout_ms` (250 ms) to more than twice that.
constexpr Milliseconds kOpenLeast{100};
constexpr Milliseconds kOpenMost{700};
constexpr Milliseconds kPauseLeast{200};
constexpr Milliseconds kPauseMost{3'000};
constexpr Milliseconds kDelayLeast{20};
constexpr Milliseconds kDelayMost{400};
constexpr std::size_t kFaultsLeast = 6;
constexpr std::size_t kFaultsMost = 16;
/// At most one host in this many, but at least one, is stopped at a time.
constexpr std::size_t kAwayDivisor = 3;

/// \returns A random duration from `least` to `most`, both included.
Milliseconds Draw(Random* random, Milliseconds least, Milliseconds most) {
  const auto range = static_cast<std::uint64_t>((most - least).count()) + 1;
  return least + Milliseconds(static_cast<std::int64_t>(random->Below(range)));
}

/// \brief Draws the phases of a schedule one after the other.
class Drawer {
 public:
  explicit Drawer(const ScheduleShape& shape)
      : random_(shape.seed), hosts_(shape.hosts), stopped_at_(shape.hosts) {}

  Phase Draw(PhaseKind kind) {
    using Filler = void (Drawer::*)(Phase*);
    struct Entry {
      PhaseKind kind;
      Milliseconds length;
      Filler fill;
    };
    static constexpr Entry kEntries[] = {
        {PhaseKind::kCalm, kCalmTime, &Drawer::FillCalm},
        {PhaseKind::kSeries, kStopTime, &Drawer::FillSeries},
        {PhaseKind::kOverlap, kStopTime, &Drawer::FillOverlap},
        {PhaseKind::kMixed, kMixedTime, &Drawer::FillMixed},
        {PhaseKind::kRecovery, kRecoveryTime + kRecoveryWatch,
         &Drawer::FillRecovery},
    };
    const Entry& entry = kEntries[static_cast<std::size_t>(kind)];
    Phase phase{.kind = kind, .length = entry.length, .actions = {}};
    std::ranges::fill(stopped_at_, -kStopAgain);
    (this->*entry.fill)(&phase);
    std::ranges::sort(phase.actions);
    return phase;
  }

  PhaseKind NextKind() {
    constexpr std::array<PhaseKind, 5> kKinds{
        PhaseKind::kSeries, PhaseKind::kMixed, PhaseKind::kMixed,
        PhaseKind::kOverlap, PhaseKind::kOverlap};
    return kKinds.at(random_.Below(kKinds.size()));
  }

 private:
  std::size_t DrawHost() { return random_.Below(hosts_); }

  void AddChanges(Phase* phase) {
    for (Milliseconds at = soak::Draw(&random_, kChangeLeast, kChangeMost);
         at < phase->length;
         at += soak::Draw(&random_, kChangeLeast, kChangeMost)) {
      phase->actions.push_back(
          {.at = at, .kind = ActionKind::kChange, .host = DrawHost()});
    }
  }

  /// \brief Adds a stop of a random host, unless that was stopped shortly
  /// before or too many hosts are stopped.
  void AddStop(Milliseconds at, Phase* phase) {
    const std::size_t host = DrawHost();
    const auto away = static_cast<std::size_t>(std::ranges::count_if(
        stopped_at_, [at](Milliseconds it) { return at < it + kSeriesPause; }));
    if (at < stopped_at_.at(host) + kStopAgain ||
        away >= std::max<std::size_t>(hosts_ / kAwayDivisor, 1)) {
      return;
    }
    stopped_at_.at(host) = at;
    phase->actions.push_back(
        {.at = at, .kind = ActionKind::kStopNode, .host = host});
  }

  void AddSlowOpens(Phase* phase) {
    constexpr Milliseconds kPause{50};
    for (std::size_t host = 0; host < hosts_; ++host) {
      for (Milliseconds at = soak::Draw(&random_, kPause, kOpenMost);
           at < phase->length;
           at += soak::Draw(&random_, kOpenLeast, 2 * kOpenMost)) {
        const Milliseconds length = soak::Draw(&random_, kOpenLeast, kOpenMost);
        phase->actions.push_back({.at = at,
                                  .kind = ActionKind::kPeerSlowOpen,
                                  .host = host,
                                  .length = length});
        at += length;
      }
    }
  }

  void FillCalm(Phase* phase) { AddChanges(phase); }

  void FillSeries(Phase* phase) {
    AddChanges(phase);
    for (Milliseconds at{500}; at < phase->length; at += kSeriesPause) {
      AddStop(at, phase);
    }
  }

  void FillOverlap(Phase* phase) {
    AddChanges(phase);
    if (random_.Below(2) == 0) {
      AddSlowOpens(phase);
    }
    for (Milliseconds at{500}; at < phase->length;
         at += soak::Draw(&random_, kOverlapLeast, kOverlapMost)) {
      AddStop(at, phase);
    }
  }

  void FillMixed(Phase* phase) {
    AddChanges(phase);
    const std::size_t faults =
        kFaultsLeast + random_.Below(kFaultsMost - kFaultsLeast + 1);
    constexpr auto kFirst = static_cast<std::uint64_t>(ActionKind::kKillNode);
    for (std::size_t n = 0; n < faults; ++n) {
      const auto kind = static_cast<ActionKind>(
          kFirst + random_.Below(kActionKinds - kFirst));
      const Milliseconds at =
          soak::Draw(&random_, Milliseconds(0), phase->length - kPauseMost);
      phase->actions.push_back(
          {.at = at,
           .kind = kind,
           .host = DrawHost(),
           .length = soak::Draw(&random_, kPauseLeast, kPauseMost),
           .delay = soak::Draw(&random_, kDelayLeast, kDelayMost),
           .proxy_target = static_cast<ProxyTarget>(random_.Below(3))});
    }
    for (Milliseconds at{800}; at < phase->length;
         at += soak::Draw(&random_, kOverlapMost, 2 * kOverlapMost)) {
      AddStop(at, phase);
    }
  }

  void FillRecovery(Phase* /*phase*/) {}

  Random random_;
  std::size_t hosts_;
  std::vector<Milliseconds> stopped_at_;
};

}  // namespace

std::vector<Phase> DrawSchedule(const ScheduleShape& shape) {
  Drawer drawer(shape);
  std::vector<Phase> phases;
  phases.push_back(drawer.Draw(PhaseKind::kCalm));
  while (phases.size() < shape.phases) {
    const PhaseKind kind = drawer.NextKind();
    phases.push_back(drawer.Draw(kind));
    if (kind == PhaseKind::kMixed) {
      phases.push_back(drawer.Draw(PhaseKind::kRecovery));
    }
  }
  return phases;
}

bool IsPlanned(PhaseKind kind) noexcept {
  return kind == PhaseKind::kCalm || kind == PhaseKind::kSeries ||
         kind == PhaseKind::kOverlap;
}

const char* NameOf(PhaseKind kind) noexcept {
  constexpr std::array<const char*, 5> kNames{"calm", "series", "overlap",
                                              "mixed", "recovery"};
  return kNames.at(static_cast<std::size_t>(kind));
}

const char* NameOf(ActionKind kind) noexcept {
  constexpr std::array<const char*, kActionKinds> kNames{
      "stop node",
      "change",
      "slow open",
      "kill node",
      "pause node",
      "restart upstream",
      "pause upstream",
      "pause store",
      "restart store",
      "store down",
      "store slow",
      "store loses answers",
      "store's watches dead",
      "store's connections silent",
      "upstream sheds",
      "upstream silent",
      "upstream breaks answers",
      "upstream unhealthy",
      "link delay",
      "link reset",
      "link cut forward",
      "link cut back",
      "link silent"};
  return kNames.at(static_cast<std::size_t>(kind));
}

const char* NameOf(ProxyTarget proxy_target) noexcept {
  constexpr std::array<const char*, 3> kNames{"node", "upstream", "store"};
  return kNames.at(static_cast<std::size_t>(proxy_target));
}

std::string Describe(const Action& action) {
  std::string text = NameOf(action.kind);
  text += ", host " + std::to_string(action.host);
  if (action.length > Milliseconds(0)) {
    text += ", " + std::to_string(action.length.count()) + " ms";
  }
  if (action.kind >= ActionKind::kLinkDelay) {
    text += ", way to the ";
    text += NameOf(action.proxy_target);
  }
  return text;
}

}  // namespace cassiabend::soak
