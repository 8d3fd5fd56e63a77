#include "cassiabend/core/upstream_identity.h"

#include <doctest/doctest.h>

namespace cassiabend {
namespace {

constexpr Milliseconds kSilence{4'500};

MonoTime At(int ms) {
  return MonoTime(Seconds(100)) + Milliseconds(ms);
}

UpstreamHeartbeat MakeHeartbeat(const char* instance,
                                int started_ms,
                                std::uint64_t sequence) {
  return {.instance = instance,
          .started_at = WallTime(Milliseconds(started_ms)),
          .sequence = sequence,
          .service = "svc",
          .slots = 8};
}

TEST_CASE("heartbeats of one start count upward") {
  UpstreamIdentity identity;
  CHECK(identity.OnHeartbeat(At(0), kSilence, MakeHeartbeat("a", 10, 1)) ==
        HeartbeatKind::kNewStart);
  CHECK(identity.OnHeartbeat(At(10), kSilence, MakeHeartbeat("a", 10, 3)) ==
        HeartbeatKind::kSameStart);
  CHECK(identity.OnHeartbeat(At(20), kSilence, MakeHeartbeat("a", 10, 2)) ==
        HeartbeatKind::kStale);
  CHECK(identity.instance() == "a");
}

TEST_CASE("a late heartbeat of an earlier start changes nothing") {
  UpstreamIdentity identity;
  (void)identity.OnHeartbeat(At(0), kSilence, MakeHeartbeat("a", 10, 9));
  CHECK(identity.OnHeartbeat(At(10), kSilence, MakeHeartbeat("b", 500, 1)) ==
        HeartbeatKind::kNewStart);
  CHECK(identity.OnHeartbeat(At(20), kSilence, MakeHeartbeat("a", 10, 10)) ==
        HeartbeatKind::kStale);
  UpstreamHeartbeat left = MakeHeartbeat("a", 10, 11);
  left.phase = UpstreamPhase::kLeft;
  CHECK(identity.OnHeartbeat(At(30), kSilence, left) == HeartbeatKind::kStale);
  CHECK(identity.instance() == "b");
}

TEST_CASE("a start with the same instance id has its own sequence") {
  UpstreamIdentity identity;
  (void)identity.OnHeartbeat(At(0), kSilence, MakeHeartbeat("a", 10, 9));
  CHECK(identity.OnHeartbeat(At(10), kSilence, MakeHeartbeat("a", 500, 1)) ==
        HeartbeatKind::kNewStart);
  CHECK(identity.OnHeartbeat(At(20), kSilence, MakeHeartbeat("a", 500, 2)) ==
        HeartbeatKind::kSameStart);
}

TEST_CASE("a start after the clock was set back is accepted after silence") {
  UpstreamIdentity identity;
  (void)identity.OnHeartbeat(At(0), kSilence, MakeHeartbeat("a", 5'000, 9));
  CHECK(
      identity.OnHeartbeat(At(1'000), kSilence, MakeHeartbeat("b", 3'000, 1)) ==
      HeartbeatKind::kStale);
  CHECK(
      identity.OnHeartbeat(At(5'000), kSilence, MakeHeartbeat("b", 3'000, 4)) ==
      HeartbeatKind::kNewStart);
  CHECK(identity.instance() == "b");
}

TEST_CASE("an instance id from a probe is confirmed by the next heartbeat") {
  UpstreamIdentity identity;
  identity.SetInstance(At(0), "a");
  CHECK(identity.instance() == "a");
  CHECK(identity.OnHeartbeat(At(100), kSilence, MakeHeartbeat("a", 10, 7)) ==
        HeartbeatKind::kSameStart);
  identity.Reset();
  CHECK(identity.instance().empty());
  CHECK(identity.OnHeartbeat(At(200), kSilence, MakeHeartbeat("c", 5, 1)) ==
        HeartbeatKind::kNewStart);
}

}  // namespace
}  // namespace cassiabend
