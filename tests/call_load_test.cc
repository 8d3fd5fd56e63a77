#include <doctest/doctest.h>

#include <chrono>

#include "tests/call_load.h"

namespace cassiabend::testing {
namespace {

constexpr std::size_t kUpstreams = 18;
constexpr std::uint32_t kSlots = 12;
/// Calls per second that the upstreams can serve at 10 ms each.
constexpr double kCapacity = kUpstreams * kSlots * 100.0;

double Ms(Nanoseconds time) {
  return static_cast<double>(time.count()) / 1e6;
}

void Print(const std::string& run,
           const std::string& route,
           const LoadResult& it) {
  MESSAGE(run << " " << route << ": calls " << it.calls << ", answered "
              << it.answered << ", not run " << it.not_run << ", unknown "
              << it.unknown << ", attempts " << it.attempts << ", p50 "
              << Ms(it.Percentile(500)) << " ms, p99 " << Ms(it.Percentile(990))
              << " ms");
}

TEST_CASE("retries stay within their budget while a third of upstreams fail") {
  struct Row {
    const char* name;
    bool refuses;
    bool breaks;
  };
  for (const Row& row :
       {Row{"healthy", false, false}, Row{"a third refuses", true, false},
        Row{"a third breaks off", false, true}}) {
    std::vector<UpstreamBehaviour> upstreams(kUpstreams);
    for (std::size_t n = 0; n < kUpstreams / 3; ++n) {
      upstreams[n].refuses = row.refuses;
      upstreams[n].breaks = row.breaks;
    }
    LoadWorld world(upstreams, kSlots, 1);
    world.AddStream("status", kCapacity * 0.4, Milliseconds(5'000));
    world.Run(Milliseconds(8'000));
    const LoadResult& result = world.results().at("status");
    Print(row.name, "status", result);
    // 20% of the calls, and the initial balance of each of the 18 entry nodes.
    CHECK(result.attempts <= result.calls * 12 / 10 + 10 * kUpstreams);
    CHECK(result.answered * 1000 >= result.calls * 990);
  }
}

TEST_CASE("a flood of one class leaves the other its share") {
  for (const double times : {1.0, 2.0, 5.0}) {
    LoadWorld world(std::vector<UpstreamBehaviour>(kUpstreams), kSlots, 2);
    world.AddStream("orders", kCapacity * 0.2, Milliseconds(3'000));
    world.AddStream("status", kCapacity * (times - 0.2), Milliseconds(3'000));
    world.Run(Milliseconds(8'000));
    const std::string name = std::to_string(times).substr(0, 3) + "x";
    const LoadResult& orders = world.results().at("orders");
    const LoadResult& status = world.results().at("status");
    Print(name, "orders", orders);
    Print(name, "status", status);
    CHECK(orders.answered * 100 >= orders.calls * 99);
    const double goodput =
        static_cast<double>(orders.answered + status.answered) / 3.0;
    CHECK(goodput >= 0.9 * kCapacity);
    CHECK(orders.unknown == 0);
  }
}

TEST_CASE(
    "an upstream that misreports its load does not set the tail latency") {
  struct Row {
    const char* name;
    std::optional<std::uint16_t> claimed_load;
    int service_factor;
  };
  for (const Row& row :
       {Row{"honest", std::nullopt, 1}, Row{"honest and slow", std::nullopt, 5},
        Row{"says idle and is slow", 0, 5}, Row{"says full", 60'000, 1}}) {
    std::vector<UpstreamBehaviour> upstreams(kUpstreams);
    upstreams[0].claimed_load = row.claimed_load;
    upstreams[0].service_time *= row.service_factor;
    LoadWorld world(upstreams, kSlots, 3);
    world.AddStream("status", kCapacity * 0.6, Milliseconds(5'000));
    world.Run(Milliseconds(8'000));
    const LoadResult& result = world.results().at("status");
    Print(row.name, "status", result);
    MESSAGE("calls at the upstream: " << world.started(0)
                                      << ", at another: " << world.started(1));
    CHECK(result.answered * 1000 >= result.calls * 995);
  }
}

/// \returns Members in 2 regions and 8 zones, of which one in `services` has
/// the service under test.
std::vector<Member> MakeFleet(std::size_t members, std::size_t services) {
  std::vector<Member> fleet;
  for (std::size_t n = 0; n < members; ++n) {
    Member member = MakeMember(static_cast<int>(n));
    member.id.ip = "10." + std::to_string(n % 8) + "." +
                   std::to_string(n / 256) + "." + std::to_string(n % 256);
    member.region = n % 2 == 0 ? "north" : "south";
    member.zone = std::to_string(n % 8);
    member.service = n % services == 0 ? "svc" : std::to_string(n % services);
    member.slots = 12;
    fleet.push_back(member);
  }
  return fleet;
}

TEST_CASE("processor time of a call with 2,000 members") {
  constexpr std::size_t kCalls = 200'000;
  const std::vector<Member> fleet = MakeFleet(2'000, 110);
  CallNode node(fleet[0]);
  node.MakeReady(fleet);
  std::vector<SendAttempt> sends;
  const auto entry_begin = std::chrono::steady_clock::now();
  for (CallId call = 1; call <= kCalls; ++call) {
    node.Do(CallArrived{call, MakeMetadata("status")});
    const auto send = node.Only<SendAttempt>();
    REQUIRE(send);
    const AttemptId id = send->request.id;
    node.Do(AttemptAnswerStarted{call, id, 200});
    node.Do(AnswerRelayed{call, id, true});
    sends.push_back(*send);
    if (call % 5 == 0) {
      node.Tick(Milliseconds(1));
    }
  }
  const auto entry_end = std::chrono::steady_clock::now();
  ConnectionId link = 0;
  for (const SendAttempt& it : sends) {
    AttemptRequest request = it.request;
    request.destination_start_id = node.self().start_id;
    request.expires_at = node.now().wall + request.deadline;
    node.Do(AttemptArrived{++link, request});
    node.Do(UpstreamAnswerStarted{request.id, 200});
    node.Do(UpstreamAnswerCompleted{request.id});
    if (link % 5 == 0) {
      node.Tick(Milliseconds(1));
    }
  }
  const auto destination_end = std::chrono::steady_clock::now();
  const auto ns = [](auto time) {
    return std::chrono::duration_cast<Nanoseconds>(time).count() /
           static_cast<std::int64_t>(kCalls);
  };
  MESSAGE("entry: " << ns(entry_end - entry_begin)
                    << " ns a call of 3 events; destination: "
                    << ns(destination_end - entry_end)
                    << " ns an attempt of 3 events; ticks included");
  CHECK(node.counts().calls == 0);
}

}  // namespace
}  // namespace cassiabend::testing
