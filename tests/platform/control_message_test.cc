#include "platform/control_message.h"

#include <doctest/doctest.h>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace cassiabend::platform {
namespace {

ControlMessage Post(const std::string& path, const std::string& body) {
  return ReadControlMessage({"POST", path, body});
}

TEST_CASE("a heartbeat is decoded to a report") {
  const ControlMessage message = Post(
      "/instances/i-7f/heartbeat",
      R"({"service":"huvo","address":"10.1.0.9:8080","zone":"z","version":"v1","slots":9,"state":"ready","cold_remaining":"1.5s","seq":4,"born":1700000000123})");
  REQUIRE(message.report);
  CHECK(message.response.status == 200);
  const UpstreamHeartbeat expected{
      .instance = "i-7f",
      .started_at = WallTime(Milliseconds(1'700'000'000'123)),
      .sequence = 4,
      .service = "huvo",
      .address = "10.1.0.9:8080",
      .zone = "z",
      .version = "v1",
      .slots = 9,
      .phase = UpstreamPhase::kReady,
      .cold_left = Milliseconds(1'500)};
  CHECK(*message.report == expected);
}

TEST_CASE(
    "a draining heartbeat and a deregistration report that an upstream "
    "leaves") {
  const ControlMessage draining = Post(
      "/instances/i-7f/heartbeat",
      R"({"service":"huvo","address":"10.1.0.9:8080","zone":"z","version":"v1","slots":9,"state":"draining","cold_remaining":"0ms","seq":5,"born":1700000000123})");
  REQUIRE(draining.report);
  CHECK(draining.report->phase == UpstreamPhase::kDraining);
  for (const char* body : {"", "{}", R"({"born":5})"}) {
    const ControlMessage left = Post("/instances/i-7f/deregister", body);
    REQUIRE(left.report);
    CHECK(left.report->phase == UpstreamPhase::kLeft);
    CHECK(left.report->instance == "i-7f");
  }
}

TEST_CASE("a heartbeat without each field in its type yields no report") {
  const boost::json::object whole = {{"service", "huvo"},
                                     {"address", "10.1.0.9:8080"},
                                     {"zone", "z"},
                                     {"version", "v1"},
                                     {"slots", 9},
                                     {"state", "ready"},
                                     {"seq", 4},
                                     {"cold_remaining", "0ms"},
                                     {"born", 1'700'000'000'123}};
  const auto post = [](const boost::json::object& body) {
    return Post("/instances/i-7f/heartbeat", boost::json::serialize(body));
  };
  REQUIRE(post(whole).report);
  boost::json::value nested = 1;
  for (int i = 0; i < 200; ++i) {
    nested = boost::json::array{nested};
  }
  const boost::json::value others[] = {
      nullptr, true, boost::json::array{}, nested, 1.5e30, -1, ""};
  for (const boost::json::key_value_pair& field : whole) {
    CAPTURE(std::string(field.key()));
    boost::json::object body = whole;
    body.erase(field.key());
    CHECK_FALSE(post(body).report);
    for (const boost::json::value& it : others) {
      body[field.key()] = it;
      const ControlMessage message = post(body);
      CHECK_FALSE(message.report);
      CHECK(message.response.status == 400);
    }
  }
}

TEST_CASE("a deregistration that cannot be read yields no report") {
  for (const char* body : {"\x01\x02", "[", R"({"born":"5"})", R"({"born":-1})",
                           R"({"born":1e30})"}) {
    CAPTURE(body);
    CHECK_FALSE(Post("/instances/i-7f/deregister", body).report);
  }
}

TEST_CASE(
    "a malformed request is rejected with an error and yields no report") {
  const char* bodies[] = {
      "",
      "[]",
      R"({"slots":9,"state":"ready","seq":4})",
      R"({"service":3,"slots":9,"state":"ready","seq":4})",
      R"({"service":"s","slots":"9","state":"ready","seq":4})",
      R"({"service":"s","slots":9,"state":"odd","seq":4})",
      R"({"service":"s","slots":9,"state":"ready"})",
      R"({"service":"s","slots":0,"state":"ready","seq":4})",
  };
  for (const char* body : bodies) {
    CAPTURE(body);
    const ControlMessage message = Post("/instances/i-7f/heartbeat", body);
    CHECK_FALSE(message.report.has_value());
    CHECK(message.response.status == 400);
    CHECK_FALSE(message.error.empty());
  }
  CHECK(Post("/instances//heartbeat", "{}").response.status == 404);
  CHECK(Post("/other", "{}").response.status == 404);
  CHECK(ReadControlMessage({"GET", "/instances/i/heartbeat", ""})
            .response.status == 404);
}

}  // namespace
}  // namespace cassiabend::platform
