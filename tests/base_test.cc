#include <doctest/doctest.h>

#include "cassiabend/base/clock.h"
#include "cassiabend/base/hash.h"
#include "cassiabend/base/random.h"
#include "cassiabend/core/member.h"

namespace cassiabend {
namespace {

TEST_CASE("identifiers are parsed back from their hexadecimal form") {
  Random random(7);
  const Id128 id = random.NextId();
  Id128 parsed;
  REQUIRE(FromHex(ToHex(id), &parsed));
  CHECK(parsed == id);
  CHECK_FALSE(FromHex("12", &parsed));
  CHECK_FALSE(FromHex(std::string(32, 'z'), &parsed));
}

TEST_CASE("a manual clock moves both clocks, or the wall clock alone") {
  ManualClock clock;
  clock.Advance(Seconds(2));
  clock.StepWall(Milliseconds(-500));
  CHECK(clock.Now().mono.time_since_epoch() == Seconds(2));
  CHECK(clock.Now().wall.time_since_epoch() == Milliseconds(1500));
}

TEST_CASE("malformed node addresses are rejected") {
  NodeId id;
  REQUIRE(ParseNodeId("127.1.2.1:7000", &id));
  CHECK(id == NodeId{"127.1.2.1", 7000});
  CHECK_FALSE(ParseNodeId("127.1.2.1", &id));
  CHECK_FALSE(ParseNodeId("127.1.2.1:70000", &id));
  CHECK_FALSE(ParseNodeId(":7000", &id));
}

TEST_CASE("member records are ordered by start id, revision and status") {
  Member older{.id = {"127.0.0.1", 1}, .start_id = 1, .revision = 9};
  Member newer = older;
  newer.start_id = 2;
  newer.revision = 0;
  CHECK(Supersedes(newer, older));
  CHECK_FALSE(Supersedes(older, older));
  Member suspect = older;
  suspect.status = MemberStatus::kSuspect;
  CHECK(Supersedes(suspect, older));
}

}  // namespace
}  // namespace cassiabend
