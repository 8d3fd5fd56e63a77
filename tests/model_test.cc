#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <functional>

#include "cassiabend/base/error.h"
#include "cassiabend/model/codec.h"
#include "cassiabend/model/delta.h"
#include "cassiabend/model/snapshot.h"
#include "cassiabend/model/validate.h"
#include "tests/support/configs.h"

namespace cassiabend {
namespace {

using testing::NightWindow;
using testing::RouteTo;
using testing::ServiceOf;
using testing::SmallConfig;

rc::Gen<Route> AnyRoute() {
  return rc::gen::build<Route>(
      rc::gen::set(&Route::name), rc::gen::set(&Route::team),
      rc::gen::set(&Route::host), rc::gen::set(&Route::path_prefix),
      rc::gen::set(&Route::method), rc::gen::set(&Route::service),
      rc::gen::set(&Route::repeat, rc::gen::element(RepeatPolicy::kOnce,
                                                    RepeatPolicy::kRepeatable)),
      rc::gen::set(
          &Route::timeout,
          rc::gen::map(rc::gen::arbitrary<std::uint32_t>(),
                       [](std::uint32_t n) { return Milliseconds(n); })),
      rc::gen::set(&Route::noisy), rc::gen::set(&Route::site),
      rc::gen::set(&Route::revision));
}

rc::Gen<QuietWindow> AnyWindow() {
  return rc::gen::map(
      rc::gen::tuple(rc::gen::arbitrary<std::string>(),
                     rc::gen::arbitrary<bool>(),
                     rc::gen::arbitrary<std::int64_t>(),
                     rc::gen::arbitrary<std::uint16_t>()),
      [](const auto& parts) {
        const auto& [name, once, number, minute] = parts;
        QuietWindow out{.name = name, .site = name + "s"};
        if (once) {
          out.schedule = OnceSchedule{WallTime(Milliseconds(number)),
                                      WallTime(Milliseconds(number / 2))};
        } else {
          out.schedule = WeeklySchedule{static_cast<std::uint8_t>(number),
                                        std::chrono::minutes(minute),
                                        std::chrono::minutes(minute / 3)};
        }
        return out;
      });
}

TEST_CASE("any value round-trips through its encoding and keeps its hash") {
  CHECK(rc::check([] {
    Config config = SmallConfig();
    config.number = *rc::gen::arbitrary<std::uint64_t>();
    config.author = *rc::gen::arbitrary<std::string>();
    config.routes = *rc::gen::container<std::vector<Route>>(AnyRoute());
    config.windows = *rc::gen::container<std::vector<QuietWindow>>(AnyWindow());
    const Config copy = DecodeConfig(EncodeConfig(config));
    RC_ASSERT(copy == config);
    RC_ASSERT(HashConfig(copy) == HashConfig(config));
    ConfigDelta delta{.base = MarkOf(config), .author = config.author};
    for (const Route& it : config.routes) {
      delta.edits.push_back({.action = it, .expected_revision = it.revision});
      delta.edits.push_back({.action = ItemRef{ItemKind::kRoute, it.name}});
    }
    RC_ASSERT(DecodeDelta(EncodeDelta(delta)) == delta);
  }));
}

TEST_CASE("a head round-trips through its encoding") {
  const Head head{.mark = {7, {1, 2}},
                  .value_keys = {"a", "b"},
                  .delta_key = "d",
                  .recent = {{7, {3, 4}}, {6, {5, 6}}},
                  .history = {{.mark = {7, {1, 2}},
                               .change_id = {3, 4},
                               .author = "ops",
                               .committed_at = WallTime(Milliseconds(-5)),
                               .value_keys = {"a", "b"}}}};
  CHECK(DecodeHead(EncodeHead(head)) == head);
}

TEST_CASE("the hash of a version does not change between releases") {
  // Releases that compute different hashes refuse each other's versions as
  // damaged, which splits a fleet that runs both.
  CHECK(ToHex(HashConfig(SmallConfig())) == "c62e8c56998fd0bbb226d1dfd0ed8b0b");
  Config other = SmallConfig();
  other.routes[1].timeout += Milliseconds(1);
  CHECK(HashConfig(other) != HashConfig(SmallConfig()));
}

/// \returns `SmallConfig` with two teams; "red" holds two keys.
Config ConfigWithTeams() {
  Config out = SmallConfig();
  Team red{.name = "red",
           .team = "club",
           .key_digests = {DigestOfKey("a"), DigestOfKey("b")},
           .priority = 0,
           .rate_per_1000s = 2'500,
           .burst = 40,
           .revision = 2};
  std::ranges::sort(red.key_digests);
  out.teams = {{.name = "blue", .key_digests = {DigestOfKey("c")}}, red};
  out.routes[1].is_public = true;
  return out;
}

TEST_CASE("teams round-trip and are part of the hash") {
  const Config config = ConfigWithTeams();
  CHECK(DecodeConfig(EncodeConfig(config)) == config);
  CHECK(HashConfig(config) != HashConfig(SmallConfig()));
  Config other = config;
  other.teams[1].priority.reset();
  CHECK(HashConfig(other) != HashConfig(config));
  const ConfigDelta delta{
      .base = MarkOf(config),
      .edits = {{.action = config.teams[1], .expected_revision = 2},
                {.action = ItemRef{ItemKind::kTeam, "blue"}}}};
  CHECK(DecodeDelta(EncodeDelta(delta)) == delta);
}

TEST_CASE("one more key is one edit of a delta") {
  const Snapshot base(ConfigWithTeams());
  Config next = ConfigWithTeams();
  next.number = 4;
  next.parent = 3;
  next.teams[0].key_digests.push_back(DigestOfKey("d"));
  std::ranges::sort(next.teams[0].key_digests);
  const Snapshot target(next);
  const auto delta = ComputeDelta(base, target);
  REQUIRE(delta);
  REQUIRE(delta->edits.size() == 1);
  CHECK(std::get<Team>(delta->edits[0].action) == next.teams[0]);
  CHECK(ApplyDelta(base, *delta)->mark() == target.mark());
}

TEST_CASE("truncated messages are refused and corrupt ones decode safely") {
  const std::string bytes = EncodeConfig(SmallConfig());
  for (std::size_t n = 0; n < bytes.size(); ++n) {
    CAPTURE(n);
    CHECK_THROWS_AS((void)DecodeConfig(bytes.substr(0, n)), ModelError);
  }
  CHECK(rc::check([&bytes] {
    std::string broken = bytes;
    const auto at = *rc::gen::inRange<std::size_t>(0, broken.size());
    broken[at] = *rc::gen::arbitrary<char>();
    try {
      (void)DecodeConfig(broken);
    } catch (const ModelError&) {
    }
  }));
  // A packed run of zeros that would expand to far more than the limit.
  CHECK_THROWS_AS((void)DecodeConfig(std::string(4, '\x00') +
                                     std::string("\xff\xff\xff\x7f", 4)),
                  ModelError);
}

TEST_CASE("every violation names the field that breaks the rule") {
  struct Row {
    std::string path;
    std::function<void(Config*)> change;
  };
  const auto once = [](std::int64_t begin, std::int64_t end) {
    return OnceSchedule{WallTime(Milliseconds(begin)),
                        WallTime(Milliseconds(end))};
  };
  const auto weekly = [](int days, int from, int to) {
    return WeeklySchedule{static_cast<std::uint8_t>(days),
                          std::chrono::minutes(from), std::chrono::minutes(to)};
  };
  const std::vector<Row> rows = {
      {"routes[status].service",
       [](Config* it) { it->routes[1].service = "none"; }},
      {"routes[print].site", [](Config* it) { it->routes[0].site = ""; }},
      {"routes[print].site", [](Config* it) { it->routes[0].site = "none"; }},
      {"routes[print].longest_job",
       [](Config* it) { it->routes[0].longest_job = Seconds(0); }},
      {"routes[print].longest_job",
       [](Config* it) { it->routes[0].longest_job = Seconds(86'401); }},
      {"routes[status].path_prefix",
       [](Config* it) { it->routes[1].path_prefix = "/print"; }},
      {"routes[status].path_prefix",
       [](Config* it) { it->routes[1].path_prefix = "status"; }},
      {"routes[status].host",
       [](Config* it) { it->routes[1].host = std::string(1025, 'a'); }},
      {"routes[status].timeout",
       [](Config* it) { it->routes[1].timeout = Milliseconds(0); }},
      {"routes[status].timeout",
       [](Config* it) { it->routes[1].timeout = Milliseconds(600'001); }},
      {"routes[status].team",
       [](Config* it) { it->routes[1].team = "a team"; }},
      {"routes[print].team", [](Config* it) { it->routes[0].team = "x"; }},
      {"routes[status].request_class",
       [](Config* it) { it->routes[1].request_class = "a\nb"; }},
      {"routes[status].site_header",
       [](Config* it) { it->routes[1].site_header = "x site"; }},
      {"routes[status].revision",
       [](Config* it) { it->routes[1].revision = 4; }},
      {"services[].name", [](Config* it) { it->services[0].name = ""; }},
      {"services[a b].name", [](Config* it) { it->services[0].name = "a b"; }},
      {"services[orders].name",
       [](Config* it) { it->services.push_back(it->services[1]); }},
      {"services[a].name",
       [](Config* it) { it->services.push_back(ServiceOf("a")); }},
      {"services",
       [](Config* it) { it->services.resize(20'001, ServiceOf("a")); }},
      {"sites[press].time_zone",
       [](Config* it) { it->sites[0].time_zone = "Mars/Base"; }},
      {"windows[night].site", [](Config* it) { it->windows[0].site = "none"; }},
      {"windows[night].schedule.end",
       [&](Config* it) { it->windows[0].schedule = once(5, 5); }},
      {"windows[night].schedule.end",
       [&](Config* it) { it->windows[0].schedule = once(6, 5); }},
      {"windows[night].schedule",
       [&](Config* it) { it->windows[0].schedule = once(-1, 5); }},
      {"windows[night].schedule",
       [&](Config* it) { it->windows[0].schedule = once(1, 1LL << 60); }},
      {"windows[night].schedule.weekdays",
       [&](Config* it) { it->windows[0].schedule = weekly(0, 1, 2); }},
      {"windows[night].schedule.weekdays",
       [&](Config* it) { it->windows[0].schedule = weekly(0x80, 1, 2); }},
      {"windows[night].schedule.from",
       [&](Config* it) { it->windows[0].schedule = weekly(1, 1440, 2); }},
      {"windows[night].schedule.to",
       [&](Config* it) { it->windows[0].schedule = weekly(1, 1, 1440); }},
      {"teams[a b].name", [](Config* it) { it->teams = {{.name = "a b"}}; }},
      {"teams[a].name",
       [](Config* it) {
         it->teams = {{.name = "b"}, {.name = "a"}};
       }},
      {"teams[b].key_digests",
       [](Config* it) {
         it->teams = {{.name = "a", .key_digests = {DigestOfKey("k")}},
                      {.name = "b", .key_digests = {DigestOfKey("k")}}};
       }},
      {"teams[a].key_digests",
       [](Config* it) {
         it->teams = {{.name = "a", .key_digests = {{2, 0}, {1, 0}}}};
       }},
      {"teams[a].rate_per_1000s",
       [](Config* it) {
         it->teams = {{.name = "a", .rate_per_1000s = kMaxRatePer1000s + 1}};
       }},
      {"teams[a].burst",
       [](Config* it) { it->teams = {{.name = "a", .burst = 1}}; }},
      {"teams", [](Config* it) { it->teams.resize(20'001, {.name = "a"}); }},
  };
  CHECK(Validate(SmallConfig()).empty());
  for (const Row& row : rows) {
    CAPTURE(row.path);
    Config config = SmallConfig();
    row.change(&config);
    const std::vector<Violation> violations = Validate(config);
    CHECK(std::ranges::find(violations, row.path, &Violation::path) !=
          violations.end());
    CHECK_THROWS_AS(Snapshot{config}, ModelError);
  }
}

TEST_CASE("edits apply in any order and set the revision of changed items") {
  const Config base = SmallConfig();
  const Config next =
      ApplyEdits(base,
                 {{.action = ServiceOf("artwork")},
                  {.action = ServiceOf("catalog")},
                  {.action = ItemRef{ItemKind::kRoute, "status"}}},
                 {9, 9}, "me");
  CHECK(next.number == 4);
  CHECK(next.parent == 3);
  REQUIRE(next.services.size() == 3);
  CHECK(next.services[0].revision == 4);
  // Replacing an item by an equal one keeps its revision.
  CHECK(next.services[1] == base.services[0]);
  CHECK(next.routes.size() == 1);
  CHECK_THROWS_AS(
      (void)ApplyEdits(base, {{.action = ItemRef{ItemKind::kSite, "x"}}}, {},
                       ""),
      ModelError);
}

TEST_CASE("applying a difference gives the content of the other version") {
  const Config from = SmallConfig();
  Config to = from;
  to.services.push_back(ServiceOf("tracker"));
  to.routes.erase(to.routes.begin());
  to.windows[0] = NightWindow("night", "press");
  to.windows[0].team = "other";
  const Config result = ApplyEdits(from, Difference(from, to), {}, "");
  CHECK(Difference(result, to).empty());
  CHECK(Difference(from, from).empty());
}

TEST_CASE("applying a computed delta gives exactly the other version") {
  Config from = SmallConfig();
  for (int i = 0; i < 40; ++i) {
    Service service = ServiceOf("service-" + std::to_string(100 + i));
    service.revision = 2;
    from.services.push_back(service);
  }
  std::ranges::sort(from.services, {}, &Service::name);
  Config to = from;
  to.number = from.number + 7;
  to.parent = 0;
  to.change_id = {};
  to.author = "";
  to.services.erase(to.services.begin() + 2);
  to.services.back().revision = 5;
  to.routes.back().timeout = Milliseconds(1'234);
  const Snapshot base(from);
  const Snapshot next(to);
  const auto delta = ComputeDelta(base, next);
  REQUIRE(delta);
  CHECK(delta->edits.size() == 3);
  CHECK(DecodeDelta(EncodeDelta(*delta)) == *delta);
  CHECK(ApplyDelta(base, *delta)->config() == to);
  CHECK_THROWS_AS((void)ApplyDelta(next, *delta), ModelError);

  Config limited = to;
  limited.limits.max_body_bytes += 1;
  CHECK_FALSE(ComputeDelta(base, Snapshot(limited)));
  CHECK_FALSE(ComputeDelta(next, base));
  Config another = to;
  for (Service& it : another.services) {
    it.health_path = "/changed";
  }
  // Many items may differ, as long as the delta has fewer edits than the
  // version has items.
  REQUIRE(ComputeDelta(base, Snapshot(another)));
  CHECK(ApplyDelta(base, *ComputeDelta(base, Snapshot(another)))->config() ==
        another);
  const auto touch = [](auto* items) {
    for (auto& it : *items) {
      ++it.revision;
    }
  };
  touch(&another.sites);
  touch(&another.services);
  touch(&another.routes);
  touch(&another.windows);
  CHECK_FALSE(ComputeDelta(base, Snapshot(another)));
}

TEST_CASE("a delta is refused on another base or if its result differs") {
  const Snapshot base(SmallConfig());
  const std::vector<Edit> edits = {{.action = ServiceOf("tracker")}};
  const Snapshot next(ApplyEdits(base.config(), edits, {9, 9}, "me"));
  const ConfigDelta delta{.base = base.mark(),
                          .mark = next.mark(),
                          .change_id = {9, 9},
                          .author = "me",
                          .edits = edits};
  CHECK(ApplyDelta(base, delta)->config() == next.config());
  CHECK_THROWS_AS((void)ApplyDelta(next, delta), ModelError);
  ConfigDelta other = delta;
  other.author = "you";
  CHECK_THROWS_AS((void)ApplyDelta(base, other), ModelError);
  other = delta;
  other.mark.number = 3;
  CHECK_THROWS_AS((void)ApplyDelta(base, other), ModelError);
  other = delta;
  other.edits = {{.action = RouteTo("r", "none")}};
  CHECK_THROWS_AS((void)ApplyDelta(base, other), ModelError);
}

/// \brief Reference implementation of `Snapshot::FindRoute` that compares all
/// routes.
const Route* FindRouteByScan(const Config& config, const RouteQuery& query) {
  const Route* best = nullptr;
  const auto rank = [](const Route& it) {
    return std::tuple(!it.host.empty(), it.path_prefix.size(),
                      !it.method.empty());
  };
  for (const Route& it : config.routes) {
    const bool matches = (it.host.empty() || it.host == query.host) &&
                         query.path.starts_with(it.path_prefix) &&
                         (it.method.empty() || it.method == query.method) &&
                         (query.team.empty() || it.team == query.team);
    if (matches && (best == nullptr || rank(it) > rank(*best))) {
      best = &it;
    }
  }
  return best;
}

TEST_CASE("FindRoute returns the most specific route that matches") {
  const auto text = rc::gen::container<std::string>(rc::gen::element('a', '/'));
  const auto host = rc::gen::element<std::string>("", "h", "g");
  const auto method = rc::gen::element<std::string>("", "GET", "PUT");
  const auto team = rc::gen::element<std::string>("club", "other");
  CHECK(rc::check([&] {
    Config config{.number = 1, .services = {ServiceOf("s")}};
    const int n = *rc::gen::inRange(0, 30);
    for (int i = 0; i < n; ++i) {
      Route route = RouteTo("r" + std::to_string(100 + i), "s");
      route.host = *host;
      route.method = *method;
      route.team = *team;
      route.path_prefix = "/" + *text;
      config.routes.push_back(route);
      if (!Validate(config).empty()) {
        config.routes.pop_back();
      }
    }
    const Snapshot snapshot(config);
    const std::string path = "/" + *text;
    const std::string wanted_host = *host;
    const std::string wanted_method = *method;
    for (const char* who : {"", "club", "nobody"}) {
      const RouteQuery query{who, wanted_host, path, wanted_method};
      const auto name = [](const Route* it) {
        return it == nullptr ? std::string("none") : it->name;
      };
      RC_ASSERT(name(snapshot.FindRoute(query)) ==
                name(FindRouteByScan(config, query)));
    }
  }));
}

TEST_CASE("items are found by name") {
  const Snapshot snapshot(SmallConfig());
  REQUIRE(snapshot.RouteByName("print") != nullptr);
  CHECK(snapshot.RouteByName("print")->noisy);
  CHECK(snapshot.RouteByName("prin") == nullptr);
  CHECK(snapshot.SiteByName("press") != nullptr);
  CHECK(snapshot.SiteByName("zoo") == nullptr);
}

}  // namespace
}  // namespace cassiabend
