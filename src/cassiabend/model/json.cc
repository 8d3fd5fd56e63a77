#include "cassiabend/model/json.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

#include "cassiabend/model/time_text.h"
#include "cassiabend/model/weekday_names.h"

namespace cassiabend {
namespace {

void SetUnlessZero(std::string_view key,
                   std::int64_t n,
                   boost::json::object* out) {
  if (n != 0) {
    (*out)[key] = n;
  }
}

void SetUnlessEmpty(std::string_view key,
                    const std::string& text,
                    boost::json::object* out) {
  if (!text.empty()) {
    (*out)[key] = text;
  }
}

boost::json::value ToJson(const RouteTarget& target) {
  return {{"service", target.service}, {"weight", target.weight}};
}

template <typename Item>
boost::json::array ListToJson(const std::vector<Item>& items) {
  boost::json::array out;
  for (const Item& it : items) {
    out.push_back(ToJson(it));
  }
  return out;
}

boost::json::value ToJson(const CallerLimits& limits) {
  boost::json::object out;
  SetUnlessZero("max_header_bytes", limits.max_header_bytes, &out);
  SetUnlessZero("max_body_bytes", limits.max_body_bytes, &out);
  SetUnlessZero("header_timeout_ms", limits.header_timeout.count(), &out);
  SetUnlessZero("idle_timeout_ms", limits.idle_timeout.count(), &out);
  return out;
}

boost::json::value ToJson(const OnceSchedule& once) {
  return {{"begin", FormatWallTime(once.begin)},
          {"end", FormatWallTime(once.end)}};
}

boost::json::value ToJson(const WeeklySchedule& weekly) {
  boost::json::array days;
  for (std::size_t i = 0; i < kWeekdayNames.size(); ++i) {
    if (((weekly.weekdays >> i) & 1U) != 0) {
      days.emplace_back(kWeekdayNames.at(i).substr(0, kShortWeekdayLength));
    }
  }
  return {{"days", std::move(days)},
          {"from", FormatTimeOfDay(weekly.from)},
          {"to", FormatTimeOfDay(weekly.to)}};
}

}  // namespace

boost::json::value ToJson(const Site& site) {
  boost::json::object out{{"name", site.name}};
  SetUnlessEmpty("team", site.team, &out);
  SetUnlessEmpty("time_zone", site.time_zone, &out);
  out["revision"] = site.revision;
  return out;
}

boost::json::value ToJson(const Service& service) {
  boost::json::object out{{"name", service.name}};
  SetUnlessEmpty("team", service.team, &out);
  SetUnlessEmpty("health_path", service.health_path, &out);
  out["revision"] = service.revision;
  return out;
}

boost::json::value ToJson(const Route& route) {
  boost::json::object out{{"name", route.name}};
  SetUnlessEmpty("team", route.team, &out);
  SetUnlessEmpty("host", route.host, &out);
  SetUnlessEmpty("path_prefix", route.path_prefix, &out);
  SetUnlessEmpty("method", route.method, &out);
  SetUnlessEmpty("service", route.service, &out);
  if (!route.split.empty()) {
    out["split"] = ListToJson(route.split);
  }
  SetUnlessEmpty("request_class", route.request_class, &out);
  out["repeat"] =
      route.repeat == RepeatPolicy::kRepeatable ? "repeatable" : "once";
  out["timeout_ms"] = route.timeout.count();
  SetUnlessZero("max_attempts", route.max_attempts, &out);
  SetUnlessZero("latency_objective_ms", route.latency_objective.count(), &out);
  SetUnlessZero("priority", route.priority, &out);
  if (route.noisy) {
    out["noisy"] = true;
  }
  SetUnlessEmpty("site", route.site, &out);
  SetUnlessEmpty("site_header", route.site_header, &out);
  if (route.longest_job != Seconds(0)) {
    out["longest_job_s"] = route.longest_job.count();
  }
  if (route.is_public) {
    out["public"] = true;
  }
  out["revision"] = route.revision;
  return out;
}

boost::json::value ToJson(const QuietWindow& window) {
  boost::json::object out{{"name", window.name}};
  SetUnlessEmpty("team", window.team, &out);
  SetUnlessEmpty("site", window.site, &out);
  if (const auto* once = std::get_if<OnceSchedule>(&window.schedule)) {
    out["once"] = ToJson(*once);
  } else {
    out["weekly"] = ToJson(std::get<WeeklySchedule>(window.schedule));
  }
  out["revision"] = window.revision;
  return out;
}

boost::json::value ToJson(const Team& team) {
  boost::json::object out{{"name", team.name}};
  SetUnlessEmpty("team", team.team, &out);
  boost::json::array digests;
  for (const KeyDigest& it : team.key_digests) {
    digests.emplace_back(ToHex(it));
  }
  out["key_digests"] = std::move(digests);
  if (team.priority) {
    out["priority"] = *team.priority;
  }
  if (team.rate_per_1000s != 0) {
    out["rate_per_1000s"] = team.rate_per_1000s;
  }
  SetUnlessZero("burst", team.burst, &out);
  out["revision"] = team.revision;
  return out;
}

boost::json::value ToJson(const Config& config) {
  boost::json::object out{{"number", config.number},
                          {"parent", config.parent},
                          {"change_id", ToHex(config.change_id)},
                          {"author", config.author},
                          {"sites", ListToJson(config.sites)},
                          {"services", ListToJson(config.services)},
                          {"routes", ListToJson(config.routes)},
                          {"windows", ListToJson(config.windows)}};
  if (config.limits != CallerLimits{}) {
    out["limits"] = ToJson(config.limits);
  }
  if (!config.teams.empty()) {
    out["teams"] = ListToJson(config.teams);
  }
  return out;
}

boost::json::value ToJson(const HistoryEntry& entry) {
  return {{"number", entry.mark.number},
          {"hash", ToHex(entry.mark.hash)},
          {"change_id", ToHex(entry.change_id)},
          {"author", entry.author},
          {"committed_at", FormatWallTime(entry.committed_at)}};
}

namespace {

constexpr std::size_t kIndent = 2;

void AppendPretty(const boost::json::value& value,
                  std::size_t indent,
                  std::string* out);

void AppendLineStart(bool first, std::size_t indent, std::string* out) {
  out->append(first ? "\n" : ",\n");
  out->append(indent, ' ');
}

void AppendPrettyObject(const boost::json::object& object,
                        std::size_t indent,
                        std::string* out) {
  out->push_back('{');
  bool first = true;
  for (const auto& it : object) {
    AppendLineStart(first, indent + kIndent, out);
    out->append(boost::json::serialize(it.key())).append(": ");
    AppendPretty(it.value(), indent + kIndent, out);
    first = false;
  }
  out->append("\n").append(indent, ' ').append("}");
}

void AppendPrettyArray(const boost::json::array& array,
                       std::size_t indent,
                       std::string* out) {
  out->push_back('[');
  bool first = true;
  for (const boost::json::value& it : array) {
    AppendLineStart(first, indent + kIndent, out);
    AppendPretty(it, indent + kIndent, out);
    first = false;
  }
  out->append("\n").append(indent, ' ').append("]");
}

void AppendPretty(const boost::json::value& value,
                  std::size_t indent,
                  std::string* out) {
  if (value.is_object() && !value.as_object().empty()) {
    AppendPrettyObject(value.as_object(), indent, out);
  } else if (value.is_array() && !value.as_array().empty()) {
    AppendPrettyArray(value.as_array(), indent, out);
  } else {
    out->append(boost::json::serialize(value));
  }
}

}  // namespace

std::string PrettyJson(const boost::json::value& value) {
  std::string out;
  AppendPretty(value, 0, &out);
  return out + "\n";
}

}  // namespace cassiabend
