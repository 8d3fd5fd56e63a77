#include "cassiabend/core/upstream_identity.h"

#include <doctest/doctest.h>

namespace cassiabend {
namespace {

constexpr Milliseconds kSilence{4'500};

MonoTime At(int ms) {
  return MonoTime(Seconds(100)) + Milliseconds(ms);
}

UpstreamReport Beat(const char* instance, int born_ms, std::uint64_t sequence) {
  return {.instance = instance,
          .started_at = WallTime(Milliseconds(born_ms)),
          .sequence = sequence,
          .service = "svc",
          .slots = 8};
}

TEST_CASE("heartbeats of one start count upward") {
  UpstreamIdentity identity;
  CHECK(identity.Take(At(0), kSilence, Beat("a", 10, 1)) ==
        ReportNews::kNewStart);
  CHECK(identity.Take(At(10), kSilence, Beat("a", 10, 3)) ==
        ReportNews::kSameStart);
  CHECK(identity.Take(At(20), kSilence, Beat("a", 10, 2)) ==
        ReportNews::kStale);
  CHECK(identity.instance() == "a");
}

TEST_CASE("a late heartbeat of an earlier start changes nothing") {
  UpstreamIdentity identity;
  (void)identity.Take(At(0), kSilence, Beat("a", 10, 9));
  CHECK(identity.Take(At(10), kSilence, Beat("b", 500, 1)) ==
        ReportNews::kNewStart);
  CHECK(identity.Take(At(20), kSilence, Beat("a", 10, 10)) ==
        ReportNews::kStale);
  UpstreamReport left = Beat("a", 10, 11);
  left.phase = UpstreamPhase::kLeft;
  CHECK(identity.Take(At(30), kSilence, left) == ReportNews::kStale);
  CHECK(identity.instance() == "b");
}

TEST_CASE("a start under the same name counts anew") {
  UpstreamIdentity identity;
  (void)identity.Take(At(0), kSilence, Beat("a", 10, 9));
  CHECK(identity.Take(At(10), kSilence, Beat("a", 500, 1)) ==
        ReportNews::kNewStart);
  CHECK(identity.Take(At(20), kSilence, Beat("a", 500, 2)) ==
        ReportNews::kSameStart);
}

TEST_CASE("a start after the clock was set back is believed after silence") {
  UpstreamIdentity identity;
  (void)identity.Take(At(0), kSilence, Beat("a", 5'000, 9));
  CHECK(identity.Take(At(1'000), kSilence, Beat("b", 3'000, 1)) ==
        ReportNews::kStale);
  CHECK(identity.Take(At(5'000), kSilence, Beat("b", 3'000, 4)) ==
        ReportNews::kNewStart);
  CHECK(identity.instance() == "b");
}

TEST_CASE("a name that was asked for is confirmed by the next heartbeat") {
  UpstreamIdentity identity;
  identity.Learn(At(0), "a");
  CHECK(identity.instance() == "a");
  CHECK(identity.Take(At(100), kSilence, Beat("a", 10, 7)) ==
        ReportNews::kSameStart);
  identity.Forget();
  CHECK(identity.instance().empty());
  CHECK(identity.Take(At(200), kSilence, Beat("c", 5, 1)) ==
        ReportNews::kNewStart);
}

}  // namespace
}  // namespace cassiabend
