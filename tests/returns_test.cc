// When refused callers come back.

#include <doctest/doctest.h>

#include "cassiabend/core/queueing/return_time.h"
#include "tests/call_load.h"

namespace cassiabend::testing {
namespace {

TEST_CASE("callers come back later the greater the demand, urgent ones first") {
  Shortage it{.drain_time = Milliseconds(100), .demand = 0.8, .priority = 2};
  CHECK(ReturnTime(it) == Milliseconds(100));
  it.demand = 2.0;
  CHECK(ReturnTime(it) == Milliseconds(600));
  it.priority = 0;
  CHECK(ReturnTime(it) == Milliseconds(200));
  it.demand = 1'000;
  CHECK(ReturnTime(it) == Milliseconds(400));
  it.priority = 1'000;
  CHECK(ReturnTime(it) == Milliseconds(1'600));
  it.drain_time = Seconds(60);
  CHECK(ReturnTime(it) == Milliseconds(2'000));
}

struct Outcome {
  /// Share of the calls after the burst that were answered in time.
  double after = 0;
  /// Attempts of the calls of the burst, a call.
  double attempts = 0;
  double answered = 0;
};

/// \brief A burst of 2.5 times the capacity for 2 s, then 0.7 of it.
Outcome ReplayBurst(RefusedCaller caller, std::uint32_t spread_returns) {
  constexpr std::size_t kUpstreams = 8;
  constexpr double kCapacity = kUpstreams * 4 * 1000.0 / 80.0;
  LoadOptions options;
  options.calls.slots = 4;
  options.calls.order_by_objective = 1;
  options.calls.place_by_time = 1;
  options.calls.spread_returns = spread_returns;
  options.refused = caller;
  options.deadline = Milliseconds(3'000);
  for (Route& it : options.config.routes) {
    it.latency_objective = Milliseconds(400);
    it.timeout = Milliseconds(3'000);
    it.priority = it.name == "orders" ? 0 : 1;
  }
  std::vector<UpstreamBehaviour> upstreams(kUpstreams);
  for (UpstreamBehaviour& it : upstreams) {
    it.service_time = Milliseconds(80);
  }
  LoadWorld world(upstreams, 4, 12, options);
  world.AddStreamAt("status", kCapacity * 2.5, Milliseconds(0),
                    Milliseconds(2'000), 0, kUpstreams);
  world.AddStreamAt("orders", kCapacity * 0.7, Milliseconds(2'000),
                    Milliseconds(5'000), 0, kUpstreams);
  world.Run(Milliseconds(9'000));
  const LoadResult& burst = world.results().at("status");
  const LoadResult& after = world.results().at("orders");
  const auto share = [](std::uint64_t n, std::uint64_t all) {
    return static_cast<double>(n) / static_cast<double>(all);
  };
  const Outcome out{share(after.timely, after.calls),
                    share(burst.attempts, burst.calls),
                    share(burst.answered, burst.calls)};
  MESSAGE("spread_returns "
          << spread_returns << ", callers "
          << (caller == RefusedCaller::kRetriesLater ? "as told" : "at once")
          << ": in time after the burst " << out.after << ", burst answered "
          << out.answered << " with " << out.attempts << " attempts a call");
  return out;
}

TEST_CASE("a burst ends when its cause ends, whatever refused callers do") {
  for (const RefusedCaller caller :
       {RefusedCaller::kRetriesLater, RefusedCaller::kRetriesAtOnce}) {
    const Outcome former = ReplayBurst(caller, 0);
    const Outcome spread = ReplayBurst(caller, 1);
    CHECK(spread.after >= 0.9);
    CHECK(spread.answered >= former.answered - 0.02);
    CHECK(spread.attempts <= former.attempts + 0.02);
  }
}

}  // namespace
}  // namespace cassiabend::testing
