#include "cassiabend/node/settings.h"

#include <boost/asio/ip/address.hpp>
#include <boost/json/serialize.hpp>
#include <fstream>
#include <set>
#include <sstream>

#include "cassiabend/base/error.h"
#include "cassiabend/model/json_object_reader.h"
#include "cassiabend/node/settings_fields.h"

namespace cassiabend {
namespace {

namespace json = boost::json;

constexpr std::size_t kHashHexDigits = 64;
constexpr std::uint64_t kMaxAddressLength = 64;
/// Part of the shutdown timeout that is left for writing the last answers.
constexpr Milliseconds kAnswerWriteTime{150};

[[noreturn]] void Fail(const std::string& where, const std::string& why) {
  throw SettingsError("use the settings", where, why);
}

const json::object& ObjectAt(const json::value& value,
                             const std::string& path) {
  if (!value.is_object()) {
    Fail(path, "must be an object");
  }
  return value.get_object();
}

std::string RangeText(std::uint64_t min, std::uint64_t max) {
  return std::to_string(min) + " to " + std::to_string(max);
}

std::uint64_t NumberAt(const json::value& value,
                       std::uint64_t min,
                       std::uint64_t max,
                       const std::string& path) {
  if (!value.is_int64() && !value.is_uint64()) {
    Fail(path, "must be a whole number from " + RangeText(min, max));
  }
  const bool negative = value.is_int64() && value.get_int64() < 0;
  const std::uint64_t n = negative ? 0 : value.to_number<std::uint64_t>();
  if (negative || n < min || n > max) {
    Fail(path, json::serialize(value) + " is outside the range " +
                   RangeText(min, max));
  }
  return n;
}

std::string TextAt(const json::value& value,
                   std::uint64_t min,
                   std::uint64_t max,
                   const std::string& path) {
  if (!value.is_string()) {
    Fail(path, "must be a string");
  }
  const json::string& text = value.get_string();
  if (text.size() < min || text.size() > max) {
    Fail(path, "must have " + RangeText(min, max) + " characters");
  }
  return {text.data(), text.size()};
}

/// \brief Assigns a JSON value to the member of a setting, whatever its type.
template <typename Section>
struct Assigner {
  const SettingField<Section>& field;
  const json::value& value;
  const std::string& path;
  Section* section;

  template <typename Number>
  void operator()(Number Section::*member) const {
    const std::uint64_t n = NumberAt(value, field.min, field.max, path);
    section->*member = static_cast<Number>(n);
  }
  void operator()(std::string Section::*member) const {
    section->*member = TextAt(value, field.min, field.max, path);
  }
};

template <typename Section>
const SettingField<Section>* FindField(
    std::span<const SettingField<Section>> fields,
    std::string_view key) {
  for (const SettingField<Section>& it : fields) {
    if (it.key == key) {
      return &it;
    }
  }
  return nullptr;
}

template <typename Section>
bool ReadField(std::span<const SettingField<Section>> fields,
               const json::key_value_pair& pair,
               const std::string& path,
               Section* section) {
  const SettingField<Section>* field = FindField(fields, pair.key());
  if (field == nullptr) {
    return false;
  }
  std::visit(Assigner<Section>{*field, pair.value(), path, section},
             field->member);
  return true;
}

std::string PathOf(const std::string& parent, std::string_view key) {
  return parent + "." + std::string(key);
}

template <typename Section>
void ReadSection(const json::value& value,
                 const std::string& path,
                 std::span<const SettingField<Section>> fields,
                 Section* section) {
  for (const json::key_value_pair& it : ObjectAt(value, path)) {
    const std::string key_path = PathOf(path, it.key());
    if (!ReadField(fields, it, key_path, section)) {
      Fail(key_path, "is not a known key");
    }
  }
}

const json::array& ArrayAt(const json::value& value, const std::string& path) {
  if (!value.is_array()) {
    Fail(path, "must be a list");
  }
  return value.get_array();
}

NodeId NodeIdAt(const json::value& value, const std::string& path) {
  NodeId id;
  if (!ParseNodeId(TextAt(value, 1, kMaxAddressLength, path), &id)) {
    Fail(path, "must have the form \"IP:PORT\"");
  }
  return id;
}

std::vector<NodeId> NodeIdsAt(const json::value& value,
                              const std::string& path) {
  std::vector<NodeId> ids;
  for (const json::value& it : ArrayAt(value, path)) {
    ids.push_back(NodeIdAt(it, path + "[" + std::to_string(ids.size()) + "]"));
  }
  return ids;
}

void ReadStore(const json::value& value, Settings* settings) {
  for (const json::key_value_pair& it : ObjectAt(value, "store")) {
    const std::string path = PathOf("store", it.key());
    if (it.key() == "endpoints") {
      for (const NodeId& id : NodeIdsAt(it.value(), path)) {
        settings->store.endpoints.push_back({id.ip, id.peer_port});
      }
      continue;
    }
    if (!ReadField(StoreFields(), it, path, &settings->store)) {
      Fail(path, "is not a known key");
    }
  }
}

void ReadFleet(const json::value& value, Settings* settings) {
  for (const json::key_value_pair& it : ObjectAt(value, "fleet")) {
    const std::string path = PathOf("fleet", it.key());
    if (it.key() == "seeds") {
      settings->fleet.seeds = NodeIdsAt(it.value(), path);
      continue;
    }
    if (!ReadField(FleetFields(), it, path, &settings->fleet)) {
      Fail(path, "is not a known key");
    }
  }
}

bool IsTokenHash(std::string_view text) {
  return text.size() == kHashHexDigits &&
         text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

OperatorToken OperatorAt(const json::value& value, const std::string& path) {
  OperatorToken token;
  for (const json::key_value_pair& it : ObjectAt(value, path)) {
    const std::string key_path = PathOf(path, it.key());
    if (it.key() == "name") {
      token.name = TextAt(it.value(), 1, 128, key_path);
    } else if (it.key() == "token_hash") {
      token.token_hash = TextAt(it.value(), 1, 128, key_path);
    } else if (it.key() == "teams") {
      for (const json::value& team : ArrayAt(it.value(), key_path)) {
        token.teams.push_back(TextAt(team, 1, 128, key_path));
      }
    } else {
      Fail(key_path, "is not a known key");
    }
  }
  if (token.name.empty()) {
    Fail(path + ".name", "is missing");
  }
  if (!IsTokenHash(token.token_hash)) {
    Fail(path + ".token_hash",
         "must have 64 hexadecimal digits, as cassiabend-ctl hash-token "
         "prints them");
  }
  return token;
}

void ReadOperators(const json::value& value, Settings* settings) {
  std::set<std::string> names;
  for (const json::value& it : ArrayAt(value, "operators")) {
    const std::string path =
        "operators[" + std::to_string(settings->operators.size()) + "]";
    settings->operators.push_back(OperatorAt(it, path));
    if (!names.insert(settings->operators.back().name).second) {
      Fail(path + ".name", "occurs twice");
    }
  }
}

void ReadUpstream(const json::value& value, Settings* settings) {
  ReadSection(value, "upstream", UpstreamFields(), &settings->upstream);
}

/// \brief A section of the settings file and the function that parses it.
struct SectionReader {
  std::string_view name;
  void (*read)(const json::value& value, Settings* settings);
};

constexpr SectionReader kSections[] = {
    {"node",
     [](const json::value& value, Settings* settings) {
       ReadSection(value, "node", NodeFields(), &settings->node);
     }},
    {"platform",
     [](const json::value& value, Settings* settings) {
       ReadSection(value, "platform", PlatformFields(), &settings->platform);
     }},
    {"upstream", &ReadUpstream},
    {"store", &ReadStore},
    {"operators", &ReadOperators},
    {"config",
     [](const json::value& value, Settings* settings) {
       ReadSection(value, "config", ConfigFields(), &settings->config);
     }},
    {"fleet", &ReadFleet},
    {"calls",
     [](const json::value& value, Settings* settings) {
       ReadSection(value, "calls", CallFields(), &settings->calls);
     }},
    {"http",
     [](const json::value& value, Settings* settings) {
       ReadSection(value, "http", HttpFields(), &settings->http);
     }},
};

const SectionReader* FindSection(std::string_view name) {
  for (const SectionReader& it : kSections) {
    if (it.name == name) {
      return &it;
    }
  }
  return nullptr;
}

void CheckIp(const std::string& text, const std::string& path) {
  boost::system::error_code ec;
  boost::asio::ip::make_address_v4(text, ec);
  if (ec) {
    Fail(path, "\"" + text + "\" is not an IPv4 address");
  }
}

void CheckUpstream(const Settings& settings) {
  if (settings.upstream.service.empty() || !settings.platform.adapter.empty()) {
    // An adapter fills in the address.
    return;
  }
  CheckIp(settings.upstream.ip, "upstream.ip");
  if (settings.upstream.port == 0) {
    Fail("upstream.port", "is missing; it must be 1 to 65535");
  }
}

void CheckSettings(const Settings& settings) {
  CheckIp(settings.node.ip, "node.ip");
  if (settings.node.region.empty()) {
    Fail("node.region", "is missing");
  }
  if (settings.node.zone.empty()) {
    Fail("node.zone", "is missing");
  }
  (void)ParseLogLevel(settings.node.log_level);
  CheckUpstream(settings);
  for (const StoreEndpoint& it : settings.store.endpoints) {
    CheckIp(it.ip, "store.endpoints");
  }
  for (const NodeId& it : settings.fleet.seeds) {
    CheckIp(it.ip, "fleet.seeds");
  }
  if (settings.fleet.probe_timeout >= settings.fleet.probe_period) {
    Fail("fleet.probe_timeout_ms", "must be below fleet.probe_period_ms");
  }
  if (settings.store.endpoints.empty() && settings.fleet.seeds.empty()) {
    Fail("store.endpoints",
         "is missing; without it fleet.seeds must name other nodes");
  }
}

/// \brief Converts the member of a setting to JSON, whatever its type.
template <typename Section>
struct Printer {
  const Section& section;

  template <typename Number>
  json::value operator()(Number Section::*member) const {
    return static_cast<std::uint64_t>(section.*member);
  }
  json::value operator()(Milliseconds Section::*member) const {
    return static_cast<std::uint64_t>((section.*member).count());
  }
  json::value operator()(Seconds Section::*member) const {
    return static_cast<std::uint64_t>((section.*member).count());
  }
  json::value operator()(std::string Section::*member) const {
    return json::value(section.*member);
  }
};

template <typename Section>
json::object PrintSection(std::span<const SettingField<Section>> fields,
                          const Section& section) {
  json::object out;
  for (const SettingField<Section>& it : fields) {
    out[it.key] = std::visit(Printer<Section>{section}, it.member);
  }
  return out;
}

json::array PrintNodeIds(const std::vector<NodeId>& ids) {
  json::array out;
  for (const NodeId& it : ids) {
    out.emplace_back(ToString(it));
  }
  return out;
}

json::array PrintOperators(const std::vector<OperatorToken>& operators) {
  json::array out;
  for (const OperatorToken& it : operators) {
    json::array teams;
    for (const std::string& team : it.teams) {
      teams.emplace_back(team);
    }
    out.push_back(json::object{{"name", it.name},
                               {"token_hash", it.token_hash},
                               {"teams", std::move(teams)}});
  }
  return out;
}

template <typename Section>
void DescribeSection(std::string_view name,
                     std::span<const SettingField<Section>> fields,
                     std::ostringstream* out) {
  const Section defaults;
  *out << "\n## `" << name << "`\n\n"
       << "| key | default | range | meaning |\n"
       << "| --- | --- | --- | --- |\n";
  for (const SettingField<Section>& it : fields) {
    const json::value value = std::visit(Printer<Section>{defaults}, it.member);
    *out << "| `" << it.key << "` | `" << json::serialize(value) << "` | "
         << (value.is_string() ? "length " : "") << RangeText(it.min, it.max)
         << " | " << it.description << " |\n";
  }
}

}  // namespace

Settings ParseSettings(std::string_view text, const std::string& file) {
  json::value root;
  try {
    root = ParseJsonText(text);
  } catch (const ModelError& e) {
    Fail(file, "is not JSON: " + e.where() + ": " + e.why());
  }
  Settings settings;
  for (const json::key_value_pair& it : ObjectAt(root, file)) {
    const SectionReader* section = FindSection(it.key());
    if (section == nullptr) {
      Fail(std::string(it.key()), "is not a known section");
    }
    section->read(it.value(), &settings);
  }
  CheckSettings(settings);
  return settings;
}

Settings LoadSettings(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  if (!in) {
    throw SettingsError("read the settings", file, "the file cannot be opened");
  }
  std::ostringstream text;
  text << in.rdbuf();
  return ParseSettings(text.str(), file);
}

std::string PrintSettings(const Settings& settings) {
  json::object store = PrintSection(StoreFields(), settings.store);
  json::array endpoints;
  for (const StoreEndpoint& it : settings.store.endpoints) {
    endpoints.emplace_back(it.ip + ":" + std::to_string(it.port));
  }
  store["endpoints"] = std::move(endpoints);
  json::object fleet = PrintSection(FleetFields(), settings.fleet);
  fleet["seeds"] = PrintNodeIds(settings.fleet.seeds);
  const json::object root{
      {"node", PrintSection(NodeFields(), settings.node)},
      {"platform", PrintSection(PlatformFields(), settings.platform)},
      {"upstream", PrintSection(UpstreamFields(), settings.upstream)},
      {"store", std::move(store)},
      {"operators", PrintOperators(settings.operators)},
      {"config", PrintSection(ConfigFields(), settings.config)},
      {"fleet", std::move(fleet)},
      {"calls", PrintSection(CallFields(), settings.calls)},
      {"http", PrintSection(HttpFields(), settings.http)},
  };
  return json::serialize(root);
}

std::string DescribeSettings() {
  std::ostringstream out;
  out << "# Settings\n\nThis page is printed by `cassiabend-node "
         "--describe-settings`.\n\n"
         "A settings file is JSON with comments. Unknown keys, wrong types and "
         "values outside their range are refused with the key's path. Keys "
         "that end in `_ms` are milliseconds, in `_s` seconds, in `_bytes` "
         "bytes, in `_permille` thousandths. `cassiabend-node --check FILE` "
         "prints the effective settings.\n\n"
         "SIGHUP reads the file again and takes over `node.log_level` and "
         "`operators`; every other key needs a restart.\n\n"
         "Besides the keys below: `store.endpoints` and `fleet.seeds` are "
         "lists of `\"IP:PORT\"`, and `operators` is a list of objects with "
         "`name`, `token_hash` (as `cassiabend-ctl hash-token` prints it) and "
         "`teams` (a list of teams, or `[\"*\"]` for all).\n";
  DescribeSection("node", NodeFields(), &out);
  DescribeSection("platform", PlatformFields(), &out);
  DescribeSection("upstream", UpstreamFields(), &out);
  DescribeSection("store", StoreFields(), &out);
  DescribeSection("config", ConfigFields(), &out);
  DescribeSection("fleet", FleetFields(), &out);
  DescribeSection("calls", CallFields(), &out);
  DescribeSection("http", HttpFields(), &out);
  return out.str();
}

LogLevel ParseLogLevel(std::string_view name) {
  constexpr std::pair<std::string_view, LogLevel> kLevels[] = {
      {"debug", LogLevel::kDebug},
      {"info", LogLevel::kInfo},
      {"warning", LogLevel::kWarning},
      {"error", LogLevel::kError},
  };
  for (const auto& [text, level] : kLevels) {
    if (text == name) {
      return level;
    }
  }
  Fail("node.log_level", "must be debug, info, warning or error");
}

CoreOptions CoreOptionsOf(const Settings& settings,
                          std::uint64_t start_id,
                          std::uint64_t seed) {
  CoreOptions options;
  Member& self = options.self;
  self.id = {settings.node.ip, settings.node.peer_port};
  self.call_port = settings.node.announced_call_port != 0
                       ? settings.node.announced_call_port
                       : settings.node.call_port;
  self.region = settings.node.region;
  self.zone = settings.node.zone;
  self.start_id = start_id;
  self.revision = 1;
  self.service = settings.upstream.service;
  if (!self.service.empty()) {
    self.slots = settings.upstream.slots;
    self.upstream_state = UpstreamState::kWarming;
  }
  options.seed = seed;
  options.config = settings.config;
  options.fleet = settings.fleet;
  options.calls = settings.calls;
  options.calls.slots = self.slots;
  options.calls.shutdown_finish = std::max(
      settings.node.shutdown_timeout - kAnswerWriteTime, Milliseconds(0));
  return options;
}

CallServerOptions CallServerOptionsOf(const Settings& settings,
                                      std::uint64_t start_id) {
  CallServerOptions options = settings.http;
  options.self = {settings.node.ip, settings.node.peer_port};
  options.start_id = start_id;
  options.call_port = settings.node.call_port;
  if (!settings.upstream.service.empty()) {
    options.upstream_ip = settings.upstream.ip;
    options.upstream_port = settings.upstream.port;
  }
  return options;
}

}  // namespace cassiabend
