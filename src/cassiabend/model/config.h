#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "cassiabend/base/hash.h"
#include "cassiabend/base/time.h"
#include "cassiabend/model/version.h"

namespace cassiabend {

/// \brief A place of work whose neighbours may hold quiet-hour orders.
struct Site {
  std::string name;
  std::string team;
  /// Zone rule, such as "PST-08PDT,M3.2.0/02:00,M11.1.0/02:00".
  std::string time_zone;
  /// Version that last changed this item.
  VersionNumber revision = 0;

  [[nodiscard]] bool operator==(const Site&) const = default;
};

/// \brief A named group of upstreams.
struct Service {
  std::string name;
  std::string team;
  VersionNumber revision = 0;
  /// Path that an upstream answers health checks on; empty for the node's own
  /// setting.
  std::string health_path;

  [[nodiscard]] bool operator==(const Service&) const = default;
};

/// \brief One service of a route that spreads its calls over several.
struct RouteTarget {
  std::string service;
  /// Share of the calls, against the sum over the route's targets.
  std::uint32_t weight = 0;

  [[nodiscard]] bool operator==(const RouteTarget&) const = default;
};

/// \brief Whether a call may be run more than once.
enum class RepeatPolicy : std::uint8_t { kRepeatable, kOnce };

/// \brief Sends the calls that match to one service.
struct Route {
  std::string name;
  std::string team;
  /// Exact host name; empty matches every host.
  std::string host;
  std::string path_prefix;
  /// Exact method; empty matches every method.
  std::string method;
  /// Empty when `split` names the services.
  std::string service;
  /// Services that share the calls by weight; empty for `service` alone.
  std::vector<RouteTarget> split;
  /// Class for limits, shares and histograms.
  std::string request_class;
  RepeatPolicy repeat = RepeatPolicy::kOnce;
  Milliseconds timeout{0};
  /// Upstreams that one call may be sent to; 0 for the node's own setting.
  std::uint32_t max_attempts = 0;
  /// Time within which an answer is worth most; 0 for none.
  Milliseconds latency_objective{0};
  /// Rank of the calls; 0 is served first.
  std::uint32_t priority = 0;
  /// Whether the work must not run at a site during its quiet windows.
  bool noisy = false;
  /// Site of noisy work; empty when `site_header` names it per call.
  std::string site;
  std::string site_header;
  Seconds longest_job{0};
  VersionNumber revision = 0;

  [[nodiscard]] bool operator==(const Route&) const = default;
};

/// \brief A quiet window between two fixed times.
struct OnceSchedule {
  WallTime begin{};
  /// Exclusive.
  WallTime end{};

  [[nodiscard]] bool operator==(const OnceSchedule&) const = default;
};

/// \brief A quiet window that recurs on weekdays, in the site's local time.
struct WeeklySchedule {
  /// Bit 0 is Sunday, bit 6 is Saturday: the local day on which it begins.
  std::uint8_t weekdays = 0;
  /// After local midnight; inclusive.
  std::chrono::minutes from{0};
  /// Exclusive; at or before `from` it ends on the next day.
  std::chrono::minutes to{0};

  [[nodiscard]] bool operator==(const WeeklySchedule&) const = default;
};

/// \brief A time during which noisy work must not run at a site.
struct QuietWindow {
  std::string name;
  std::string team;
  std::string site;
  std::variant<OnceSchedule, WeeklySchedule> schedule;
  VersionNumber revision = 0;

  [[nodiscard]] bool operator==(const QuietWindow&) const = default;
};

/// \brief Bounds on what callers send and on how long they take. Zero stands
/// for the node's own setting.
struct CallerLimits {
  std::uint32_t max_header_bytes = 0;
  std::uint32_t max_body_bytes = 0;
  /// Longest time from a request's first byte to the end of its head.
  Milliseconds header_timeout{0};
  /// Time after which an idle connection of a caller is closed.
  Milliseconds idle_timeout{0};

  [[nodiscard]] bool operator==(const CallerLimits&) const = default;
};

/// \brief One whole version of the configuration. Lists are sorted by name and
/// names are unique within a list.
struct Config {
  VersionNumber number = 0;
  VersionNumber parent = 0;
  ChangeId change_id;
  std::string author;
  std::vector<Site> sites;
  std::vector<Service> services;
  std::vector<Route> routes;
  std::vector<QuietWindow> windows;
  CallerLimits limits;

  [[nodiscard]] bool operator==(const Config&) const = default;
};

}  // namespace cassiabend
