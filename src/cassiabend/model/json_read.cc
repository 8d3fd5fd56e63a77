#include <algorithm>
#include <boost/json/array.hpp>
#include <optional>
#include <utility>

#include "cassiabend/base/error.h"
#include "cassiabend/model/json.h"
#include "cassiabend/model/json_object_reader.h"
#include "cassiabend/model/time_text.h"
#include "cassiabend/model/weekday_names.h"

namespace cassiabend {
namespace {

constexpr std::uint64_t kMaxUint32 = std::numeric_limits<std::uint32_t>::max();

WallTime ReadTime(JsonObjectReader* in, std::string_view key) {
  const boost::json::value* value = in->Field(key);
  if (value != nullptr && value->is_int64()) {
    return WallTime(Milliseconds(value->as_int64()));
  }
  if (value != nullptr && value->is_string()) {
    const auto time =
        ParseWallTime({value->as_string().data(), value->as_string().size()});
    if (time) {
      return *time;
    }
  }
  in->Fail(key,
           "it must be a time in UTC, such as \"2026-03-08T10:00:00Z\", or "
           "milliseconds since the Unix epoch");
}

std::chrono::minutes ReadTimeOfDay(JsonObjectReader* in, std::string_view key) {
  const auto minutes = ParseTimeOfDay(in->Text(key));
  if (!minutes) {
    in->Fail(key, "it must be a time of day, such as \"22:00\"");
  }
  return *minutes;
}

std::optional<unsigned> WeekdayIndex(std::string_view name) {
  for (unsigned i = 0; i < kWeekdayNames.size(); ++i) {
    if (name == kWeekdayNames.at(i) ||
        name == kWeekdayNames.at(i).substr(0, kShortWeekdayLength)) {
      return i;
    }
  }
  return std::nullopt;
}

std::uint8_t ReadWeekdays(JsonObjectReader* in, std::string_view key) {
  const boost::json::array* days = in->Array(key);
  if (days == nullptr || days->empty()) {
    in->Fail(key, "it must name at least one weekday");
  }
  unsigned out = 0;
  for (const boost::json::value& it : *days) {
    const boost::json::string* name = it.if_string();
    const auto index = name == nullptr
                           ? std::nullopt
                           : WeekdayIndex({name->data(), name->size()});
    if (!index) {
      in->Fail(key, "it must hold names of weekdays, such as \"monday\"");
    }
    out |= 1U << *index;
  }
  return static_cast<std::uint8_t>(out);
}

OnceSchedule ReadOnce(const boost::json::object& object,
                      const std::string& path) {
  JsonObjectReader in(object, path);
  const OnceSchedule out{.begin = ReadTime(&in, "begin"),
                         .end = ReadTime(&in, "end")};
  in.CheckAllRead();
  return out;
}

WeeklySchedule ReadWeekly(const boost::json::object& object,
                          const std::string& path) {
  JsonObjectReader in(object, path);
  const WeeklySchedule out{.weekdays = ReadWeekdays(&in, "days"),
                           .from = ReadTimeOfDay(&in, "from"),
                           .to = ReadTimeOfDay(&in, "to")};
  in.CheckAllRead();
  return out;
}

RepeatPolicy ReadRepeat(JsonObjectReader* in) {
  const std::string text = in->Text("repeat");
  if (text.empty() || text == "once") {
    return RepeatPolicy::kOnce;
  }
  if (text != "repeatable") {
    in->Fail("repeat", "it must be \"repeatable\" or \"once\"");
  }
  return RepeatPolicy::kRepeatable;
}

Id128 ReadId(JsonObjectReader* in, std::string_view key) {
  const std::string text = in->Text(key);
  Id128 out;
  if (!text.empty() && !FromHex(text, &out)) {
    in->Fail(key, "it must have 32 hexadecimal digits");
  }
  return out;
}

/// \brief Appends what `convert` makes of each text of a list.
/// \param rule What the texts must be, for errors.
template <typename Convert>
void ReadTexts(JsonObjectReader* in,
               std::string_view key,
               const char* rule,
               const Convert& convert) {
  const boost::json::array* texts = in->Array(key);
  if (texts == nullptr) {
    return;
  }
  for (const boost::json::value& it : *texts) {
    const boost::json::string* text = it.if_string();
    if (text == nullptr || !convert({text->data(), text->size()})) {
      in->Fail(key, rule);
    }
  }
}

/// \returns The digests of a team's keys, sorted. A key that is listed twice
/// counts once.
std::vector<KeyDigest> ReadKeyDigests(JsonObjectReader* in) {
  std::vector<KeyDigest> out;
  ReadTexts(in, "keys", "it must hold keys, which are not empty",
            [&out](std::string_view text) {
              out.push_back(DigestOfKey(text));
              return !text.empty();
            });
  ReadTexts(in, "key_digests", "it must hold texts of 32 hexadecimal digits",
            [&out](std::string_view text) {
              return FromHex(text, &out.emplace_back());
            });
  std::ranges::sort(out);
  out.erase(std::unique(out.begin(), out.end()), out.end());
  return out;
}

std::uint32_t ReadUint32(JsonObjectReader* in, std::string_view key) {
  return static_cast<std::uint32_t>(in->Number(key, kMaxUint32));
}

// The unnamed pointer selects the type of the entry.
Site ParseEntry(const boost::json::object& in, const std::string& path, Site*) {
  return ParseSite(in, path);
}
Service ParseEntry(const boost::json::object& in,
                   const std::string& path,
                   Service*) {
  return ParseService(in, path);
}
Route ParseEntry(const boost::json::object& in,
                 const std::string& path,
                 Route*) {
  return ParseRoute(in, path);
}
QuietWindow ParseEntry(const boost::json::object& in,
                       const std::string& path,
                       QuietWindow*) {
  return ParseWindow(in, path);
}
Team ParseEntry(const boost::json::object& in, const std::string& path, Team*) {
  return ParseTeam(in, path);
}

RouteTarget ParseEntry(const boost::json::object& object,
                       const std::string& path,
                       RouteTarget*) {
  JsonObjectReader in(object, path);
  RouteTarget out{.service = in.RequiredText("service"),
                  .weight = ReadUint32(&in, "weight")};
  in.CheckAllRead();
  return out;
}

CallerLimits ReadLimits(JsonObjectReader* parent) {
  const boost::json::object* object = parent->Object("limits");
  if (object == nullptr) {
    return {};
  }
  JsonObjectReader in(*object, "limits");
  CallerLimits out{
      .max_header_bytes = ReadUint32(&in, "max_header_bytes"),
      .max_body_bytes = ReadUint32(&in, "max_body_bytes"),
      .header_timeout =
          Milliseconds(in.Number("header_timeout_ms", kMaxUint32)),
      .idle_timeout = Milliseconds(in.Number("idle_timeout_ms", kMaxUint32))};
  in.CheckAllRead();
  return out;
}

/// \returns The path of one entry of a list, with its name if it has one and
/// else its index.
std::string PathOfEntry(std::string_view key,
                        std::size_t index,
                        const boost::json::value& entry) {
  std::string out(key);
  const boost::json::object* object = entry.if_object();
  const boost::json::value* name =
      object == nullptr ? nullptr : object->if_contains("name");
  out += '[';
  if (name != nullptr && name->is_string()) {
    out.append(name->as_string().data(), name->as_string().size());
  } else {
    out += std::to_string(index);
  }
  return out + ']';
}

template <typename Item>
std::vector<Item> ReadItems(JsonObjectReader* in, std::string_view key) {
  std::vector<Item> out;
  const boost::json::array* entries = in->Array(key);
  if (entries == nullptr) {
    return out;
  }
  for (std::size_t i = 0; i < entries->size(); ++i) {
    const boost::json::value& it = (*entries)[i];
    const std::string path = PathOfEntry(key, i, it);
    out.push_back(
        ParseEntry(AsObject(it, path), path, static_cast<Item*>(nullptr)));
  }
  return out;
}

template <typename Item>
std::vector<Item> ReadSortedItems(JsonObjectReader* in, std::string_view key) {
  std::vector<Item> out = ReadItems<Item>(in, key);
  std::ranges::stable_sort(out, {}, &Item::name);
  return out;
}

template <typename Item>
void ReadPuts(JsonObjectReader* in,
              std::string_view key,
              std::vector<Edit>* out) {
  for (Item& it : ReadItems<Item>(in, key)) {
    Edit& edit = out->emplace_back();
    if (it.revision != 0) {
      edit.expected_revision = it.revision;
    }
    it.revision = 0;
    edit.action = std::move(it);
  }
}

void ReadRemovals(JsonObjectReader* in,
                  std::string_view key,
                  ItemKind kind,
                  std::vector<Edit>* out) {
  const boost::json::array* names = in->Array(key);
  if (names == nullptr) {
    return;
  }
  for (const boost::json::value& it : *names) {
    if (!it.is_string()) {
      in->Fail(key, "it must hold names");
    }
    const boost::json::string& name = it.as_string();
    out->push_back(
        {.action = ItemRef{kind, std::string(name.data(), name.size())}});
  }
}

void ReadAllRemovals(JsonObjectReader* parent, std::vector<Edit>* out) {
  const boost::json::object* object = parent->Object("remove");
  if (object == nullptr) {
    return;
  }
  JsonObjectReader in(*object, "remove");
  ReadRemovals(&in, "teams", ItemKind::kTeam, out);
  ReadRemovals(&in, "windows", ItemKind::kWindow, out);
  ReadRemovals(&in, "routes", ItemKind::kRoute, out);
  ReadRemovals(&in, "services", ItemKind::kService, out);
  ReadRemovals(&in, "sites", ItemKind::kSite, out);
  in.CheckAllRead();
}

}  // namespace

Site ParseSite(const boost::json::object& object, const std::string& path) {
  JsonObjectReader in(object, path);
  Site out{.name = in.RequiredText("name"),
           .team = in.Text("team"),
           .time_zone = in.RequiredText("time_zone"),
           .revision = in.Number("revision")};
  in.CheckAllRead();
  return out;
}

Service ParseService(const boost::json::object& object,
                     const std::string& path) {
  JsonObjectReader in(object, path);
  Service out{.name = in.RequiredText("name"),
              .team = in.Text("team"),
              .revision = in.Number("revision"),
              .health_path = in.Text("health_path")};
  in.CheckAllRead();
  return out;
}

Route ParseRoute(const boost::json::object& object, const std::string& path) {
  JsonObjectReader in(object, path);
  Route out{.name = in.RequiredText("name"),
            .team = in.Text("team"),
            .host = in.Text("host"),
            .path_prefix = in.RequiredText("path_prefix"),
            .method = in.Text("method"),
            .service = in.Text("service"),
            .split = ReadItems<RouteTarget>(&in, "split"),
            .request_class = in.Text("request_class"),
            .repeat = ReadRepeat(&in),
            .timeout = Milliseconds(in.Number("timeout_ms", kMaxUint32)),
            .max_attempts = ReadUint32(&in, "max_attempts"),
            .latency_objective =
                Milliseconds(in.Number("latency_objective_ms", kMaxUint32)),
            .priority = ReadUint32(&in, "priority"),
            .noisy = in.Bool("noisy"),
            .site = in.Text("site"),
            .site_header = in.Text("site_header"),
            .longest_job = Seconds(in.Number("longest_job_s", kMaxUint32)),
            .is_public = in.Bool("public"),
            .revision = in.Number("revision")};
  in.CheckAllRead();
  return out;
}

QuietWindow ParseWindow(const boost::json::object& object,
                        const std::string& path) {
  JsonObjectReader in(object, path);
  QuietWindow out{.name = in.RequiredText("name"),
                  .team = in.Text("team"),
                  .site = in.RequiredText("site"),
                  .revision = in.Number("revision")};
  const boost::json::object* once = in.Object("once");
  const boost::json::object* weekly = in.Object("weekly");
  if ((once == nullptr) == (weekly == nullptr)) {
    in.Fail("once", "either this or \"weekly\" must be present, and not both");
  }
  if (once != nullptr) {
    out.schedule = ReadOnce(*once, in.PathOf("once"));
  } else {
    out.schedule = ReadWeekly(*weekly, in.PathOf("weekly"));
  }
  in.CheckAllRead();
  return out;
}

Team ParseTeam(const boost::json::object& object, const std::string& path) {
  JsonObjectReader in(object, path);
  Team out{.name = in.RequiredText("name"),
           .team = in.Text("team"),
           .key_digests = ReadKeyDigests(&in),
           .priority = in.Has("priority")
                           ? std::optional(ReadUint32(&in, "priority"))
                           : std::nullopt,
           .rate_per_1000s = in.Number("rate_per_1000s"),
           .burst = ReadUint32(&in, "burst"),
           .revision = in.Number("revision")};
  in.CheckAllRead();
  return out;
}

Config ParseConfigJson(std::string_view text) {
  const boost::json::value value = ParseJsonText(text);
  JsonObjectReader in(AsObject(value, "configuration"), "");
  Config out{.number = in.Number("number"),
             .parent = in.Number("parent"),
             .change_id = ReadId(&in, "change_id"),
             .author = in.Text("author"),
             .sites = ReadSortedItems<Site>(&in, "sites"),
             .services = ReadSortedItems<Service>(&in, "services"),
             .routes = ReadSortedItems<Route>(&in, "routes"),
             .windows = ReadSortedItems<QuietWindow>(&in, "windows"),
             .limits = ReadLimits(&in),
             .teams = ReadSortedItems<Team>(&in, "teams")};
  in.CheckAllRead();
  return out;
}

std::vector<Edit> ParseEditsJson(std::string_view text) {
  const boost::json::value value = ParseJsonText(text);
  JsonObjectReader in(AsObject(value, "edits"), "");
  std::vector<Edit> out;
  ReadPuts<Site>(&in, "sites", &out);
  ReadPuts<Service>(&in, "services", &out);
  ReadPuts<Route>(&in, "routes", &out);
  ReadPuts<QuietWindow>(&in, "windows", &out);
  ReadPuts<Team>(&in, "teams", &out);
  ReadAllRemovals(&in, &out);
  in.CheckAllRead();
  return out;
}

}  // namespace cassiabend
