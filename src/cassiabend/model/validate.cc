#include "cassiabend/model/validate.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>

#include "cassiabend/model/items.h"
#include "cassiabend/model/quiet_calendar.h"

namespace cassiabend {
namespace {

constexpr std::size_t kMaxNameBytes = 128;
constexpr std::size_t kMaxTextBytes = 1024;
constexpr std::size_t kMaxItemsPerKind = 20'000;
constexpr Seconds kMaxLongestJob = std::chrono::hours(24);
constexpr std::chrono::minutes kDay = std::chrono::hours(24);
constexpr std::uint8_t kAllWeekdays = 0x7F;
constexpr WallTime kLastWallTime{std::chrono::sys_days(
    std::chrono::year(9999) / std::chrono::December / 31)};

bool IsNameChar(char c) noexcept {
  return (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z') ||
         (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
}

/// \brief Collects the violations of one configuration.
class Validator {
 public:
  explicit Validator(const Config& config) : config_(config) {}

  std::vector<Violation> Run() {
    CheckList<Site>();
    CheckList<Service>();
    CheckList<Route>();
    CheckList<QuietWindow>();
    CheckList<Team>();
    CheckOverlaps();
    CheckKeys();
    return std::move(out_);
  }

 private:
  void Add(const ItemRef& item, std::string_view field, std::string reason) {
    std::string path = PathOf(item);
    if (!field.empty()) {
      path.append(".").append(field);
    }
    out_.push_back({std::move(path), std::move(reason)});
  }

  template <typename Item>
  void CheckList() {
    const std::vector<Item>& items = ItemsOf<Item>(config_);
    if (items.size() > kMaxItemsPerKind) {
      std::string path = PathOf({kKindOf<Item>, ""});
      path.resize(path.find('['));
      out_.push_back(
          {std::move(path),
           "more than " + std::to_string(kMaxItemsPerKind) + " items"});
      return;
    }
    const Item* previous = nullptr;
    for (const Item& it : items) {
      CheckCommon(it, previous);
      Check({kKindOf<Item>, it.name}, it);
      previous = &it;
    }
  }

  template <typename Item>
  void CheckCommon(const Item& item, const Item* previous) {
    const ItemRef ref{kKindOf<Item>, item.name};
    if (!IsItemName(item.name)) {
      Add(ref, "name", kNameRule);
    }
    if (!item.team.empty() && !IsItemName(item.team)) {
      Add(ref, "team", kNameRule);
    }
    if (item.revision > config_.number) {
      Add(ref, "revision", "it is above the version's number");
    }
    if (previous == nullptr || previous->name < item.name) {
      return;
    }
    Add(ref, "name",
        previous->name == item.name ? "it occurs twice"
                                    : "the list is not sorted by name");
  }

  void Check(const ItemRef& ref, const Site& site) {
    if (!IsTimeZoneRule(site.time_zone)) {
      Add(ref, "time_zone", "not a time zone rule: \"" + site.time_zone + "\"");
    }
  }

  void Check(const ItemRef& ref, const Service& service) {
    if (!service.health_path.empty() && service.health_path.front() != '/') {
      Add(ref, "health_path", "it must start with \"/\"");
    }
  }

  void Check(const ItemRef& ref, const Route& route) {
    CheckMatch(ref, route);
    CheckTarget(ref, route);
    if (route.timeout < kMinTimeout || route.timeout > kMaxTimeout) {
      Add(ref, "timeout", "it must be from 1 ms to 10 min");
    }
    if (!route.request_class.empty() && !IsItemName(route.request_class)) {
      Add(ref, "request_class", kNameRule);
    }
    CheckNoisyFields(ref, route);
  }

  void CheckMatch(const ItemRef& ref, const Route& route) {
    if (!route.path_prefix.starts_with('/')) {
      Add(ref, "path_prefix", "it must start with \"/\"");
    }
    for (const auto& [field, text] :
         {std::pair<const char*, const std::string&>("host", route.host),
          {"path_prefix", route.path_prefix},
          {"method", route.method}}) {
      if (text.size() > kMaxTextBytes) {
        Add(ref, field, "longer than 1024 bytes");
      }
    }
  }

  void CheckTarget(const ItemRef& ref, const Route& route) {
    if (route.split.empty()) {
      CheckService(ref, "service", route, route.service);
      return;
    }
    if (!route.service.empty()) {
      Add(ref, "service", "a route has either a service or a split, not both");
    }
    std::uint64_t weights = 0;
    for (const RouteTarget& it : route.split) {
      CheckService(ref, "split", route, it.service);
      weights += it.weight;
    }
    if (weights == 0) {
      Add(ref, "split", "at least one weight must be above 0");
    }
  }

  void CheckService(const ItemRef& ref,
                    std::string_view field,
                    const Route& route,
                    const std::string& name) {
    const Service* service = FindItem(config_.services, name);
    if (service == nullptr) {
      Add(ref, field, "there is no service called \"" + name + "\"");
      return;
    }
    if (!service->team.empty() && service->team != route.team) {
      Add(ref, "team",
          "the service belongs to the team \"" + service->team + "\"");
    }
  }

  void CheckNoisyFields(const ItemRef& ref, const Route& route) {
    if (!route.site.empty() && FindItem(config_.sites, route.site) == nullptr) {
      Add(ref, "site", "there is no site called \"" + route.site + "\"");
    }
    if (!route.site_header.empty() && !IsItemName(route.site_header)) {
      Add(ref, "site_header", kNameRule);
    }
    if (route.longest_job < Seconds(0) || route.longest_job > kMaxLongestJob) {
      Add(ref, "longest_job", "it must be at most 24 h");
    }
    if (!route.noisy) {
      return;
    }
    if (route.site.empty() && route.site_header.empty()) {
      Add(ref, "site", "a noisy route needs a site or a site header");
    }
    if (route.longest_job == Seconds(0)) {
      Add(ref, "longest_job", "a noisy route needs a longest job above 0");
    }
  }

  void Check(const ItemRef& ref, const QuietWindow& window) {
    if (FindItem(config_.sites, window.site) == nullptr) {
      Add(ref, "site", "there is no site called \"" + window.site + "\"");
    }
    if (const auto* once = std::get_if<OnceSchedule>(&window.schedule)) {
      if (once->begin >= once->end) {
        Add(ref, "schedule.end", "it must be after the beginning");
      }
      if (once->begin < WallTime() || once->end > kLastWallTime) {
        Add(ref, "schedule", "it must lie in the years 1970 to 9999");
      }
      return;
    }
    CheckWeekly(ref, std::get<WeeklySchedule>(window.schedule));
  }

  void CheckWeekly(const ItemRef& ref, const WeeklySchedule& weekly) {
    if (weekly.weekdays == 0 || weekly.weekdays > kAllWeekdays) {
      Add(ref, "schedule.weekdays", "it must name at least one weekday");
    }
    if (weekly.from < std::chrono::minutes(0) || weekly.from >= kDay) {
      Add(ref, "schedule.from", "it must be before 24:00");
    }
    if (weekly.to < std::chrono::minutes(0) || weekly.to >= kDay) {
      Add(ref, "schedule.to", "it must be before 24:00");
    }
  }

  void Check(const ItemRef& ref, const Team& team) {
    if (!std::ranges::is_sorted(team.key_digests)) {
      Add(ref, "key_digests", "the list is not sorted");
    }
    if (team.rate_per_1000s > kMaxRatePer1000s) {
      Add(ref, "rate_per_1000s", "it must be at most 1,000,000,000,000");
    }
    if (team.rate_per_1000s == 0 && team.burst != 0) {
      Add(ref, "burst", "a team without a rate has no burst");
    }
  }

  /// \brief Checks that no key identifies two teams.
  void CheckKeys() {
    std::unordered_map<KeyDigest, const Team*, Id128Hasher> owners;
    for (const Team& team : config_.teams) {
      for (const KeyDigest& it : team.key_digests) {
        const auto [found, added] = owners.emplace(it, &team);
        if (!added) {
          Add({ItemKind::kTeam, team.name}, "key_digests",
              "the key " + ToHex(it) + " also belongs to the team \"" +
                  found->second->name + "\"");
        }
      }
    }
  }

  void CheckOverlaps() {
    using Match =
        std::tuple<std::string_view, std::string_view, std::string_view>;
    std::map<Match, const Route*> matches;
    for (const Route& it : config_.routes) {
      const auto [found, added] =
          matches.emplace(Match(it.host, it.path_prefix, it.method), &it);
      if (!added) {
        Add({ItemKind::kRoute, it.name}, "path_prefix",
            "the route \"" + found->second->name +
                "\" has the same host, path_prefix and method");
      }
    }
  }

  static constexpr char kNameRule[] =
      "it must have 1 to 128 characters out of A-Z a-z 0-9 . _ -";

  const Config& config_;
  std::vector<Violation> out_;
};

}  // namespace

bool IsItemName(std::string_view text) noexcept {
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::ranges::all_of(text, IsNameChar);
}

std::vector<Violation> Validate(const Config& config) {
  return Validator(config).Run();
}

}  // namespace cassiabend
