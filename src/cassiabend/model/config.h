#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cassiabend/base/hash.h"
#include "cassiabend/base/time.h"
#include "cassiabend/model/key_digest.h"
#include "cassiabend/model/version.h"

namespace cassiabend {

/// \brief A physical location where work runs. Its neighbours may have a right
/// to quiet hours, during which noisy work must not run.
struct Site {
  std::string name;
  std::string team;
  /// Time zone rule, such as "PST-08PDT,M3.2.0/02:00,M11.1.0/02:00"; see
  /// `TimeZone`.
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
  /// Path at which upstreams answer health checks; empty for the path in the
  /// node's settings.
  std::string health_path;

  [[nodiscard]] bool operator==(const Service&) const = default;
};

/// \brief One service of a route that splits its calls between several.
struct RouteTarget {
  std::string service;
  /// Share of the calls, relative to the sum over the route's targets.
  std::uint32_t weight = 0;

  [[nodiscard]] bool operator==(const RouteTarget&) const = default;
};

/// \brief Whether a call may be executed more than once.
enum class RepeatPolicy : std::uint8_t { kRepeatable, kOnce };

/// \brief Matches calls by host, path and method, and sends them to a service
/// or splits them between several.
struct Route {
  std::string name;
  std::string team;
  /// Exact host name; empty matches every host.
  std::string host;
  std::string path_prefix;
  /// Exact method; empty matches every method.
  std::string method;
  /// Target service; empty when `split` names the services.
  std::string service;
  /// Services that share the calls by weight; empty when `service` gets all.
  std::vector<RouteTarget> split;
  /// Class by which limits, capacity shares and histograms group calls.
  std::string request_class;
  RepeatPolicy repeat = RepeatPolicy::kOnce;
  Milliseconds timeout{0};
  /// Most upstreams that one call may be sent to; 0 for the limit in the node's
  /// settings.
  std::uint32_t max_attempts = 0;
  /// Latency up to which an answer keeps its full worth; 0 for none.
  Milliseconds latency_objective{0};
  /// Priority of the calls; 0 is served first.
  std::uint32_t priority = 0;
  /// Whether the work must not run during the quiet windows of its site.
  bool noisy = false;
  /// Site of noisy work; empty when `site_header` names it per call.
  std::string site;
  /// Name of the request header that names the site.
  std::string site_header;
  /// Upper bound of how long a job of a noisy call runs.
  Seconds longest_job{0};
  /// Whether calls need no key, where the configuration has teams.
  bool is_public = false;
  VersionNumber revision = 0;

  [[nodiscard]] bool operator==(const Route&) const = default;
};

/// \brief A group of callers. If a configuration has teams, callers of a route
/// that is not public identify their team by one of its keys.
struct Team {
  std::string name;
  /// Team whose operators may change this item; empty for operators of all
  /// teams.
  std::string team;
  /// Digests of the team's keys (`DigestOfKey`), sorted. The keys themselves
  /// are not stored.
  std::vector<KeyDigest> key_digests;
  /// Priority of the team's calls, which outranks that of their routes; 0 is
  /// served first.
  std::optional<std::uint32_t> priority;
  /// Calls per 1,000 s that the team may make, over all nodes; 0 for no limit.
  std::uint64_t rate_per_1000s = 0;
  /// Calls beyond the rate that the team may save up, over all nodes.
  std::uint32_t burst = 0;
  VersionNumber revision = 0;

  [[nodiscard]] bool operator==(const Team&) const = default;
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
  /// Time of day in local time; inclusive.
  std::chrono::minutes from{0};
  /// Time of day in local time; exclusive. A value not above `from` is on the
  /// next day.
  std::chrono::minutes to{0};

  [[nodiscard]] bool operator==(const WeeklySchedule&) const = default;
};

/// \brief A period during which noisy work must not run at a site.
struct QuietWindow {
  std::string name;
  std::string team;
  std::string site;
  std::variant<OnceSchedule, WeeklySchedule> schedule;
  VersionNumber revision = 0;

  [[nodiscard]] bool operator==(const QuietWindow&) const = default;
};

/// \brief Limits on the requests and connections of callers. 0 means the value
/// in the node's settings.
struct CallerLimits {
  std::uint32_t max_header_bytes = 0;
  std::uint32_t max_body_bytes = 0;
  /// Longest time from the first byte of a request to the end of its headers.
  Milliseconds header_timeout{0};
  /// Time after which an idle connection from a caller is closed.
  Milliseconds idle_timeout{0};

  [[nodiscard]] bool operator==(const CallerLimits&) const = default;
};

/// \brief One full version of the configuration. Lists are sorted by name, and
/// names are unique within a list.
struct Config {
  VersionNumber number = 0;
  /// Version that this one was made from; 0 for none.
  VersionNumber parent = 0;
  ChangeId change_id;
  std::string author;
  std::vector<Site> sites;
  std::vector<Service> services;
  std::vector<Route> routes;
  std::vector<QuietWindow> windows;
  CallerLimits limits;
  std::vector<Team> teams;

  [[nodiscard]] bool operator==(const Config&) const = default;
};

}  // namespace cassiabend
