#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cassiabend/base/ref_counted.h"
#include "cassiabend/model/config.h"
#include "cassiabend/model/lazy_encoding.h"
#include "cassiabend/model/route_table.h"
#include "cassiabend/model/time_zone.h"
#include "cassiabend/model/version.h"

namespace cassiabend {

/// \brief The properties of a call that routes match.
struct RouteQuery {
  /// Empty when the caller names no team.
  std::string_view team;
  std::string_view host;
  std::string_view path;
  std::string_view method;
};

/// \brief One full, valid version of the configuration with its indexes.
/// Immutable, so that calls on all threads share it.
class Snapshot final : public RefCounted<Snapshot> {
 public:
  /// \throws ModelError when `config` is not valid.
  explicit Snapshot(Config config) : Snapshot(std::move(config), {}) {}
  Snapshot(const Snapshot&) = delete;
  Snapshot& operator=(const Snapshot&) = delete;

  [[nodiscard]] const Config& config() const noexcept { return config_; }
  [[nodiscard]] const VersionMark& mark() const noexcept { return mark_; }
  /// \returns The encoded configuration, compressed.
  [[nodiscard]] const std::string& packed() const;
  /// \param packed Result of `packed()`.
  /// \throws ModelError when `packed` cannot be decoded or its content is not
  /// valid.
  [[nodiscard]] static RefPtr<const Snapshot> Unpack(std::string packed);

  /// \returns The most specific route that matches: an exact host takes
  /// precedence over any host, then the longer path prefix, then an exact
  /// method over any method. Null when none matches.
  [[nodiscard]] const Route* FindRoute(const RouteQuery& query) const noexcept;

  [[nodiscard]] const Route* RouteByName(std::string_view name) const noexcept;
  [[nodiscard]] const Service* ServiceByName(
      std::string_view name) const noexcept;
  /// \returns The health path of the service; empty when it has none or there
  /// is no such service.
  [[nodiscard]] std::string HealthPathOf(std::string_view service) const;
  [[nodiscard]] const Site* SiteByName(std::string_view name) const noexcept;
  /// \returns Whether callers identify their team by a key.
  [[nodiscard]] bool has_teams() const noexcept {
    return !config_.teams.empty();
  }
  [[nodiscard]] const Team* TeamByName(std::string_view name) const noexcept;
  /// \returns The team that has the key, or null.
  [[nodiscard]] const Team* TeamByKey(const KeyDigest& key) const noexcept;

  /// \brief Checks work that runs at `site` during [from, to) against the quiet
  /// windows of the site.
  /// \returns The end of the quiet time that the work overlaps, where adjoining
  /// windows count as one; if it overlaps several, the end of the last. Unset
  /// when it overlaps none. The search for the end stops after 400 days.
  [[nodiscard]] std::optional<WallTime> QuietUntil(std::string_view site,
                                                   WallTime from,
                                                   WallTime to) const;

 private:
  Snapshot(Config config, std::string packed);

  /// \brief The quiet windows of one site.
  struct SiteCalendar {
    TimeZone zone;
    std::vector<const QuietWindow*> windows;
  };

  Config config_;
  VersionMark mark_;
  LazyEncoding packed_;
  /// Routes by host; "" holds the routes for any host.
  std::map<std::string, RouteTable, std::less<>> routes_by_host_;
  std::map<std::string, SiteCalendar, std::less<>> calendars_by_site_;
  std::unordered_map<KeyDigest, const Team*, Id128Hasher> teams_by_key_;
};

}  // namespace cassiabend
