#include <doctest/doctest.h>

#include "cassiabend/base/error.h"
#include "cassiabend/model/codec.h"
#include "cassiabend/model/delta.h"
#include "cassiabend/model/quiet_calendar.h"
#include "cassiabend/model/snapshot.h"
#include "cassiabend/model/validate.h"

namespace cassiabend {
namespace {

constexpr char kSeattle[] = "PST-08PDT,M3.2.0/02:00,M11.1.0/02:00";

Config SmallConfig() {
  return {.number = 3,
          .parent = 2,
          .change_id = {1, 2},
          .author = "ops",
          .sites = {{"press", "club", kSeattle, 1}},
          .services = {{"catalog", "", 1}, {"orders", "club", 2}},
          .routes = {{.name = "status",
                      .tenant = "club",
                      .path_prefix = "/status",
                      .service = "catalog",
                      .timeout = Seconds(2),
                      .revision = 3}},
          .windows = {{"night", "club", "press",
                       WeeklySchedule{0x7F, std::chrono::hours(22),
                                      std::chrono::hours(7)},
                       3}}};
}

TEST_CASE("a configuration survives its encoding") {
  const Config config = SmallConfig();
  CHECK(DecodeConfig(EncodeConfig(config)) == config);
  CHECK(HashConfig(config) == HashConfig(DecodeConfig(EncodeConfig(config))));
  CHECK_THROWS_AS(DecodeConfig("nonsense"), ModelError);
  CHECK_THROWS_AS(DecodeConfig(EncodeConfig(config).substr(0, 40)), ModelError);
}

}  // namespace
}  // namespace cassiabend
