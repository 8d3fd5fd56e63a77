#include "tools/bench_core.h"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "cassiabend/core/call_reducer.h"
#include "cassiabend/core/fleet_reducer.h"
#include "cassiabend/model/codec.h"
#include "cassiabend/model/snapshot.h"
#include "cassiabend/node/metrics.h"

namespace cassiabend::bench {
namespace {

using std::chrono::steady_clock;

constexpr std::size_t kUpstreams = 2'000;
constexpr std::size_t kServices = 110;
constexpr std::size_t kZones = 8;
constexpr std::size_t kRoutes = 5'000;
constexpr std::size_t kWindows = 2'000;
constexpr std::size_t kSites = 200;

/// \returns `prefix` and a number of five digits, so that names sort by
/// number.
std::string PaddedName(const std::string& prefix, std::size_t n) {
  std::string digits = std::to_string(n);
  digits.insert(0, 5 - std::min<std::size_t>(digits.size(), 5), '0');
  return prefix + digits;
}

/// \returns A configuration of the largest supported size.
Config MakeLargestConfig() {
  Config config;
  config.number = 1;
  for (std::size_t i = 0; i < kSites; ++i) {
    config.sites.push_back({.name = PaddedName("site-", i),
                            .team = "team",
                            .time_zone = "PST-08PDT,M3.2.0/02:00,M11.1.0/02:00",
                            .revision = 1});
  }
  for (std::size_t i = 0; i < kServices; ++i) {
    config.services.push_back(
        {.name = PaddedName("service-", i), .team = "team", .revision = 1});
  }
  for (std::size_t i = 0; i < kRoutes; ++i) {
    Route route;
    route.name = PaddedName("route-", i);
    route.team = "team";
    route.path_prefix = "/" + PaddedName("path-", i);
    route.service = PaddedName("service-", i % kServices);
    route.request_class = "status";
    route.repeat = RepeatPolicy::kRepeatable;
    route.timeout = Milliseconds(2'000);
    route.revision = 1;
    config.routes.push_back(std::move(route));
  }
  for (std::size_t i = 0; i < kWindows; ++i) {
    QuietWindow window;
    window.name = PaddedName("window-", i);
    window.team = "team";
    window.site = PaddedName("site-", i % kSites);
    window.schedule = WeeklySchedule{.weekdays = 0x3E,
                                     .from = std::chrono::hours(22),
                                     .to = std::chrono::hours(6)};
    window.revision = 1;
    config.windows.push_back(std::move(window));
  }
  return config;
}

Member MakeMember(std::size_t n) {
  Member member;
  const std::size_t zone = n % kZones;
  member.id = {"10." + std::to_string(zone) + "." + std::to_string(n / 250) +
                   "." + std::to_string(n % 250 + 1),
               7101};
  member.call_port = 7102;
  member.region = zone < kZones / 2 ? "east" : "west";
  member.zone = "zone-" + std::to_string(zone);
  member.start_id = 1;
  member.revision = 1;
  member.service = PaddedName("service-", n % kServices);
  member.slots = 12;
  member.upstream_state = UpstreamState::kServing;
  return member;
}

double NanosecondsEach(steady_clock::time_point from, std::size_t n) {
  return std::chrono::duration<double, std::nano>(steady_clock::now() - from)
             .count() /
         static_cast<double>(n);
}

/// \brief Runs calls through a call reducer: arrival, start of the answer, end
/// of the answer.
/// \returns Nanoseconds per event.
double CallNanoseconds(CallReducer* reducer, std::size_t calls) {
  std::vector<CallEffect> out;
  Instant now{MonoTime(Seconds(100)), WallTime(Seconds(1'000'000))};
  const auto start = steady_clock::now();
  for (std::size_t i = 0; i < calls; ++i) {
    now.mono += Microseconds(100);
    out.clear();
    CallArrived arrived;
    arrived.call = i + 1;
    arrived.metadata.path = "/" + PaddedName("path-", i % kRoutes) + "/item";
    arrived.metadata.method = "GET";
    reducer->Reduce(now, arrived, &out);
    AttemptId attempt;
    for (const CallEffect& it : out) {
      if (const auto* send = std::get_if<SendAttempt>(&it)) {
        attempt = send->request.id;
      }
    }
    out.clear();
    reducer->Reduce(now, AttemptAnswerStarted{i + 1, attempt, 200}, &out);
    reducer->Reduce(now, AnswerRelayed{i + 1, attempt, true}, &out);
  }
  return NanosecondsEach(start, calls * 3);
}

void MeasureCalls(const Options& options,
                  const RefPtr<const Snapshot>& snapshot,
                  Report* report) {
  const std::uint64_t before = ProcessResidentBytes();
  CallReducer reducer(CallOptions{}, MakeMember(0), options.seed);
  std::vector<CallEffect> out;
  const Instant now{MonoTime(Seconds(1)), WallTime(Seconds(1'000'000))};
  reducer.Reduce(now, ApplyVersion{snapshot}, &out);
  reducer.Reduce(now, HeadConfirmed{now.mono}, &out);
  reducer.Reduce(now, ReadinessChanged{.ready = true}, &out);
  MembersChanged members;
  for (std::size_t i = 0; i < kUpstreams; ++i) {
    members.members.push_back(MakeMember(i));
  }
  reducer.Reduce(now, members, &out);
  const std::size_t calls = options.quick ? 20'000 : 200'000;
  const double ns = CallNanoseconds(&reducer, calls);
  report->Emit("reducer_ns_per_event", ns, "ns",
               {{"reducer", "calls"},
                {"nodes", kUpstreams},
                {"services", kServices},
                {"routes", kRoutes},
                {"events", calls * 3}});
  report->Emit("core_memory_mb",
               static_cast<double>(ProcessResidentBytes() - before) / 1e6, "MB",
               {{"reducer", "calls"}, {"nodes", kUpstreams}});
}

/// \brief Measures a fleet reducer's tick after one sync of all members.
void MeasureMembership(const Options& options, Report* report) {
  const std::uint64_t before = ProcessResidentBytes();
  FleetReducer reducer(FleetOptions{}, MakeMember(0), options.seed);
  std::vector<FleetEffect> out;
  Instant now{MonoTime(Seconds(1)), WallTime(Seconds(1'000'000))};
  MembersReplied answered{.peer = MakeMember(1).id, .members = {{}}};
  answered.members->clear();
  for (std::size_t i = 1; i < kUpstreams; ++i) {
    answered.members->push_back(MakeMember(i));
  }
  reducer.Reduce(now, answered, &out);
  const std::size_t events = options.quick ? 2'000 : 20'000;
  const auto start = steady_clock::now();
  for (std::size_t i = 0; i < events; ++i) {
    now.mono += kFleetTickPeriod;
    now.wall += kFleetTickPeriod;
    out.clear();
    reducer.Reduce(now, FleetTick{}, &out);
  }
  report->Emit("reducer_ns_per_event", NanosecondsEach(start, events), "ns",
               {{"reducer", "fleet"},
                {"nodes", kUpstreams},
                {"event", "tick"},
                {"events", events}});
  report->Emit("core_memory_mb",
               static_cast<double>(ProcessResidentBytes() - before) / 1e6, "MB",
               {{"reducer", "fleet"}, {"nodes", kUpstreams}});
}

void MeasureModel(const Options& options,
                  const Config& config,
                  Report* report) {
  const boost::json::object extra{
      {"services", kServices}, {"routes", kRoutes}, {"windows", kWindows}};
  const std::size_t n = options.quick ? 5 : 30;
  const auto timed = [&](const char* metric, const std::function<void()>& run) {
    const auto start = steady_clock::now();
    for (std::size_t i = 0; i < n; ++i) {
      run();
    }
    report->Emit(metric, NanosecondsEach(start, n) / 1e6, "ms", extra);
  };
  const std::string bytes = EncodeConfig(config);
  report->Emit("config_bytes", static_cast<double>(bytes.size()), "B", extra);
  timed("config_encode_ms", [&] { (void)EncodeConfig(config); });
  timed("config_decode_ms", [&] { (void)DecodeConfig(bytes); });
  timed("config_hash_ms", [&] { (void)HashConfig(config); });
  timed("snapshot_ms", [&] { const Snapshot snapshot(config); });
  ConfigDelta delta;
  Route route = config.routes.front();
  route.timeout = Milliseconds(1);
  delta.edits.push_back({route, {}});
  report->Emit("delta_bytes", static_cast<double>(EncodeDelta(delta).size()),
               "B", extra);
}

}  // namespace

void MeasureCore(const Options& options, Report* report) {
  const Config config = MakeLargestConfig();
  MeasureModel(options, config, report);
  const RefPtr<const Snapshot> snapshot(new Snapshot(config));
  MeasureCalls(options, snapshot, report);
  MeasureMembership(options, report);
}

}  // namespace cassiabend::bench
