#include "tools/soak_schedule.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

namespace cassiabend::soak {
namespace {

constexpr std::uint64_t kSeeds = 200;

ScheduleShape ShapeOf(std::uint64_t seed) {
  return {.seed = seed, .hosts = 9, .phases = 6};
}

TEST_CASE("equal seeds give equal schedules, different seeds different ones") {
  CHECK(GenerateSchedule(ShapeOf(7)) == GenerateSchedule(ShapeOf(7)));
  CHECK(GenerateSchedule(ShapeOf(7)) != GenerateSchedule(ShapeOf(8)));
}

TEST_CASE("phases contain the actions that their kind allows") {
  std::set<ActionKind> kinds;
  std::set<PhaseKind> phases;
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    const std::vector<Phase> schedule = GenerateSchedule(ShapeOf(seed));
    CHECK(schedule.size() >= 6);
    CHECK(schedule.front().kind == PhaseKind::kCalm);
    for (std::size_t n = 0; n < schedule.size(); ++n) {
      const Phase& phase = schedule.at(n);
      phases.insert(phase.kind);
      CHECK(std::ranges::is_sorted(phase.actions));
      for (const Action& it : phase.actions) {
        kinds.insert(it.kind);
        CHECK(it.host < 9);
        CHECK(it.at >= Milliseconds(0));
        CHECK(it.at < phase.length);
        if (IsPlanned(phase.kind)) {
          CHECK(it.kind <= ActionKind::kPeerSlowOpen);
        }
      }
      // Without a recovery, effects of the faults would be taken for violations
      // of the planned work that follows.
      if (phase.kind == PhaseKind::kMixed) {
        REQUIRE(n + 1 < schedule.size());
        CHECK(schedule.at(n + 1).kind == PhaseKind::kRecovery);
      }
    }
  }
  CHECK(kinds.size() == kActionKinds);
  CHECK(phases.size() == 5);
}

TEST_CASE(
    "stops overlap, but at most a third of the hosts is stopped at a time") {
  bool overlaps = false;
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    for (const Phase& phase : GenerateSchedule(ShapeOf(seed))) {
      std::vector<Milliseconds> stops;
      for (const Action& it : phase.actions) {
        if (it.kind == ActionKind::kStopNode) {
          stops.push_back(it.at);
        }
      }
      for (std::size_t n = 0; n < stops.size(); ++n) {
        const auto stopped =
            std::ranges::count_if(stops, [at = stops.at(n)](Milliseconds it) {
              return it <= at && at < it + Milliseconds(5'300);
            });
        CHECK(stopped <= 3);
        overlaps = overlaps || stopped > 1;
      }
    }
  }
  CHECK(overlaps);
}

TEST_CASE("an action is described with its host, length and proxied process") {
  CHECK(Describe({.kind = ActionKind::kLinkReset,
                  .host = 4,
                  .length = Milliseconds(300),
                  .proxy_target = ProxyTarget::kStore}) ==
        "link reset, host 4, 300 ms, way to the store");
  CHECK(Describe({.kind = ActionKind::kStopNode, .host = 2}) ==
        "stop node, host 2");
}

}  // namespace
}  // namespace cassiabend::soak
