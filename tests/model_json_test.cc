#include <doctest/doctest.h>

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "cassiabend/base/error.h"
#include "cassiabend/model/json.h"
#include "cassiabend/model/time_text.h"
#include "cassiabend/model/validate.h"
#include "tests/support/configs.h"

namespace cassiabend {
namespace {

using testing::SmallConfig;

TEST_CASE("a configuration round-trips through JSON, compact or indented") {
  Config config = SmallConfig();
  config.windows.push_back(
      {"sunday", "club", "press",
       OnceSchedule{WallTime(Milliseconds(1'700'000'000'123)),
                    WallTime(Milliseconds(1'700'000'400'000))},
       2});
  CHECK(ParseConfigJson(boost::json::serialize(ToJson(config))) == config);
  CHECK(ParseConfigJson(PrettyJson(ToJson(config))) == config);
}

TEST_CASE("the keys of a team are kept as digests only") {
  const Config config = ParseConfigJson(
      R"({"teams": [{"name": "red", "keys": ["secret", "secret", "other"],
                     "priority": 1, "rate_per_1000s": 500, "burst": 3}]})");
  REQUIRE(config.teams.size() == 1);
  std::vector<KeyDigest> digests = {DigestOfKey("secret"),
                                    DigestOfKey("other")};
  std::ranges::sort(digests);
  CHECK(config.teams[0].key_digests == digests);
  const std::string text = boost::json::serialize(ToJson(config));
  CHECK(text.find("secret") == std::string::npos);
  CHECK(text.find(ToHex(DigestOfKey("secret"))) != std::string::npos);
  CHECK(ParseConfigJson(text) == config);
}

TEST_CASE("comments and trailing commas are allowed") {
  const Config config = ParseConfigJson(R"(// head
  {"services": [{"name": "b"}, /* later */ {"name": "a"},],}
  // end
  )");
  REQUIRE(config.services.size() == 2);
  CHECK(config.services[0].name == "a");
}

TEST_CASE("JSON that does not fit the model is refused with the field's path") {
  struct Row {
    const char* text;
    const char* where;
  };
  const Row rows[] = {
      {"[]", "configuration"},
      {"{} x", "line 1"},
      {"{\n\"a\"", "line 2"},
      {R"({"sits": []})", "sits"},
      {R"({"services": {}})", "services"},
      {R"({"services": [{"name": "a", "tenat": ""}]})", "services[a].tenat"},
      {R"({"services": [{"name": 3}]})", "services[0].name"},
      {R"({"services": [{}]})", "services[0].name"},
      {R"({"services": [7]})", "services[0]"},
      {R"({"services": [{"name": "a", "revision": -1}]})",
       "services[a].revision"},
      {R"({"change_id": "12"})", "change_id"},
      {R"({"teams": [{"name": "t", "keys": [""]}]})", "teams[t].keys"},
      {R"({"teams": [{"name": "t", "keys": [7]}]})", "teams[t].keys"},
      {R"({"teams": [{"name": "t", "key_digests": ["12"]}]})",
       "teams[t].key_digests"},
      {R"({"teams": [{"name": "t", "priority": -1}]})", "teams[t].priority"},
      {R"({"teams": [{"name": "t", "rate_per_s": 1}]})", "teams[t].rate_per_s"},
      {R"({"routes": [{"name": "r", "path_prefix": "/", "service": "s",
           "timeout_ms": 4294967296}]})",
       "routes[r].timeout_ms"},
      {R"({"routes": [{"name": "r", "path_prefix": "/", "service": "s",
           "timeout_ms": 1.5}]})",
       "routes[r].timeout_ms"},
      {R"({"routes": [{"name": "r", "path_prefix": "/", "service": "s",
           "noisy": 1}]})",
       "routes[r].noisy"},
      {R"({"routes": [{"name": "r", "path_prefix": "/", "service": "s",
           "repeat": "often"}]})",
       "routes[r].repeat"},
      {R"({"windows": [{"name": "w", "site": "s"}]})", "windows[w].once"},
      {R"({"windows": [{"name": "w", "site": "s",
           "once": {"begin": "2026-02-30T00:00:00Z", "end": 5}}]})",
       "windows[w].once.begin"},
      {R"({"windows": [{"name": "w", "site": "s",
           "once": {"begin": "2026-02-03T00:00:00+01:00", "end": 5}}]})",
       "windows[w].once.begin"},
      {R"({"windows": [{"name": "w", "site": "s", "weekly":
           {"days": ["mon"], "from": "24:00", "to": "01:00"}}]})",
       "windows[w].weekly.from"},
      {R"({"windows": [{"name": "w", "site": "s", "weekly":
           {"days": ["noday"], "from": "23:00", "to": "01:00"}}]})",
       "windows[w].weekly.days"},
      {R"({"windows": [{"name": "w", "site": "s", "weekly":
           {"days": [], "from": "23:00", "to": "01:00"}}]})",
       "windows[w].weekly.days"},
  };
  for (const Row& row : rows) {
    CAPTURE(row.text);
    std::string where = "accepted";
    try {
      (void)ParseConfigJson(row.text);
    } catch (const ModelError& e) {
      where = e.where();
    }
    CHECK(where == row.where);
  }
}

TEST_CASE("an apply file holds items, expected revisions and removals") {
  const std::vector<Edit> edits = ParseEditsJson(R"({
    "services": [{"name": "catalog", "revision": 4}, {"name": "orders"}],
    "remove": {"routes": ["old"]}
  })");
  REQUIRE(edits.size() == 3);
  CHECK(edits[0].expected_revision == 4);
  CHECK(std::get<Service>(edits[0].action) == Service{"catalog", "", 0});
  CHECK_FALSE(edits[1].expected_revision.has_value());
  CHECK(TargetOf(edits[2]) == ItemRef{ItemKind::kRoute, "old"});
  CHECK_THROWS_AS((void)ParseEditsJson(R"({"remove": {"router": []}})"),
                  ModelError);
}

TEST_CASE("the example files are accepted as they are") {
  const char* root = std::getenv("CASSIABEND_ROOT");
  if (root == nullptr) {
    MESSAGE("CASSIABEND_ROOT is not set; ctest sets it");
    return;
  }
  for (const char* const file :
       {"apply.json", "cascadia/config.json", "silfurhud/config.json"}) {
    CAPTURE(file);
    std::ifstream in(std::string(root) + "/examples/" + file);
    REQUIRE(in.good());
    std::ostringstream text;
    text << in.rdbuf();
    const Config config = ApplyEdits({}, ParseEditsJson(text.str()), {}, "");
    CHECK(Validate(config).empty());
    CHECK(config.routes.size() >= 2);
  }
}

TEST_CASE("times round-trip through text") {
  for (const std::int64_t ms : {0LL, 1'700'000'000'123LL, 951'782'400'000LL}) {
    const WallTime time{Milliseconds(ms)};
    CHECK(ParseWallTime(FormatWallTime(time)) == time);
  }
  CHECK(FormatWallTime(WallTime(Milliseconds(951'782'400'000))) ==
        "2000-02-29T00:00:00Z");
  CHECK(ParseTimeOfDay("07:05") == std::chrono::minutes(425));
  CHECK_FALSE(ParseTimeOfDay("7:05").has_value());
  CHECK_FALSE(ParseTimeOfDay("07:05 ").has_value());
}

}  // namespace
}  // namespace cassiabend
