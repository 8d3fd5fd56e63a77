// Inner calls: how they are recognised, ranked, and how runs that need them are
// protected.

#include "cassiabend/core/queueing/inner_calls.h"

#include <doctest/doctest.h>

#include "cassiabend/core/admission.h"
#include "cassiabend/core/queueing/run_gate.h"
#include "cassiabend/core/queueing/running_requests.h"
#include "tests/call_load.h"

namespace cassiabend::testing {
namespace {

AttemptRequest FromHostOf(const std::string& service,
                          const std::string& route) {
  AttemptRequest request;
  request.route = route;
  request.caller_service = service;
  return request;
}

TEST_CASE("a route on which hosts of one service call is an inner one") {
  InnerCalls inner(InnerCallMode::kLearnt);
  const char* services[] = {"web", "orders", "search", "archive"};
  for (int n = 0; n < 200; ++n) {
    inner.Record(FromHostOf(services[n % 4], "page"));
    inner.Record(FromHostOf("web", "lookup"));
    if (n == 5) {
      CHECK_FALSE(inner.IsInner(FromHostOf("web", "lookup")));
    }
  }
  CHECK(inner.IsInner(FromHostOf("web", "lookup")));
  CHECK_FALSE(inner.IsInner(FromHostOf("web", "page")));
  CHECK_FALSE(inner.IsInner(FromHostOf("web", "unknown")));
  // Once a depth is seen, nothing is learnt.
  AttemptRequest deep = FromHostOf("web", "other");
  deep.depth = 1;
  inner.Record(deep);
  CHECK(inner.IsInner(deep));
  CHECK_FALSE(inner.IsInner(FromHostOf("web", "lookup")));
}

TEST_CASE("routes with the same callers are not told apart") {
  InnerCalls inner(InnerCallMode::kLearnt);
  for (int n = 0; n < 2'000; ++n) {
    inner.Record(FromHostOf("gateway", "page"));
    inner.Record(FromHostOf("gateway", "status"));
  }
  CHECK_FALSE(inner.IsInner(FromHostOf("gateway", "page")));
  CHECK_FALSE(inner.IsInner(FromHostOf("gateway", "status")));
}

TEST_CASE("without the setting nothing is an inner call") {
  InnerCalls inner(InnerCallMode::kOff);
  AttemptRequest deep;
  deep.depth = 3;
  CHECK_FALSE(inner.IsInner(deep));
}

TEST_CASE("a request id that extends that of a run shows its depth") {
  RunningRequests runs;
  runs.Add("68eb", 0);
  runs.Add("68eb", 0);
  CHECK(runs.DepthOf("68eb.1be8") == std::uint8_t{1});
  CHECK_FALSE(runs.DepthOf("68eb").has_value());
  CHECK_FALSE(runs.DepthOf("68eb.").has_value());
  CHECK_FALSE(runs.DepthOf("68e.1be8").has_value());
  CHECK_FALSE(runs.DepthOf("68eb1be8").has_value());
  runs.Remove("68eb");
  CHECK(runs.DepthOf("68eb-1").has_value());
  runs.Remove("68eb");
  CHECK_FALSE(runs.DepthOf("68eb.1be8").has_value());
  runs.Add("68eb.1be8", 1);
  CHECK(runs.DepthOf("68eb.1be8.2") == std::uint8_t{2});
  runs.Add("", 0);
  CHECK_FALSE(runs.DepthOf(".1").has_value());
}

TEST_CASE("the fewer inner calls are served, the less new work starts") {
  constexpr std::uint32_t kSlots = 10;
  MonoTime now(Seconds(100));
  RunGate gate;
  CHECK(gate.SlotsForNewWork(now, kSlots) == kSlots);
  for (int n = 0; n < 20; ++n) {
    gate.Record(now, n % 2 == 0);
  }
  CHECK(gate.SlotsForNewWork(now, kSlots) == 5);
  for (int n = 0; n < 400; ++n) {
    gate.Record(now, false);
  }
  CHECK(gate.SlotsForNewWork(now, kSlots) == 1);
  // What failed long ago says nothing.
  now += Seconds(6);
  CHECK(gate.SlotsForNewWork(now, kSlots) == kSlots);
}

TEST_CASE("an inner call goes first, also into a full queue") {
  CallOptions options;
  options.order_by_objective = 1;
  options.queue_limit = 2;
  AdmissionQueue queue(options);
  const MonoTime now(Seconds(100));
  const auto make = [now](bool is_inner) {
    Attempt it;
    it.request.is_inner = is_inner;
    it.request.priority = is_inner ? 5 : 0;
    it.request.deadline = Milliseconds(500);
    it.deadline = now + Milliseconds(500);
    return it;
  };
  Attempt first = make(false);
  Attempt second = make(false);
  Attempt inner = make(true);
  Attempt other = make(true);
  CHECK(queue.Enqueue(&first) == nullptr);
  CHECK(queue.Enqueue(&second) == nullptr);
  CHECK(queue.Enqueue(&inner) == &second);
  CHECK(queue.Enqueue(&other) == &first);
  CHECK(queue.AdmitNext(1, now) == &inner);
  queue.Release(inner, Milliseconds(50));
  // No slot is open to new work, but to inner calls all are.
  CHECK(queue.Enqueue(&first) == nullptr);
  queue.set_new_work_slots(0);
  CHECK(queue.AdmitNext(1, now) == &other);
  queue.Release(other, Milliseconds(50));
  CHECK(queue.AdmitNext(1, now) == nullptr);
  queue.set_new_work_slots(1);
  CHECK(queue.AdmitNext(1, now) == &first);
}

struct Outcome {
  double served = 0;
  double failed = 0;
  double lookups = 0;
};

/// \brief Replays runs at "front" which need "lookup" at "back", while new work
/// for "back" exceeds its slots.
Outcome ReplayLookups(std::uint32_t inner_calls) {
  constexpr Milliseconds kLength{8'000};
  std::vector<UpstreamBehaviour> upstreams(10);
  for (std::size_t n = 0; n < upstreams.size(); ++n) {
    upstreams[n].service = n < 6 ? "front" : "back";
    upstreams[n].service_time = Milliseconds(100);
  }
  LoadOptions options;
  options.calls.slots = 4;
  options.calls.order_by_objective = 1;
  options.calls.place_by_time = 1;
  options.calls.inner_calls = inner_calls;
  options.inner_calls = {{"status", "lookup"}};
  options.service_times = {{"lookup", Milliseconds(40)}};
  options.config.services = {{"back", kCallerTeam}, {"front", kCallerTeam}};
  options.config.routes = {
      MakeRoute("lookup", "back", RepeatPolicy::kRepeatable),
      MakeRoute("orders", "back", RepeatPolicy::kOnce),
      MakeRoute("status", "front", RepeatPolicy::kRepeatable)};
  options.config.windows = {};
  for (Route& it : options.config.routes) {
    it.latency_objective = Milliseconds(it.name == "lookup" ? 150 : 500);
    it.timeout = Milliseconds(it.name == "lookup" ? 500 : 2'500);
    it.priority = it.name == "orders" ? 0 : 1;
  }
  LoadWorld world(upstreams, 4, 11, options);
  // "back" serves 160 orders a second, or 400 lookups; it is asked for 150 and
  // 120: 1.2 times what it can serve.
  world.AddStream("status", 120, kLength);
  world.AddStream("orders", 150, kLength);
  world.Run(kLength + Milliseconds(3'000));
  const auto& results = world.results();
  const LoadResult& status = results.at("status");
  const LoadResult& lookup = results.at("lookup");
  const auto share = [](std::uint64_t n, std::uint64_t all) {
    return static_cast<double>(n) / static_cast<double>(all);
  };
  MESSAGE("inner_calls " << inner_calls << ": runs served "
                         << share(status.answered, status.calls) << ", failed "
                         << share(status.failed, status.calls) << ", p99 "
                         << status.Percentile(990).count() / 1'000'000
                         << " ms, lookups "
                         << share(lookup.answered, lookup.calls) << ", orders "
                         << share(results.at("orders").answered,
                                  results.at("orders").calls));
  return {share(status.answered, status.calls),
          share(status.failed, status.calls),
          share(lookup.answered, lookup.calls)};
}

TEST_CASE("runs do not fail because their inner calls wait for new work") {
  const Outcome former = ReplayLookups(0);
  const Outcome ranked = ReplayLookups(1);
  CHECK(former.failed > 0.1);
  CHECK(ranked.failed < 0.02);
  CHECK(ranked.served > former.served + 0.1);
}

}  // namespace
}  // namespace cassiabend::testing
