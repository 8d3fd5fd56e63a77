#include "tools/soak_schedule.h"

#include <algorithm>
#include <span>

#include "cassiabend/base/random.h"

namespace cassiabend::soak {
namespace {

constexpr Milliseconds kCalmPhaseTime{4'000};
constexpr Milliseconds kStopPhaseTime{16'000};
constexpr Milliseconds kMixedPhaseTime{14'000};
/// A stopped node is back after the shutdown timeout (5.3 s) and its start.
constexpr Milliseconds kStopDuration{6'500};
/// Time between stops that overlap.
constexpr Milliseconds kMinStopInterval{300};
constexpr Milliseconds kMaxStopInterval{2'500};
/// Time between two changes.
constexpr Milliseconds kMinChangeInterval{1'500};
constexpr Milliseconds kMaxChangeInterval{5'000};
/// Time after which a stopped node is back and may be stopped again.
constexpr Milliseconds kStopCooldown{11'000};
/// Time in which a node's proxy accepts no connections: from less than the
/// nodes' `http.connect_timeout_ms` (250 ms) to more than twice that.
constexpr Milliseconds kMinSlowOpen{100};
constexpr Milliseconds kMaxSlowOpen{700};
constexpr Milliseconds kMinFaultLength{200};
constexpr Milliseconds kMaxFaultLength{3'000};
constexpr Milliseconds kMinDelay{20};
constexpr Milliseconds kMaxDelay{400};
constexpr std::size_t kMinFaults = 6;
constexpr std::size_t kMaxFaults = 16;
/// At most one host in this many, but at least one, is stopped at a time.
constexpr std::size_t kStoppedHostsDivisor = 3;

/// \returns A random duration from `shortest` to `longest`, both included.
Milliseconds DrawDuration(Random* random,
                          Milliseconds shortest,
                          Milliseconds longest) {
  const auto range =
      static_cast<std::uint64_t>((longest - shortest).count()) + 1;
  return shortest +
         Milliseconds(static_cast<std::int64_t>(random->Below(range)));
}

/// \brief Draws the phases of a schedule one after the other.
class ScheduleGenerator {
 public:
  explicit ScheduleGenerator(const ScheduleShape& shape)
      : random_(shape.seed), hosts_(shape.hosts), stopped_at_(shape.hosts) {}

  Phase GeneratePhase(PhaseKind kind) {
    using FillFunction = void (ScheduleGenerator::*)(Phase*);
    struct Entry {
      PhaseKind kind;
      Milliseconds length;
      FillFunction fill;
    };
    static constexpr Entry kEntries[] = {
        {PhaseKind::kCalm, kCalmPhaseTime, &ScheduleGenerator::FillCalm},
        {PhaseKind::kSeries, kStopPhaseTime, &ScheduleGenerator::FillSeries},
        {PhaseKind::kOverlap, kStopPhaseTime, &ScheduleGenerator::FillOverlap},
        {PhaseKind::kMixed, kMixedPhaseTime, &ScheduleGenerator::FillMixed},
        {PhaseKind::kRecovery, kRecoveryTime + kRecoveryCheckTime,
         &ScheduleGenerator::FillRecovery},
    };
    const Entry& entry = kEntries[static_cast<std::size_t>(kind)];
    Phase phase{.kind = kind, .length = entry.length, .actions = {}};
    std::ranges::fill(stopped_at_, -kStopCooldown);
    (this->*entry.fill)(&phase);
    std::ranges::sort(phase.actions);
    return phase;
  }

  PhaseKind DrawPhaseKind() {
    constexpr std::array<PhaseKind, 5> kKinds{
        PhaseKind::kSeries, PhaseKind::kMixed, PhaseKind::kMixed,
        PhaseKind::kOverlap, PhaseKind::kOverlap};
    return kKinds.at(random_.Below(kKinds.size()));
  }

 private:
  std::size_t DrawHost() { return random_.Below(hosts_); }

  void AddChanges(Phase* phase) {
    for (Milliseconds at =
             DrawDuration(&random_, kMinChangeInterval, kMaxChangeInterval);
         at < phase->length;
         at += DrawDuration(&random_, kMinChangeInterval, kMaxChangeInterval)) {
      phase->actions.push_back(
          {.at = at, .kind = ActionKind::kChange, .host = DrawHost()});
    }
  }

  /// \brief Adds a stop of a random host, unless that was stopped shortly
  /// before or too many hosts are stopped.
  void AddStop(Milliseconds at, Phase* phase) {
    const std::size_t host = DrawHost();
    const auto stopped = static_cast<std::size_t>(std::ranges::count_if(
        stopped_at_,
        [at](Milliseconds it) { return at < it + kStopDuration; }));
    if (at < stopped_at_.at(host) + kStopCooldown ||
        stopped >= std::max<std::size_t>(hosts_ / kStoppedHostsDivisor, 1)) {
      return;
    }
    stopped_at_.at(host) = at;
    phase->actions.push_back(
        {.at = at, .kind = ActionKind::kStopNode, .host = host});
  }

  void AddSlowOpens(Phase* phase) {
    constexpr Milliseconds kPause{50};
    for (std::size_t host = 0; host < hosts_; ++host) {
      for (Milliseconds at = DrawDuration(&random_, kPause, kMaxSlowOpen);
           at < phase->length;
           at += DrawDuration(&random_, kMinSlowOpen, 2 * kMaxSlowOpen)) {
        const Milliseconds length =
            DrawDuration(&random_, kMinSlowOpen, kMaxSlowOpen);
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
    for (Milliseconds at{500}; at < phase->length; at += kStopDuration) {
      AddStop(at, phase);
    }
  }

  void FillOverlap(Phase* phase) {
    AddChanges(phase);
    if (random_.Below(2) == 0) {
      AddSlowOpens(phase);
    }
    for (Milliseconds at{500}; at < phase->length;
         at += DrawDuration(&random_, kMinStopInterval, kMaxStopInterval)) {
      AddStop(at, phase);
    }
  }

  void FillMixed(Phase* phase) {
    AddChanges(phase);
    const std::size_t faults =
        kMinFaults + random_.Below(kMaxFaults - kMinFaults + 1);
    constexpr auto kFirst = static_cast<std::uint64_t>(ActionKind::kKillNode);
    for (std::size_t n = 0; n < faults; ++n) {
      const auto kind = static_cast<ActionKind>(
          kFirst + random_.Below(kActionKinds - kFirst));
      const Milliseconds at = DrawDuration(&random_, Milliseconds(0),
                                           phase->length - kMaxFaultLength);
      phase->actions.push_back(
          {.at = at,
           .kind = kind,
           .host = DrawHost(),
           .length = DrawDuration(&random_, kMinFaultLength, kMaxFaultLength),
           .delay = DrawDuration(&random_, kMinDelay, kMaxDelay),
           .proxy_target = static_cast<ProxyTarget>(random_.Below(3))});
    }
    for (Milliseconds at{800}; at < phase->length;
         at += DrawDuration(&random_, kMaxStopInterval, 2 * kMaxStopInterval)) {
      AddStop(at, phase);
    }
  }

  void FillRecovery(Phase* /*phase*/) {}

  Random random_;
  std::size_t hosts_;
  std::vector<Milliseconds> stopped_at_;
};

}  // namespace

std::vector<Phase> GenerateSchedule(const ScheduleShape& shape) {
  ScheduleGenerator generator(shape);
  std::vector<Phase> phases;
  phases.push_back(generator.GeneratePhase(PhaseKind::kCalm));
  while (phases.size() < shape.phases) {
    const PhaseKind kind = generator.DrawPhaseKind();
    phases.push_back(generator.GeneratePhase(kind));
    if (kind == PhaseKind::kMixed) {
      phases.push_back(generator.GeneratePhase(PhaseKind::kRecovery));
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
