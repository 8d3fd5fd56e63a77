#include "platform/desired_state.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "cassiabend/base/error.h"

namespace cassiabend::platform {
namespace {

constexpr char kFullConfig[] = R"({
  "version": "0000000c",
  "routes": {
    "r-z": {"authority": "a.example", "prefix": "/p/", "route_type": "idempotent",
            "timeout": "600ms", "target_latency": "0.25s", "priority": 2,
            "traffic_split": [{"service": "s1", "weight": 90},
                              {"service": "s2", "weight": 10}],
            "max_attempts": 2},
    "r-a": {"authority": "b.example", "prefix": "/q/r/",
            "route_type": "non_idempotent", "timeout": "800ms",
            "target_latency": "300ms", "priority": 1, "service": "s2",
            "max_attempts": 1}},
  "services": {
    "s1": {"health_check_path": "/health", "max_connections": 110,
           "protocol": "h1", "tls": false},
    "s2": {"health_check_path": "/up", "max_connections": 110}},
  "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864,
             "header_timeout": "3000ms", "idle_timeout": "15s"}})";

/// \returns `kFullConfig` with the first `from` replaced by `to`.
std::string ReplaceInConfig(const std::string& from, const std::string& to) {
  std::string text = kFullConfig;
  const std::size_t at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

TEST_CASE("the operator's configuration is decoded to a full version") {
  const HeadValue value = DesiredStateCodec().Decode(kFullConfig);
  REQUIRE(value.full_version);
  CHECK(value.head.mark == value.full_version->mark());
  CHECK(value.head.mark.number == 12);
  const Config& config = value.full_version->config();
  REQUIRE(config.routes.size() == 2);
  const Route& once_route = config.routes[0];
  CHECK(once_route.name == "r-a");
  CHECK(once_route.host == "b.example");
  CHECK(once_route.path_prefix == "/q/r/");
  CHECK(once_route.repeat == RepeatPolicy::kOnce);
  CHECK(once_route.service == "s2");
  CHECK(once_route.timeout == Milliseconds(800));
  CHECK(once_route.max_attempts == 1);
  CHECK(once_route.priority == 1);
  const Route& split = config.routes[1];
  CHECK(split.repeat == RepeatPolicy::kRepeatable);
  CHECK(split.latency_objective == Milliseconds(250));
  CHECK(split.split == std::vector<RouteTarget>{{"s1", 90}, {"s2", 10}});
  CHECK(value.full_version->HealthPathOf("s2") == "/up");
  CHECK(config.limits.max_header_bytes == 16384);
  CHECK(config.limits.header_timeout == Seconds(3));
  CHECK(config.limits.idle_timeout == Seconds(15));
}

TEST_CASE("marks are equal only for equal configurations") {
  const auto mark = [](const std::string& text) {
    return DesiredStateCodec().Decode(text).head.mark;
  };
  CHECK(mark(kFullConfig) == mark(kFullConfig));
  CHECK(mark(kFullConfig) !=
        mark(ReplaceInConfig("\"weight\": 90", "\"weight\": 80")));
  CHECK(mark(kFullConfig) !=
        mark(ReplaceInConfig("\"idle_timeout\": \"15s\"",
                             "\"idle_timeout\": \"16s\"")));
}

TEST_CASE(
    "an invalid configuration is refused with the path of the wrong field") {
  struct Row {
    std::string text;
    const char* where;
  };
  const Row rows[] = {
      {"", "op/config"},
      {"[]", "op/config"},
      {std::string(kFullConfig).substr(0, 200), "op/config"},
      {ReplaceInConfig("\"0000000c\"", "12"), "version"},
      {ReplaceInConfig("\"0000000c\"", "\"xyz\""), "version"},
      {ReplaceInConfig("\"authority\": \"b.example\", ", ""),
       "routes.r-a.authority"},
      {ReplaceInConfig("\"/q/r/\"", "\"q/r/\""), "routes[r-a].path_prefix"},
      {ReplaceInConfig("\"services\"", "\"servers\""), "services"},
      {ReplaceInConfig("\"limits\"", "\"tenants\": [], \"limits\""), "tenants"},
      {ReplaceInConfig("\"limits\"", "\"tenants\": {\"a\": 1}, \"limits\""),
       "tenants"},
      {ReplaceInConfig("67108864", "-1"), "limits.max_body_bytes"},
      {ReplaceInConfig("67108864", "\"64M\""), "limits.max_body_bytes"},
  };
  for (const Row& row : rows) {
    CAPTURE(row.where);
    try {
      (void)DesiredStateCodec().Decode(row.text);
      FAIL_CHECK("the invalid configuration was accepted");
    } catch (const ModelError& e) {
      CHECK(e.where() == row.where);
    }
  }
}

TEST_CASE("a route that cannot be used keeps its place and costs only itself") {
  struct Row {
    std::string text;
    const char* name;
    const char* where;
  };
  const Row rows[] = {
      {ReplaceInConfig("\"service\": \"s2\",\n            \"max", "\"max"),
       "r-a", "routes.r-a.service"},
      {ReplaceInConfig("\"600ms\"", "\"600\""), "r-z", "routes.r-z.timeout"},
      {ReplaceInConfig("\"600ms\"", "600"), "r-z", "routes.r-z.timeout"},
      {ReplaceInConfig("\"600ms\"", "\"0ms\""), "r-z", "routes.r-z.timeout"},
      {ReplaceInConfig("\"weight\": 90", "\"weight\": -1"), "r-z",
       "routes.r-z.weight"},
      {ReplaceInConfig("\"non_idempotent\"", "\"odd\""), "r-a",
       "routes.r-a.route_type"},
      {ReplaceInConfig("\"priority\": 1", "\"priority\": 4294967296"), "r-a",
       "routes.r-a.priority"},
      {ReplaceInConfig("\"priority\": 1", "\"public\": 1, \"priority\": 1"),
       "r-a", "routes.r-a.public"},
      {ReplaceInConfig("{\"service\": \"s1\", \"weight\": 90}",
                       "{\"service\": \"no\", \"weight\": 1}"),
       "r-z", "routes.r-z.service"},
      {ReplaceInConfig("\"/health\"", "7"), "r-z",
       "services.s1.health_check_path"},
  };
  for (const Row& row : rows) {
    CAPTURE(row.where);
    const HeadValue value = DesiredStateCodec().Decode(row.text);
    REQUIRE_FALSE(value.remarks.empty());
    CHECK(value.remarks.front().find(row.where) != std::string::npos);
    const Snapshot& version = *value.full_version;
    REQUIRE(version.config().routes.size() == 2);
    const std::string name = row.name;
    const Route& bad = version.config().routes[name == "r-a" ? 0 : 1];
    const Route& good = version.config().routes[name == "r-a" ? 1 : 0];
    CHECK(bad.service == "unusable");
    CHECK(bad.is_public);
    CHECK(version.FindRoute({"", bad.host, bad.path_prefix, "GET"}) == &bad);
    CHECK(good.service != "unusable");
  }
}

TEST_CASE("no upstream can have the service of a route that cannot be used") {
  std::string text = ReplaceInConfig("\"non_idempotent\"", "\"odd\"");
  text.replace(text.find("\"s1\": {"), 4, "\"unusable\"");
  const HeadValue value = DesiredStateCodec().Decode(text);
  CHECK(value.full_version->config().routes[0].service == "unusable-");
}

TEST_CASE("an upload runs at most once, and a route may be public") {
  std::string text = ReplaceInConfig("\"non_idempotent\"", "\"upload\"");
  text.replace(text.find("\"priority\": 2"), 13,
               "\"public\": true, \"later\": {}, \"priority\": 2");
  const HeadValue value = DesiredStateCodec().Decode(text);
  CHECK(value.remarks.empty());
  const std::vector<Route>& routes = value.full_version->config().routes;
  CHECK(routes[0].repeat == RepeatPolicy::kOnce);
  CHECK(routes[0].request_class == "upload-300ms");
  CHECK_FALSE(routes[0].is_public);
  CHECK(routes[1].is_public);
}

TEST_CASE("a limit above the range counts as the largest") {
  for (const char* n :
       {"4294967296", "9223372036854775807", "18446744073709551615", "1e300"}) {
    CAPTURE(n);
    const HeadValue value =
        DesiredStateCodec().Decode(ReplaceInConfig("67108864", n));
    const CallerLimits& limits = value.full_version->config().limits;
    CHECK(limits.max_body_bytes == 0xFFFFFFFF);
    CHECK(limits.max_header_bytes == 16384);
  }
}

/// \returns The version and remarks of `kFullConfig` with a table of tenants.
HeadValue WithTenants(const std::string& tenants) {
  return DesiredStateCodec().Decode(ReplaceInConfig(
      "\"limits\"", "\"tenants\": {" + tenants + "}, \"limits\""));
}

TEST_CASE("tenants are teams that hold the digests of their keys") {
  const HeadValue value = WithTenants(
      R"("t-b": {"api_keys": ["k1", "k2", "k1"], "priority": 1,
                 "rate_per_s": 2.5, "burst": 40, "later": []},
         "t-a": {"api_keys": []})");
  CHECK(value.remarks.empty());
  const Snapshot& version = *value.full_version;
  CHECK(version.has_teams());
  REQUIRE(version.config().teams.size() == 2);
  CHECK(version.config().teams[0] == Team{.name = "t-a"});
  const Team& team = version.config().teams[1];
  CHECK(team.name == "t-b");
  CHECK(team.key_digests.size() == 2);
  CHECK(team.priority == 1);
  CHECK(team.rate_per_1000s == 2'500);
  CHECK(team.burst == 40);
  CHECK(version.TeamByKey(DigestOfKey("k2")) == &team);
  CHECK_FALSE(WithTenants("").full_version->has_teams());
}

TEST_CASE("malformed parts of a tenant name nothing and the others hold") {
  struct Row {
    const char* fields;
    const char* where;
    Team team;
  };
  const std::vector<KeyDigest> keys = {DigestOfKey("secret")};
  const Row rows[] = {
      {R"("api_keys": ["secret", "", 7, null])",
       "tenants.t.api_keys",
       {.name = "t", .key_digests = keys}},
      {R"("api_keys": ["secret"], "priority": -1)",
       "tenants.t.priority",
       {.name = "t", .key_digests = keys}},
      {R"("api_keys": ["secret"], "priority": "high")",
       "tenants.t.priority",
       {.name = "t", .key_digests = keys}},
      {R"("api_keys": ["secret"], "rate_per_s": -5, "burst": 5)",
       "tenants.t.rate_per_s",
       {.name = "t", .key_digests = keys}},
      {R"("api_keys": ["secret"], "rate_per_s": 5, "burst": -5)",
       "tenants.t.burst",
       {.name = "t", .key_digests = keys, .rate_per_1000s = 5'000}},
      {R"("api_keys": ["secret"], "rate_per_s": 0.0001, "burst": 1e30)",
       "",
       {.name = "t",
        .key_digests = keys,
        .rate_per_1000s = 1,
        .burst = 0xFFFFFFFF}},
      {R"("api_keys": ["secret"], "rate_per_s": 1e30)",
       "",
       {.name = "t", .key_digests = keys, .rate_per_1000s = 1'000'000'000'000}},
      {R"("api_keys": ["secret"], "burst": 9)",
       "",
       {.name = "t", .key_digests = keys}},
      {R"("api_keys": "secret")", "tenants.t.api_keys", {}},
      {R"("keys": ["secret"])", "tenants.t.api_keys", {}},
  };
  for (const Row& row : rows) {
    CAPTURE(row.fields);
    const HeadValue value =
        WithTenants(R"("other": {"api_keys": ["o"]}, "t": {)" +
                    std::string(row.fields) + "}");
    const Snapshot& version = *value.full_version;
    CHECK(version.TeamByKey(DigestOfKey("o")) != nullptr);
    const Team* team = version.TeamByName("t");
    CHECK((team == nullptr ? Team{} : *team) == row.team);
    CHECK(value.remarks.empty() == std::string(row.where).empty());
    for (const std::string& it : value.remarks) {
      CHECK(it.find(row.where) != std::string::npos);
      CHECK(it.find("secret") == std::string::npos);
    }
  }
}

TEST_CASE("a name that no header can carry names no team") {
  const HeadValue value = WithTenants(
      R"("a b": {"api_keys": ["k"]}, "c": {"api_keys": ["o"]}, "d": 5)");
  CHECK(value.full_version->config().teams.size() == 1);
  CHECK(value.remarks.size() == 2);
}

TEST_CASE("a key that two tenants hold identifies neither") {
  const HeadValue value = WithTenants(R"("a": {"api_keys": ["shared", "x"]},
                     "b": {"api_keys": ["y", "shared"]})");
  const Snapshot& version = *value.full_version;
  CHECK(version.TeamByKey(DigestOfKey("shared")) == nullptr);
  CHECK(version.TeamByKey(DigestOfKey("x"))->name == "a");
  CHECK(version.TeamByKey(DigestOfKey("y"))->name == "b");
  REQUIRE(value.remarks.size() == 1);
  CHECK(value.remarks[0].find(ToHex(DigestOfKey("shared"))) !=
        std::string::npos);
  CHECK(value.remarks[0].find("shared") == std::string::npos);
}

TEST_CASE("a table of tenants may be large, but not without limit") {
  const auto tenants = [](int n) {
    std::string out;
    for (int i = 0; i < n; ++i) {
      const std::string id = std::to_string(i);
      out.append(i == 0 ? "\"t" : ",\"t")
          .append(id)
          .append(R"(":{"api_keys":["k)")
          .append(id)
          .append("\"]}");
    }
    return out;
  };
  const HeadValue value = WithTenants(tenants(10'000));
  CHECK(value.full_version->config().teams.size() == 10'000);
  CHECK(value.full_version->TeamByKey(DigestOfKey("k9999"))->name == "t9999");
  CHECK_THROWS_AS((void)WithTenants(tenants(20'001)), ModelError);
}

}  // namespace
}  // namespace cassiabend::platform
