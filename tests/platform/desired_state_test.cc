#include "platform/desired_state.h"

#include <doctest/doctest.h>

#include <string>

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
      {ReplaceInConfig("\"service\": \"s2\",\n            \"max", "\"max"),
       "routes.r-a.service"},
      {ReplaceInConfig("\"600ms\"", "\"600\""), "routes.r-z.timeout"},
      {ReplaceInConfig("\"600ms\"", "600"), "routes.r-z.timeout"},
      {ReplaceInConfig("\"weight\": 90", "\"weight\": -1"),
       "routes.r-z.weight"},
      {ReplaceInConfig("\"non_idempotent\"", "\"odd\""),
       "routes.r-a.route_type"},
      {ReplaceInConfig("\"authority\": \"b.example\", ", ""),
       "routes.r-a.authority"},
      {ReplaceInConfig("{\"service\": \"s1\", \"weight\": 90}",
                       "{\"service\": \"no\", \"weight\": 1}"),
       "routes[r-z].split"},
      {ReplaceInConfig("\"/q/r/\"", "\"q/r/\""), "routes[r-a].path_prefix"},
      {ReplaceInConfig("\"services\"", "\"servers\""), "services"},
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

}  // namespace
}  // namespace cassiabend::platform
