#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "cassiabend/model/change.h"
#include "cassiabend/model/config.h"
#include "cassiabend/model/head.h"

namespace cassiabend {

/// \brief The JSON form of the model, which operators read and write.
///
/// Parsing allows comments and trailing commas and is strict otherwise: unknown
/// keys, wrong types and values out of range throw `ModelError` with the path
/// of the field. Times are RFC 3339 strings in UTC or milliseconds since the
/// Unix epoch; times of day in weekly windows are "HH:MM" in local time.
[[nodiscard]] boost::json::value ToJson(const Site& site);
[[nodiscard]] boost::json::value ToJson(const Service& service);
[[nodiscard]] boost::json::value ToJson(const Route& route);
[[nodiscard]] boost::json::value ToJson(const QuietWindow& window);
[[nodiscard]] boost::json::value ToJson(const Team& team);
[[nodiscard]] boost::json::value ToJson(const Config& config);
[[nodiscard]] boost::json::value ToJson(const HistoryEntry& entry);

/// \param path Path of the object, for errors.
[[nodiscard]] Site ParseSite(const boost::json::object& in,
                             const std::string& path = "site");
[[nodiscard]] Service ParseService(const boost::json::object& in,
                                   const std::string& path = "service");
[[nodiscard]] Route ParseRoute(const boost::json::object& in,
                               const std::string& path = "route");
[[nodiscard]] QuietWindow ParseWindow(const boost::json::object& in,
                                      const std::string& path = "window");
/// \brief Parses a team. Its keys are given as "keys", in plain, or as
/// "key_digests", or both; only their digests are kept.
[[nodiscard]] Team ParseTeam(const boost::json::object& in,
                             const std::string& path = "team");

/// \brief Parses a full version. Its lists may be in any order.
[[nodiscard]] Config ParseConfigJson(std::string_view text);

/// \brief Parses the edits of an apply file. "sites", "services", "routes",
/// "windows" and "teams" list the items to add or replace; "remove" holds lists
/// of names under the same keys. The "revision" of an item is the one that its
/// author saw: the edit is refused if the item has changed since.
[[nodiscard]] std::vector<Edit> ParseEditsJson(std::string_view text);

/// \returns Indented JSON with one field per line, ending in a newline.
[[nodiscard]] std::string PrettyJson(const boost::json::value& value);

}  // namespace cassiabend
