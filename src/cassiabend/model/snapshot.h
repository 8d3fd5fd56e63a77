#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cassiabend/base/ref_counted.h"
#include "cassiabend/model/config.h"
#include "cassiabend/model/lazy_encoding.h"
#include "cassiabend/model/route_table.h"
#include "cassiabend/model/time_zone.h"
#include "cassiabend/model/version.h"

namespace cassiabend {

/// \brief What a call is matched by.
struct RouteQuery {
  /// Empty when the caller names no team.
  std::string_view team;
  std::string_view host;
  std::string_view path;
  std::string_view method;
};

/// \brief One whole version with its indexes. Immutable; calls share it.
class Snapshot final : public RefCounted<Snapshot> {
 public:
  /// \throws ModelError when `config` breaks a rule of the model.
  explicit Snapshot(Config config) : Snapshot(std::move(config), {}) {}
  Snapshot(const Snapshot&) = delete;
  Snapshot& operator=(const Snapshot&) = delete;

  [[nodiscard]] const Config& config() const noexcept { return config_; }
  [[nodiscard]] const VersionMark& mark() const noexcept { return mark_; }
  /// \returns The encoded configuration, compressed.
  [[nodiscard]] const std::string& packed() const;
  /// \brief Reads the form that `packed()` has.
  /// \throws ModelError when `packed` is no such form, or breaks a rule.
  [[nodiscard]] static RefPtr<const Snapshot> Unpack(std::string packed);

  /// \returns The most specific route that matches: an exact host goes before
  /// any host, then the longer path prefix, then an exact method before any
  /// method. Null when none matches.
  [[nodiscard]] const Route* FindRoute(const RouteQuery& query) const noexcept;

  [[nodiscard]] const Route* RouteByName(std::string_view name) const noexcept;
  [[nodiscard]] const Service* ServiceByName(
      std::string_view name) const noexcept;
  /// \returns The service's health path; empty when it states none.
  [[nodiscard]] std::string HealthPathOf(std::string_view service) const;
  [[nodiscard]] const Site* SiteByName(std::string_view name) const noexcept;

  /// \brief Whether work at `site` would touch a quiet window in [from, to).
  /// \returns When the last window of the run of windows that it touches ends;
  /// unset when it touches none.
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
  /// Routes of each host; "" holds those of any host.
  std::map<std::string, RouteTable, std::less<>> routes_by_host_;
  std::map<std::string, SiteCalendar, std::less<>> calendars_by_site_;
};

}  // namespace cassiabend
