#include <doctest/doctest.h>

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>

#include "cassiabend/base/error.h"
#include "cassiabend/node/settings.h"

namespace cassiabend {
namespace {

constexpr char kMinimal[] = R"({
  // A comment.
  "node": {"ip": "127.0.0.1", "region": "puget", "zone": "puget-a"},
  "store": {"endpoints": ["127.0.0.1:2379"]},
})";

std::string ErrorOf(const std::string& text) {
  try {
    (void)ParseSettings(text, "node.json");
  } catch (const SettingsError& e) {
    return e.what();
  }
  return "";
}

std::string WithSection(const std::string& section) {
  std::string text = kMinimal;
  return text.insert(1, section + ",");
}

TEST_CASE("comments are allowed and defaults fill the rest") {
  const Settings settings = ParseSettings(kMinimal, "node.json");
  CHECK(settings.node.zone == "puget-a");
  CHECK(settings.store.endpoints.size() == 1);
  CHECK(settings.fleet.fan_out == FleetOptions().fan_out);
}

TEST_CASE("a node announces its call port unless another one is set") {
  const Settings plain =
      ParseSettings(WithSection(R"("http": {})"), "node.json");
  CHECK(CoreOptionsOf(plain, 1, 1).self.call_port == plain.node.call_port);

  Settings proxied = plain;
  proxied.node.announced_call_port = 7'999;
  CHECK(CoreOptionsOf(proxied, 1, 1).self.call_port == 7'999);
  CHECK(CallServerOptionsOf(proxied, 1).call_port == plain.node.call_port);
}

TEST_CASE("printed settings parse to the same settings") {
  const Settings settings = ParseSettings(
      WithSection(R"("fleet": {"seeds": ["127.0.0.2:7"], "beat_period_ms": 700},
              "upstream": {"service": "s", "ip": "127.0.0.1", "port": 9})"),
      "node.json");
  const std::string printed = PrintSettings(settings);
  CHECK(PrintSettings(ParseSettings(printed, "printed")) == printed);
}

TEST_CASE("errors name the key, the reason and the allowed range") {
  const struct {
    std::string text;
    std::string path;
    std::string why;
  } cases[] = {
      {"[", "node.json", "not JSON"},
      {"[]", "node.json", "must be an object"},
      {WithSection(R"("nodes": {})"), "nodes", "not a known section"},
      {WithSection(R"("fleet": {"beat": 1})"), "fleet.beat", "not a known key"},
      {WithSection(R"("fleet": {"beat_period_ms": "1"})"),
       "fleet.beat_period_ms", "whole number from 100 to 60000"},
      {WithSection(R"("fleet": {"beat_period_ms": 99})"),
       "fleet.beat_period_ms", "outside the range 100 to 60000"},
      {WithSection(R"("fleet": {"beat_period_ms": -5})"),
       "fleet.beat_period_ms", "outside the range"},
      {WithSection(R"("fleet": {"beat_period_ms": 1.5})"),
       "fleet.beat_period_ms", "whole number"},
      {WithSection(R"("fleet": {"seeds": ["x"]})"), "fleet.seeds[0]",
       "IP:PORT"},
      {WithSection(R"("fleet": {"seeds": ["host:1"]})"), "fleet.seeds", "IPv4"},
      {WithSection(R"("upstream": {"service": "a", "ip": "127.0.0.1"})"),
       "upstream.port", "missing"},
      {WithSection(R"("operators": [{"name": "a", "token_hash": "12"}])"),
       "operators[0].token_hash", "64 hexadecimal digits"},
      {WithSection(
           R"("fleet": {"probe_period_ms": 200, "probe_timeout_ms": 200})"),
       "fleet.probe_timeout_ms", "below"},
      {R"({"node": {"ip": "127.0.0.1", "zone": "a"}})", "node.region",
       "missing"},
      {R"({"node": {"ip": "here", "region": "r", "zone": "a"}})", "node.ip",
       "IPv4"},
      {R"({"node": {"ip": "127.0.0.1", "region": "r", "zone": "a"}})",
       "store.endpoints", "missing"},
      {R"({"node": {"log_level": "loud", "ip": "127.0.0.1", "region": "r",
                    "zone": "a"}})",
       "node.log_level", "debug, info"},
  };
  for (const auto& it : cases) {
    CAPTURE(it.text);
    const std::string error = ErrorOf(it.text);
    CHECK(error.find("(" + it.path + ")") != std::string::npos);
    CHECK(error.find(it.why) != std::string::npos);
  }
}

TEST_CASE("an unreadable file is named") {
  try {
    (void)LoadSettings("/nonexistent/node.json");
    FAIL("no error");
  } catch (const SettingsError& e) {
    CHECK(e.where() == "/nonexistent/node.json");
  }
}

TEST_CASE("the page of settings names every section") {
  const std::string page = DescribeSettings();
  for (const char* it :
       {"node", "upstream", "store", "config", "fleet", "calls", "http"}) {
    CHECK(page.find("## `" + std::string(it) + "`") != std::string::npos);
  }
}

TEST_CASE("docs/SETTINGS.md is the page that the program prints") {
  const char* root = std::getenv("CASSIABEND_ROOT");
  REQUIRE(root != nullptr);
  std::ifstream in(std::string(root) + "/docs/SETTINGS.md");
  std::ostringstream text;
  text << in.rdbuf();
  CHECK(text.str() == DescribeSettings());
}

TEST_CASE("the example settings are valid") {
  const char* root = std::getenv("CASSIABEND_ROOT");
  REQUIRE(root != nullptr);
  for (const char* it : {"cascadia", "silfurhud"}) {
    const std::string file =
        std::string(root) + "/examples/" + it + "/node.json";
    CHECK_NOTHROW((void)LoadSettings(file));
  }
}

}  // namespace
}  // namespace cassiabend
