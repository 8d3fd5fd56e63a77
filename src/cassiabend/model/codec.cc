#include "cassiabend/model/codec.h"

#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <limits>
#include <utility>

#include "cassiabend/base/error.h"
#include "cassiabend/model/wire_text.h"

namespace cassiabend {
namespace {

/// Largest message that is decoded, in 8-byte words (64 MiB).
constexpr std::uint64_t kMaxMessageWords = 8ULL * 1024 * 1024;
/// Size of the first segment of a message, in words; further segments grow.
constexpr unsigned kFirstSegmentWords = 256;

/// \returns `value` converted to the unsigned type `T` of the field.
/// \throws ModelError when it is out of range.
template <typename T>
T ToUnsignedField(std::int64_t value, const char* field) {
  if (value < 0 ||
      value > static_cast<std::int64_t>(std::numeric_limits<T>::max())) {
    throw ModelError("cannot encode", field,
                     "value " + std::to_string(value) + " is out of range");
  }
  return static_cast<T>(value);
}

template <typename List, typename Items>
void ToWireList(const Items& items, List out) {
  unsigned i = 0;
  for (const auto& it : items) {
    ToWire(it, out[i]);
    ++i;
  }
}

template <typename Item, typename List>
std::vector<Item> FromWireList(List in) {
  std::vector<Item> out;
  out.reserve(in.size());
  for (auto it : in) {
    out.push_back(FromWire(it));
  }
  return out;
}

schema::RepeatPolicy ToWireRepeat(RepeatPolicy repeat) {
  return repeat == RepeatPolicy::kRepeatable ? schema::RepeatPolicy::REPEATABLE
                                             : schema::RepeatPolicy::ONCE;
}

RepeatPolicy FromWireRepeat(schema::RepeatPolicy repeat) {
  switch (repeat) {
    case schema::RepeatPolicy::REPEATABLE:
      return RepeatPolicy::kRepeatable;
    case schema::RepeatPolicy::ONCE:
      return RepeatPolicy::kOnce;
  }
  throw ModelError("cannot decode", "route.repeat", "unknown repeat policy");
}

template <typename T>
std::string Encode(const T& value, auto init) {
  capnp::MallocMessageBuilder message(kFirstSegmentWords);
  ToWire(value, init(message));
  kj::VectorOutputStream out;
  capnp::writePackedMessage(out, message);
  const auto bytes = out.getArray();
  return {bytes.asChars().begin(), bytes.size()};
}

template <typename Schema>
auto Decode(std::string_view bytes, const char* what) {
  try {
    kj::ArrayInputStream in(kj::arrayPtr(
        reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
    capnp::ReaderOptions options;
    options.traversalLimitInWords = kMaxMessageWords;
    capnp::PackedMessageReader message(in, options);
    return FromWire(message.getRoot<Schema>());
  } catch (const kj::Exception& e) {
    throw ModelError("cannot decode", what, e.getDescription().cStr());
  }
}

}  // namespace

void ToWire(const Id128& id, schema::Id128::Builder out) {
  out.setHigh(id.high);
  out.setLow(id.low);
}

void ToWire(const Site& site, schema::Site::Builder out) {
  out.setName(site.name);
  out.setTeam(site.team);
  out.setTimeZone(site.time_zone);
  out.setRevision(site.revision);
}

void ToWire(const Service& service, schema::Service::Builder out) {
  out.setName(service.name);
  out.setTeam(service.team);
  out.setRevision(service.revision);
  if (!service.health_path.empty()) {
    out.setHealthPath(service.health_path);
  }
}

void ToWire(const RouteTarget& target, schema::RouteTarget::Builder out) {
  out.setService(target.service);
  out.setWeight(target.weight);
}

void ToWire(const CallerLimits& limits, schema::CallerLimits::Builder out) {
  out.setMaxHeaderBytes(limits.max_header_bytes);
  out.setMaxBodyBytes(limits.max_body_bytes);
  out.setHeaderTimeoutMs(ToUnsignedField<std::uint32_t>(
      limits.header_timeout.count(), "limits.header_timeout"));
  out.setIdleTimeoutMs(ToUnsignedField<std::uint32_t>(
      limits.idle_timeout.count(), "limits.idle_timeout"));
}

void ToWire(const Route& route, schema::Route::Builder out) {
  out.setName(route.name);
  out.setTeam(route.team);
  out.setHost(route.host);
  out.setPathPrefix(route.path_prefix);
  out.setMethod(route.method);
  out.setService(route.service);
  out.setRequestClass(route.request_class);
  out.setRepeat(ToWireRepeat(route.repeat));
  out.setTimeoutMs(
      ToUnsignedField<std::uint32_t>(route.timeout.count(), "route.timeout"));
  out.setNoisy(route.noisy);
  out.setSite(route.site);
  out.setSiteHeader(route.site_header);
  out.setLongestJobSeconds(ToUnsignedField<std::uint32_t>(
      route.longest_job.count(), "route.longest_job"));
  out.setRevision(route.revision);
  if (!route.split.empty()) {
    ToWireList(route.split, out.initSplit(route.split.size()));
  }
  out.setMaxAttempts(route.max_attempts);
  out.setLatencyObjectiveMs(ToUnsignedField<std::uint32_t>(
      route.latency_objective.count(), "route.latency_objective"));
  out.setPriority(route.priority);
  out.setPublic(route.is_public);
}

void ToWire(const Team& team, schema::Team::Builder out) {
  out.setName(team.name);
  out.setTeam(team.team);
  if (!team.key_digests.empty()) {
    ToWireList(team.key_digests, out.initKeyDigests(team.key_digests.size()));
  }
  out.setHasPriority(team.priority.has_value());
  out.setPriority(team.priority.value_or(0));
  out.setRatePer1000s(team.rate_per_1000s);
  out.setBurst(team.burst);
  out.setRevision(team.revision);
}

void ToWire(const QuietWindow& window, schema::QuietWindow::Builder out) {
  out.setName(window.name);
  out.setTeam(window.team);
  out.setSite(window.site);
  out.setRevision(window.revision);
  if (const auto* once = std::get_if<OnceSchedule>(&window.schedule)) {
    auto group = out.getSchedule().initOnce();
    group.setBeginMs(once->begin.time_since_epoch().count());
    group.setEndMs(once->end.time_since_epoch().count());
    return;
  }
  const auto& weekly = std::get<WeeklySchedule>(window.schedule);
  auto group = out.getSchedule().initWeekly();
  group.setWeekdays(weekly.weekdays);
  group.setFromMinute(
      ToUnsignedField<std::uint16_t>(weekly.from.count(), "window.from"));
  group.setToMinute(
      ToUnsignedField<std::uint16_t>(weekly.to.count(), "window.to"));
}

void ToWire(const Config& config, schema::Config::Builder out) {
  out.setNumber(config.number);
  out.setParent(config.parent);
  ToWire(config.change_id, out.initChangeId());
  out.setAuthor(config.author);
  ToWireList(config.sites, out.initSites(config.sites.size()));
  ToWireList(config.services, out.initServices(config.services.size()));
  ToWireList(config.routes, out.initRoutes(config.routes.size()));
  ToWireList(config.windows, out.initWindows(config.windows.size()));
  if (config.limits != CallerLimits{}) {
    ToWire(config.limits, out.initLimits());
  }
  if (!config.teams.empty()) {
    ToWireList(config.teams, out.initTeams(config.teams.size()));
  }
}

void ToWire(const Edit& edit, schema::Edit::Builder out) {
  out.setCheckRevision(edit.expected_revision.has_value());
  out.setExpectedRevision(edit.expected_revision.value_or(0));
  if (const auto* site = std::get_if<Site>(&edit.action)) {
    ToWire(*site, out.initPutSite());
  } else if (const auto* service = std::get_if<Service>(&edit.action)) {
    ToWire(*service, out.initPutService());
  } else if (const auto* route = std::get_if<Route>(&edit.action)) {
    ToWire(*route, out.initPutRoute());
  } else if (const auto* window = std::get_if<QuietWindow>(&edit.action)) {
    ToWire(*window, out.initPutWindow());
  } else if (const auto* team = std::get_if<Team>(&edit.action)) {
    ToWire(*team, out.initPutTeam());
  } else {
    const auto& item = std::get<ItemRef>(edit.action);
    switch (item.kind) {
      case ItemKind::kSite:
        out.setRemoveSite(item.name);
        break;
      case ItemKind::kService:
        out.setRemoveService(item.name);
        break;
      case ItemKind::kRoute:
        out.setRemoveRoute(item.name);
        break;
      case ItemKind::kWindow:
        out.setRemoveWindow(item.name);
        break;
      case ItemKind::kTeam:
        out.setRemoveTeam(item.name);
        break;
    }
  }
}

void ToWire(const ConfigDelta& delta, schema::ConfigDelta::Builder out) {
  out.setBaseNumber(delta.base.number);
  ToWire(delta.base.hash, out.initBaseHash());
  out.setNumber(delta.mark.number);
  ToWire(delta.mark.hash, out.initHash());
  ToWire(delta.change_id, out.initChangeId());
  out.setAuthor(delta.author);
  ToWireList(delta.edits, out.initEdits(delta.edits.size()));
  out.setRestated(delta.explicit_parent.has_value());
  out.setParent(delta.explicit_parent.value_or(0));
}

void ToWire(const HistoryEntry& entry, schema::HistoryEntry::Builder out) {
  out.setNumber(entry.mark.number);
  ToWire(entry.mark.hash, out.initHash());
  ToWire(entry.change_id, out.initChangeId());
  out.setAuthor(entry.author);
  out.setCommittedMs(entry.committed_at.time_since_epoch().count());
  SetTexts(entry.value_keys, out.initValueKeys(entry.value_keys.size()));
}

void ToWire(const Head& head, schema::Head::Builder out) {
  out.setNumber(head.mark.number);
  ToWire(head.mark.hash, out.initHash());
  SetTexts(head.value_keys, out.initValueKeys(head.value_keys.size()));
  out.setDeltaKey(head.delta_key);
  auto recent = out.initRecent(head.recent.size());
  unsigned i = 0;
  for (const CommittedChange& it : head.recent) {
    recent[i].setNumber(it.number);
    ToWire(it.change_id, recent[i].initChangeId());
    ++i;
  }
  ToWireList(head.history, out.initHistory(head.history.size()));
}

Id128 FromWire(schema::Id128::Reader in) {
  return {in.getHigh(), in.getLow()};
}

Site FromWire(schema::Site::Reader in) {
  return {.name = TextOf(in.getName()),
          .team = TextOf(in.getTeam()),
          .time_zone = TextOf(in.getTimeZone()),
          .revision = in.getRevision()};
}

Service FromWire(schema::Service::Reader in) {
  return {.name = TextOf(in.getName()),
          .team = TextOf(in.getTeam()),
          .revision = in.getRevision(),
          .health_path = TextOf(in.getHealthPath())};
}

RouteTarget FromWire(schema::RouteTarget::Reader in) {
  return {.service = TextOf(in.getService()), .weight = in.getWeight()};
}

CallerLimits FromWire(schema::CallerLimits::Reader in) {
  return {.max_header_bytes = in.getMaxHeaderBytes(),
          .max_body_bytes = in.getMaxBodyBytes(),
          .header_timeout = Milliseconds(in.getHeaderTimeoutMs()),
          .idle_timeout = Milliseconds(in.getIdleTimeoutMs())};
}

Route FromWire(schema::Route::Reader in) {
  return {.name = TextOf(in.getName()),
          .team = TextOf(in.getTeam()),
          .host = TextOf(in.getHost()),
          .path_prefix = TextOf(in.getPathPrefix()),
          .method = TextOf(in.getMethod()),
          .service = TextOf(in.getService()),
          .split = FromWireList<RouteTarget>(in.getSplit()),
          .request_class = TextOf(in.getRequestClass()),
          .repeat = FromWireRepeat(in.getRepeat()),
          .timeout = Milliseconds(in.getTimeoutMs()),
          .max_attempts = in.getMaxAttempts(),
          .latency_objective = Milliseconds(in.getLatencyObjectiveMs()),
          .priority = in.getPriority(),
          .noisy = in.getNoisy(),
          .site = TextOf(in.getSite()),
          .site_header = TextOf(in.getSiteHeader()),
          .longest_job = Seconds(in.getLongestJobSeconds()),
          .is_public = in.getPublic(),
          .revision = in.getRevision()};
}

Team FromWire(schema::Team::Reader in) {
  return {.name = TextOf(in.getName()),
          .team = TextOf(in.getTeam()),
          .key_digests = FromWireList<KeyDigest>(in.getKeyDigests()),
          .priority = in.getHasPriority() ? std::optional(in.getPriority())
                                          : std::nullopt,
          .rate_per_1000s = in.getRatePer1000s(),
          .burst = in.getBurst(),
          .revision = in.getRevision()};
}

QuietWindow FromWire(schema::QuietWindow::Reader in) {
  QuietWindow out{.name = TextOf(in.getName()),
                  .team = TextOf(in.getTeam()),
                  .site = TextOf(in.getSite()),
                  .revision = in.getRevision()};
  const auto schedule = in.getSchedule();
  switch (schedule.which()) {
    case schema::QuietWindow::Schedule::ONCE: {
      const auto once = schedule.getOnce();
      out.schedule = OnceSchedule{WallTime(Milliseconds(once.getBeginMs())),
                                  WallTime(Milliseconds(once.getEndMs()))};
      return out;
    }
    case schema::QuietWindow::Schedule::WEEKLY: {
      const auto weekly = schedule.getWeekly();
      out.schedule = WeeklySchedule{
          weekly.getWeekdays(), std::chrono::minutes(weekly.getFromMinute()),
          std::chrono::minutes(weekly.getToMinute())};
      return out;
    }
  }
  throw ModelError("cannot decode", "windows[" + out.name + "].schedule",
                   "unknown kind of schedule");
}

Config FromWire(schema::Config::Reader in) {
  return {.number = in.getNumber(),
          .parent = in.getParent(),
          .change_id = FromWire(in.getChangeId()),
          .author = TextOf(in.getAuthor()),
          .sites = FromWireList<Site>(in.getSites()),
          .services = FromWireList<Service>(in.getServices()),
          .routes = FromWireList<Route>(in.getRoutes()),
          .windows = FromWireList<QuietWindow>(in.getWindows()),
          .limits = FromWire(in.getLimits()),
          .teams = FromWireList<Team>(in.getTeams())};
}

namespace {

Edit::Action ActionFromWire(schema::Edit::Reader in) {
  switch (in.which()) {
    case schema::Edit::PUT_SITE:
      return FromWire(in.getPutSite());
    case schema::Edit::PUT_SERVICE:
      return FromWire(in.getPutService());
    case schema::Edit::PUT_ROUTE:
      return FromWire(in.getPutRoute());
    case schema::Edit::PUT_WINDOW:
      return FromWire(in.getPutWindow());
    case schema::Edit::PUT_TEAM:
      return FromWire(in.getPutTeam());
    case schema::Edit::REMOVE_SITE:
      return ItemRef{ItemKind::kSite, TextOf(in.getRemoveSite())};
    case schema::Edit::REMOVE_SERVICE:
      return ItemRef{ItemKind::kService, TextOf(in.getRemoveService())};
    case schema::Edit::REMOVE_ROUTE:
      return ItemRef{ItemKind::kRoute, TextOf(in.getRemoveRoute())};
    case schema::Edit::REMOVE_WINDOW:
      return ItemRef{ItemKind::kWindow, TextOf(in.getRemoveWindow())};
    case schema::Edit::REMOVE_TEAM:
      return ItemRef{ItemKind::kTeam, TextOf(in.getRemoveTeam())};
  }
  throw ModelError("cannot decode", "edit", "unknown kind of edit");
}

}  // namespace

Edit FromWire(schema::Edit::Reader in) {
  Edit out{.action = ActionFromWire(in)};
  if (in.getCheckRevision()) {
    out.expected_revision = in.getExpectedRevision();
  }
  return out;
}

ConfigDelta FromWire(schema::ConfigDelta::Reader in) {
  return {.base = {in.getBaseNumber(), FromWire(in.getBaseHash())},
          .mark = {in.getNumber(), FromWire(in.getHash())},
          .change_id = FromWire(in.getChangeId()),
          .author = TextOf(in.getAuthor()),
          .edits = FromWireList<Edit>(in.getEdits()),
          .explicit_parent =
              in.getRestated() ? std::optional(in.getParent()) : std::nullopt};
}

HistoryEntry FromWire(schema::HistoryEntry::Reader in) {
  return {.mark = {in.getNumber(), FromWire(in.getHash())},
          .change_id = FromWire(in.getChangeId()),
          .author = TextOf(in.getAuthor()),
          .committed_at = WallTime(Milliseconds(in.getCommittedMs())),
          .value_keys = TextsOf(in.getValueKeys())};
}

Head FromWire(schema::Head::Reader in) {
  Head out{.mark = {in.getNumber(), FromWire(in.getHash())},
           .value_keys = TextsOf(in.getValueKeys()),
           .delta_key = TextOf(in.getDeltaKey()),
           .history = FromWireList<HistoryEntry>(in.getHistory())};
  for (auto it : in.getRecent()) {
    out.recent.push_back({it.getNumber(), FromWire(it.getChangeId())});
  }
  return out;
}

std::string EncodeConfig(const Config& config) {
  return Encode(
      config, [](auto& it) { return it.template initRoot<schema::Config>(); });
}

Config DecodeConfig(std::string_view bytes) {
  return Decode<schema::Config>(bytes, "configuration");
}

std::string EncodeDelta(const ConfigDelta& delta) {
  return Encode(delta, [](auto& it) {
    return it.template initRoot<schema::ConfigDelta>();
  });
}

ConfigDelta DecodeDelta(std::string_view bytes) {
  return Decode<schema::ConfigDelta>(bytes, "delta");
}

std::string EncodeHead(const Head& head) {
  return Encode(head,
                [](auto& it) { return it.template initRoot<schema::Head>(); });
}

Head DecodeHead(std::string_view bytes) {
  return Decode<schema::Head>(bytes, "head");
}

ContentHash HashConfig(const Config& config) {
  capnp::MallocMessageBuilder message(kFirstSegmentWords);
  auto root = message.initRoot<schema::Config>();
  ToWire(config, root);
  const kj::Array<capnp::word> words = capnp::canonicalize(root.asReader());
  return HashBytes(std::as_bytes(std::span(words.begin(), words.size())));
}

VersionMark MarkOf(const Config& config) {
  return {config.number, HashConfig(config)};
}

}  // namespace cassiabend
