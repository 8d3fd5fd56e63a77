#pragma once

#include <string>
#include <vector>

#include "cassiabend/model/change.h"
#include "cassiabend/model/config.h"

namespace cassiabend::testing {

inline constexpr char kSeattleTimeZone[] =
    "PST-08PDT,M3.2.0/02:00,M11.1.0/02:00";

inline Service ServiceOf(const std::string& name) {
  return {.name = name};
}

inline Route RouteTo(const std::string& name, const std::string& service) {
  return {.name = name,
          .team = "club",
          .path_prefix = "/" + name,
          .service = service,
          .request_class = "status",
          .timeout = Seconds(2)};
}

inline QuietWindow NightWindow(const std::string& name,
                               const std::string& site) {
  return {.name = name,
          .team = "club",
          .site = site,
          .schedule = WeeklySchedule{.weekdays = 0x7F,
                                     .from = std::chrono::hours(22),
                                     .to = std::chrono::hours(7)}};
}

/// \returns A valid version with one item of each kind and a noisy route.
inline Config SmallConfig() {
  Route print = RouteTo("print", "orders");
  print.noisy = true;
  print.site = "press";
  print.longest_job = Seconds(600);
  return {.number = 3,
          .parent = 2,
          .change_id = {1, 2},
          .author = "ops",
          .sites = {{"press", "club", kSeattleTimeZone, 1}},
          .services = {{"catalog", "", 1}, {"orders", "club", 2}},
          .routes = {print, RouteTo("status", "catalog")},
          .windows = {NightWindow("night", "press")}};
}

inline Change ChangeOf(std::uint64_t id, std::vector<Edit> edits) {
  return {.id = {id, 1}, .author = "ops", .edits = std::move(edits)};
}

}  // namespace cassiabend::testing
