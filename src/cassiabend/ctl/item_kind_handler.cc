#include "cassiabend/ctl/item_kind_handler.h"

#include <utility>

#include "cassiabend/model/items.h"
#include "cassiabend/model/json.h"

namespace cassiabend {
namespace {

constexpr std::string_view kSiteColumns[] = {"name", "team", "time_zone",
                                             "revision"};
constexpr std::string_view kServiceColumns[] = {"name", "team", "revision"};
constexpr std::string_view kRouteColumns[] = {
    "name",       "team",    "host",          "path_prefix",
    "method",     "service", "request_class", "repeat",
    "timeout_ms", "noisy",   "site",          "revision"};
constexpr std::string_view kWindowColumns[] = {"name",   "team", "site",
                                               "weekly", "once", "revision"};

constexpr std::string_view kTeamColumns[] = {
    "name",           "team",  "key_digests", "priority",
    "rate_per_1000s", "burst", "revision"};

template <typename Item, auto parse>
Edit Put(const boost::json::object& object) {
  Item item = parse(object, std::string(object.if_contains("name") != nullptr
                                            ? "item"
                                            : "item without a name"));
  Edit out;
  if (item.revision != 0) {
    out.expected_revision = item.revision;
  }
  item.revision = 0;
  out.action = std::move(item);
  return out;
}

template <typename Item>
boost::json::array List(const Config& config) {
  boost::json::array out;
  for (const Item& it : ItemsOf<Item>(config)) {
    out.push_back(ToJson(it));
  }
  return out;
}

constexpr ItemKindHandler kItemKindHandlers[] = {
    {"site", ItemKind::kSite, kSiteColumns, &Put<Site, &ParseSite>,
     &List<Site>},
    {"service", ItemKind::kService, kServiceColumns,
     &Put<Service, &ParseService>, &List<Service>},
    {"route", ItemKind::kRoute, kRouteColumns, &Put<Route, &ParseRoute>,
     &List<Route>},
    {"window", ItemKind::kWindow, kWindowColumns,
     &Put<QuietWindow, &ParseWindow>, &List<QuietWindow>},
    {"team", ItemKind::kTeam, kTeamColumns, &Put<Team, &ParseTeam>,
     &List<Team>},
};

struct ToJsonVisitor {
  boost::json::value operator()(const ItemRef& /*it*/) const { return nullptr; }
  template <typename Item>
  boost::json::value operator()(const Item& it) const {
    return ToJson(it);
  }
};

}  // namespace

std::span<const ItemKindHandler> AllItemKindHandlers() {
  return kItemKindHandlers;
}

boost::json::value CurrentItemJson(const Config& config, const ItemRef& ref) {
  for (const ItemKindHandler& kind : kItemKindHandlers) {
    if (kind.kind != ref.kind) {
      continue;
    }
    for (boost::json::value& it : kind.list(config)) {
      if (std::string_view(it.at("name").as_string()) == ref.name) {
        return std::move(it);
      }
    }
  }
  return nullptr;
}

boost::json::value PutItemJson(const Edit& edit) {
  return std::visit(ToJsonVisitor{}, edit.action);
}

}  // namespace cassiabend
