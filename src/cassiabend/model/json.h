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

/// \brief The JSON form of the model, as operators read and write it.
///
/// Reading allows comments and trailing commas and is strict otherwise: keys
/// that are not known, wrong types and values out of range throw `ModelError`
/// with the path of the field. Times are RFC 3339 text in UTC or milliseconds
/// since the Unix epoch; local times of weekly windows are "HH:MM".
[[nodiscard]] boost::json::value ToJson(const Site& site);
[[nodiscard]] boost::json::value ToJson(const Service& service);
[[nodiscard]] boost::json::value ToJson(const Route& route);
[[nodiscard]] boost::json::value ToJson(const QuietWindow& window);
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

/// \brief Reads a whole version. Its lists may be in any order.
[[nodiscard]] Config ParseConfigJson(std::string_view text);

/// \brief Reads the edits of an apply file: lists of items to put under
/// "sites", "services", "routes" and "windows", and names under "remove" by
/// the same keys. An item's "revision" is the one that its author saw: the
/// edit is refused if somebody else has changed the item since.
[[nodiscard]] std::vector<Edit> ParseEditsJson(std::string_view text);

/// \returns JSON text for people: indented, one field a line.
[[nodiscard]] std::string PrettyJson(const boost::json::value& value);

}  // namespace cassiabend
