#include <doctest/doctest.h>

#include "cassiabend/core/freshness.h"

namespace cassiabend {
namespace {

MonoTime At(std::int64_t ms) {
  return MonoTime(Milliseconds(ms));
}

struct Fixture {
  FleetOptions options;
  Instant now{At(100'000), {}};
  Random random{1};
  std::uint64_t sequence = 0;
  std::vector<FleetEffect> effects;
  FleetContext context{options, now, &random, &sequence, &effects};
  Freshness freshness;
};

TEST_CASE("a peer's confirmation counts from when the request was sent") {
  struct Row {
    std::int64_t sent_ms;
    std::int64_t held_ms;
    std::optional<Milliseconds> age;
    std::optional<std::int64_t> confirmed_ms;
  };
  const Row rows[] = {
      {90'000, 0, Milliseconds(0), 90'000},
      // The peer held the request for 2 s and measured its age that much later.
      {90'000, 2'000, Milliseconds(1'000), 90'997},
      // An answer that arrives late does not make its confirmation newer.
      {10'000, 0, Milliseconds(500), 9'499},
      {90'000, 0, std::nullopt, std::nullopt},
      // A confirmation in the future is ignored.
      {99'000, 60'000, Milliseconds(0), std::nullopt},
  };
  for (const Row& it : rows) {
    Fixture fixture;
    fixture.freshness.ConfirmByPeer(fixture.context, At(it.sent_ms),
                                    Milliseconds(it.held_ms), it.age);
    const auto at = fixture.freshness.confirmed_at();
    REQUIRE(at.has_value() == it.confirmed_ms.has_value());
    CHECK(fixture.effects.size() == (at ? 1 : 0));
    if (at) {
      CHECK(std::chrono::floor<Milliseconds>(at->time_since_epoch()).count() ==
            *it.confirmed_ms);
    }
  }
}

TEST_CASE("a confirmation only advances, and its age is rounded up") {
  Fixture fixture;
  CHECK_FALSE(fixture.freshness.AgeAt(At(1)));
  fixture.freshness.Confirm(fixture.context, At(50'000));
  fixture.freshness.Confirm(fixture.context, At(40'000));
  fixture.freshness.Confirm(fixture.context, At(50'000));
  CHECK(fixture.effects.size() == 1);
  CHECK(fixture.freshness.AgeAt(At(50'001)) == Milliseconds(1));
  CHECK(fixture.freshness.AgeAt(At(50'001) + Nanoseconds(1)) ==
        Milliseconds(2));
}

}  // namespace
}  // namespace cassiabend
