#include "cassiabend/model/snapshot.h"

#include <algorithm>
#include <utility>

#include "cassiabend/base/error.h"
#include "cassiabend/model/codec.h"
#include "cassiabend/model/items.h"
#include "cassiabend/model/packed.h"
#include "cassiabend/model/quiet_calendar.h"
#include "cassiabend/model/validate.h"

namespace cassiabend {
namespace {

/// Step by which the search for the end of a quiet time is extended.
constexpr std::chrono::days kQuietSearchStep{8};
/// The search stops once it extends further than this beyond the work.
constexpr std::chrono::days kMaxQuietSearch{400};

bool Matches(const Route& route, const RouteQuery& query) noexcept {
  if (!query.team.empty() && !route.team.empty() && route.team != query.team) {
    return false;
  }
  return route.method.empty() || route.method == query.method;
}

/// \param ranges Merged ranges in order.
/// \returns The end of the last range that overlaps [from, to).
std::optional<WallTime> EndOfLastOverlap(const std::vector<TimeRange>& ranges,
                                         WallTime from,
                                         WallTime to) {
  std::optional<WallTime> out;
  for (const TimeRange& it : ranges) {
    if (it.end > from && it.begin < to) {
      out = it.end;
    }
  }
  return out;
}

}  // namespace

Snapshot::Snapshot(Config config, std::string packed)
    : config_(std::move(config)), packed_(std::move(packed)) {
  const std::vector<Violation> violations = Validate(config_);
  if (!violations.empty()) {
    throw ModelError("the configuration is not valid", violations.front().path,
                     violations.front().reason);
  }
  mark_ = MarkOf(config_);
  std::map<std::string, std::vector<const Route*>> routes;
  for (const Route& it : config_.routes) {
    routes[it.host].push_back(&it);
  }
  for (auto& [host, list] : routes) {
    routes_by_host_.emplace(host, RouteTable(std::move(list)));
  }
  for (const QuietWindow& it : config_.windows) {
    auto found = calendars_by_site_.find(it.site);
    if (found == calendars_by_site_.end()) {
      const TimeZone zone(SiteByName(it.site)->time_zone);
      found = calendars_by_site_.emplace(it.site, SiteCalendar{zone, {}}).first;
    }
    found->second.windows.push_back(&it);
  }
  for (const Team& team : config_.teams) {
    for (const KeyDigest& it : team.key_digests) {
      teams_by_key_.emplace(it, &team);
    }
  }
}

const std::string& Snapshot::packed() const {
  return packed_.Get([this] { return Compress(EncodeConfig(config_)); });
}

RefPtr<const Snapshot> Snapshot::Unpack(std::string packed) {
  Config config = DecodeConfig(UnpackBytes(packed, "config"));
  return RefPtr<const Snapshot>(
      new Snapshot(std::move(config), std::move(packed)));
}

const Route* Snapshot::FindRoute(const RouteQuery& query) const noexcept {
  const auto accept = [&query](const Route& it) { return Matches(it, query); };
  for (const std::string_view host : {query.host, std::string_view()}) {
    const auto found = routes_by_host_.find(host);
    if (found == routes_by_host_.end()) {
      continue;
    }
    if (const Route* route = found->second.Find(query.path, accept)) {
      return route;
    }
  }
  return nullptr;
}

const Route* Snapshot::RouteByName(std::string_view name) const noexcept {
  return FindItem(config_.routes, name);
}

const Service* Snapshot::ServiceByName(std::string_view name) const noexcept {
  return FindItem(config_.services, name);
}

std::string Snapshot::HealthPathOf(std::string_view service) const {
  const Service* found = ServiceByName(service);
  return found == nullptr ? std::string() : found->health_path;
}

const Site* Snapshot::SiteByName(std::string_view name) const noexcept {
  return FindItem(config_.sites, name);
}

const Team* Snapshot::TeamByName(std::string_view name) const noexcept {
  return FindItem(config_.teams, name);
}

const Team* Snapshot::TeamByKey(const KeyDigest& key) const noexcept {
  const auto found = teams_by_key_.find(key);
  return found == teams_by_key_.end() ? nullptr : found->second;
}

std::optional<WallTime> Snapshot::QuietUntil(std::string_view site,
                                             WallTime from,
                                             WallTime to) const {
  const auto found = calendars_by_site_.find(site);
  if (found == calendars_by_site_.end()) {
    return std::nullopt;
  }
  WallTime limit = to + kQuietSearchStep;
  for (;;) {
    std::vector<TimeRange> ranges;
    for (const QuietWindow* it : found->second.windows) {
      const auto own = QuietRanges(*it, found->second.zone, from, limit);
      ranges.insert(ranges.end(), own.begin(), own.end());
    }
    const auto end = EndOfLastOverlap(MergeRanges(std::move(ranges)), from, to);
    // A quiet time that reaches the end of the search may go on beyond it.
    if (!end || *end < limit || limit - to > kMaxQuietSearch) {
      return end;
    }
    limit = *end + kQuietSearchStep;
  }
}

}  // namespace cassiabend
