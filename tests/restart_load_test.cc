#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "tests/call_load.h"

namespace cassiabend::testing {
namespace {

constexpr std::size_t kUpstreams = 24;
constexpr std::uint32_t kSlots = 4;
constexpr Milliseconds kServiceTime{80};
/// Calls per second that the upstreams can serve.
constexpr double kCapacity = kUpstreams * kSlots * 1000.0 / 80.0;
constexpr Milliseconds kDeadline{600};
/// Two hosts get SIGTERM in each such period, most hosts once.
constexpr Milliseconds kRestartInterval{400};
constexpr std::size_t kRestarts = 20;

/// Least share of the calls that must be answered.
constexpr double kMinAnsweredShare = 0.9;

/// \brief The load is 0.7 of the capacity of all slots while nodes restart in
/// two concurrent series. Each node exits 2.3 s after SIGTERM and is down for
/// 0.8 s, so that 4 of 24 are down and 11 or 12 drain at a time. The slots
/// carry 0.83 of the capacity if draining nodes keep accepting attempts, and
/// less than 0.58 if they accept them for the first second only.
TEST_CASE("upstreams keep working while nodes restart in overlapping series") {
  std::uint64_t calls = 0;
  std::uint64_t answered = 0;
  for (const std::uint64_t seed : {11, 12, 13}) {
    LoadOptions options;
    options.calls.order_by_objective = 1;
    options.calls.place_by_time = 1;
    options.calls.slots = kSlots;
    options.calls.shutdown_accept = Milliseconds(1'000);
    options.calls.shutdown_serve = Milliseconds(2'300);
    options.deadline = kDeadline;
    for (Route& it : options.config.routes) {
      it.latency_objective = Milliseconds(250);
      it.timeout = kDeadline;
    }
    UpstreamBehaviour upstream;
    upstream.service_time = kServiceTime;
    LoadWorld world(std::vector<UpstreamBehaviour>(kUpstreams, upstream),
                    kSlots, seed, options);
    world.AddStream("status", kCapacity * 0.7, Milliseconds(8'000));
    for (std::size_t n = 0; n < kRestarts; ++n) {
      world.AddRestart(n, Milliseconds(1'000) + kRestartInterval * (n / 2));
    }
    world.Run(Milliseconds(10'000));
    const LoadResult& result = world.results().at("status");
    calls += result.calls;
    answered += result.answered;
  }
  CAPTURE(calls);
  CAPTURE(answered);
  CHECK(static_cast<double>(answered) >=
        kMinAnsweredShare * static_cast<double>(calls));
}

}  // namespace
}  // namespace cassiabend::testing
