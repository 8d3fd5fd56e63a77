#include "tools/harness/fleet.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <stdexcept>
#include <thread>

#include <unistd.h>

namespace cassiabend::harness {
namespace {

namespace json = boost::json;

constexpr std::chrono::seconds kStartTimeout{20};
constexpr std::chrono::milliseconds kFetchTimeout{5'000};
constexpr std::chrono::milliseconds kPollPeriod{50};
constexpr char kStoreIp[] = "127.0.0.1";
constexpr char kToken[] = "example-operator-token";
constexpr std::size_t kZonesPerRegion = 2;
constexpr std::size_t kSeedHosts = 6;

/// The nodes' ports lie below the system's ephemeral range, so that no other
/// socket occupies one before its node opens it.
constexpr int kFirstPort = 10'000;
constexpr int kPortsPerHost = 7;
constexpr int kLoopbackOctets = 200;
constexpr int kPortBlocks = 1'000;

/// \returns The first port of this process's nodes. The pair of this port and
/// `LoopbackOctet()` is unique among process ids that differ modulo 200,000.
std::uint16_t FirstPort() {
  const int block = static_cast<int>(getpid()) / kLoopbackOctets % kPortBlocks;
  return static_cast<std::uint16_t>(kFirstPort + kPortsPerHost * block);
}

/// \returns The second octet of this process's loopback addresses.
int LoopbackOctet() {
  return 10 + static_cast<int>(getpid()) % kLoopbackOctets;
}

std::string ZoneName(const std::string& region, std::size_t zone) {
  return region + "-" + static_cast<char>('a' + zone);
}

std::vector<HostSpec> MakeHosts(const Deployment& deployment, std::size_t n) {
  std::vector<HostSpec> hosts;
  const std::size_t zones = deployment.regions.size() * kZonesPerRegion;
  for (std::size_t i = 0; i < n; ++i) {
    const std::size_t zone = i % zones;
    HostSpec host;
    host.region = deployment.regions.at(zone % deployment.regions.size());
    host.zone = ZoneName(host.region, zone / deployment.regions.size());
    // Services are assigned round-robin within a zone.
    host.service =
        deployment.services.at((i / zones + zone) % deployment.services.size());
    host.ip = "127." + std::to_string(LoopbackOctet()) + "." +
              std::to_string(zone + 1) + "." + std::to_string(i / zones + 1);
    std::uint16_t port = FirstPort();
    for (std::uint16_t HostSpec::*it :
         {&HostSpec::peer_port, &HostSpec::call_port, &HostSpec::admin_port,
          &HostSpec::metrics_port, &HostSpec::caller_port,
          &HostSpec::readiness_port, &HostSpec::control_port}) {
      host.*it = port++;
    }
    hosts.push_back(std::move(host));
  }
  return hosts;
}

std::uint16_t ReadPort(ChildProcess* child, const std::string& program) {
  const auto line = child->ReadLine(kStartTimeout);
  if (!line) {
    throw std::runtime_error(program + " did not print its port in time");
  }
  return json::parse(*line).at("port").to_number<std::uint16_t>();
}

/// \brief Copies every key of the sections of `from` into `*to`.
void Merge(const json::object& from, json::object* to) {
  for (const json::key_value_pair& section : from) {
    json::value& target = (*to)[section.key()];
    if (!target.is_object()) {
      target = json::object();
    }
    for (const json::key_value_pair& it : section.value().as_object()) {
      target.as_object()[it.key()] = it.value();
    }
  }
}

struct FileCloser {
  void operator()(std::FILE* file) const noexcept { (void)std::fclose(file); }
};
using FilePtr = std::unique_ptr<std::FILE, FileCloser>;

}  // namespace

Deployment DeploymentByName(const std::string& name) {
  if (name == "cascadia") {
    return {.name = name,
            .team = "cascadia",
            .regions = {"puget", "willamette", "inland"},
            .services = {"catalog", "orders", "artwork"},
            .slots = 12,
            .settings = {}};
  }
  if (name == "silfurhud") {
    return {.name = name,
            .team = "silfurhud",
            .regions = {"reykjavik", "akureyri", "egilsstadir"},
            .services = {"tracker", "orders", "docs"},
            .slots = 9,
            .settings = {{"fleet",
                          {{"beat_period_ms", 2'000},
                           {"probe_period_ms", 2'000},
                           {"probe_timeout_ms", 500},
                           {"suspicion_timeout_ms", 6'000}}}}};
  }
  throw std::runtime_error("unknown deployment \"" + name +
                           "\"; expected cascadia or silfurhud");
}

Fleet::Fleet(FleetOptions options)
    : options_(std::move(options)),
      hosts_(MakeHosts(options_.deployment, options_.hosts)),
      upstreams_(hosts_.size()),
      nodes_(hosts_.size()) {}

Fleet::~Fleet() {
  for (const auto& it : nodes_) {
    if (it) {
      it->Signal(SIGKILL);
    }
  }
}

void Fleet::Start() {
  StartStore();
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    StartUpstream(i);
  }
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    StartNode(i);
  }
}

void Fleet::StartStore() {
  std::vector<std::string> arguments = {options_.bin + "/cassiabend-fake-store",
                                        "--ip", kStoreIp, "--port",
                                        std::to_string(store_port_)};
  arguments.insert(arguments.end(), options_.store_arguments.begin(),
                   options_.store_arguments.end());
  store_ =
      std::make_unique<ChildProcess>(arguments, options_.work + "/store.log");
  store_port_ = ReadPort(store_.get(), "cassiabend-fake-store");
}

void Fleet::StartUpstream(std::size_t host) {
  HostSpec& spec = hosts_.at(host);
  std::vector<std::string> arguments = {
      options_.bin + "/cassiabend-fake-upstream",
      "--ip",
      spec.ip,
      "--port",
      std::to_string(spec.upstream_port),
      "--slots",
      std::to_string(options_.deployment.slots)};
  arguments.insert(arguments.end(), options_.upstream_arguments.begin(),
                   options_.upstream_arguments.end());
  upstreams_.at(host) = std::make_unique<ChildProcess>(
      arguments, options_.work + "/upstream-" + std::to_string(host) + ".log");
  spec.upstream_port =
      ReadPort(upstreams_.at(host).get(), "cassiabend-fake-upstream");
}

void Fleet::StartNode(std::size_t host) {
  const std::string log =
      options_.work + "/node-" + std::to_string(host) + ".log";
  const FilePtr output(options_.logs_node_output ? std::fopen(log.c_str(), "ae")
                                                 : nullptr);
  if (options_.logs_node_output && !output) {
    throw std::runtime_error("cannot write " + log);
  }
  nodes_.at(host) = std::make_unique<ChildProcess>(
      std::vector<std::string>{options_.node_program.empty()
                                   ? options_.bin + "/cassiabend-node"
                                   : options_.node_program,
                               WriteSettings(host)},
      log, output ? fileno(output.get()) : options_.node_output_fd);
}

void Fleet::KillNode(std::size_t host) {
  nodes_.at(host)->Signal(SIGKILL);
  (void)nodes_.at(host)->Wait(kStartTimeout);
  nodes_.at(host).reset();
}

void Fleet::StopNode(std::size_t host) {
  nodes_.at(host)->Signal(SIGTERM);
}

bool Fleet::WaitForAllNodes(
    std::chrono::milliseconds timeout,
    const std::function<bool(std::size_t host)>& predicate) const {
  const auto end = std::chrono::steady_clock::now() + timeout;
  std::size_t host = 0;
  while (host < hosts_.size()) {
    if (!nodes_.at(host)) {
      ++host;
      continue;
    }
    bool is_met = false;
    try {
      is_met = predicate(host);
    } catch (const std::exception&) {
      is_met = false;
    }
    if (is_met) {
      ++host;
      continue;
    }
    if (!nodes_.at(host)->IsRunning()) {
      throw std::runtime_error("the node of host " + std::to_string(host) +
                               " exited; its log is in " + options_.work);
    }
    if (std::chrono::steady_clock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(kPollPeriod);
  }
  return true;
}

bool Fleet::WaitReady(std::chrono::milliseconds timeout) {
  return WaitForAllNodes(timeout, [this](std::size_t host) {
    const HostSpec& spec = hosts_.at(host);
    const Request request{.target = "/readyz"};
    return Fetch(spec.ip, spec.metrics_port, request, kFetchTimeout).status ==
           200;
  });
}

bool Fleet::WaitVersion(std::uint64_t number,
                        std::chrono::milliseconds timeout) {
  return WaitForAllNodes(timeout, [this, number](std::size_t host) {
    return Version(host).at("version").to_number<std::uint64_t>() >= number;
  });
}

bool Fleet::WaitServing(std::size_t n, std::chrono::milliseconds timeout) {
  return WaitForAllNodes(timeout, [this, n](std::size_t host) {
    const HostSpec& spec = hosts_.at(host);
    const Request request{.target = "/members"};
    const json::value page = json::parse(
        Fetch(spec.ip, spec.metrics_port, request, kFetchTimeout).body);
    std::size_t serving = 0;
    for (const json::value& it : page.as_array()) {
      serving += it.at("upstream") == "serving" && it.at("status") == "alive";
    }
    return serving == n;
  });
}

bool Fleet::WaitMembers(std::size_t n, std::chrono::milliseconds timeout) {
  return WaitForAllNodes(timeout, [this, n](std::size_t host) {
    const auto metrics = Metrics(host);
    const auto it = metrics.find("cassiabend_members{status=\"alive\"}");
    return it != metrics.end() && it->second == static_cast<double>(n);
  });
}

std::map<std::string, double> Fleet::Metrics(std::size_t host) const {
  const HostSpec& spec = hosts_.at(host);
  const Request request{.target = "/metrics"};
  return ParseMetrics(
      Fetch(spec.ip, spec.metrics_port, request, kFetchTimeout).body);
}

json::value Fleet::Version(std::size_t host) const {
  const HostSpec& spec = hosts_.at(host);
  const Request request{.target = "/version"};
  return json::parse(
      Fetch(spec.ip, spec.metrics_port, request, kFetchTimeout).body);
}

Response Fleet::Call(std::size_t host, const Request& request) const {
  const HostSpec& spec = hosts_.at(host);
  return Fetch(spec.ip, spec.call_port, request, kFetchTimeout);
}

void Fleet::ControlStore(const std::string& text) const {
  const Request request{.method = "POST", .target = "/control", .body = text};
  const Response response =
      Fetch(kStoreIp, store_port_, request, kFetchTimeout);
  if (response.status != 200) {
    throw std::runtime_error("the fake store rejected " + text + ": " +
                             response.body);
  }
}

json::value Fleet::StoreStats() const {
  const Request request{.target = "/control/stats"};
  return json::parse(Fetch(kStoreIp, store_port_, request, kFetchTimeout).body);
}

void Fleet::ControlUpstream(std::size_t host, const std::string& text) const {
  const HostSpec& spec = hosts_.at(host);
  const Request request{.method = "POST", .target = "/control", .body = text};
  const Response response =
      Fetch(spec.ip, spec.upstream_port, request, kFetchTimeout);
  if (response.status != 200) {
    throw std::runtime_error("the fake upstream rejected " + text + ": " +
                             response.body);
  }
}

json::value Fleet::Executions(std::size_t host) const {
  const HostSpec& spec = hosts_.at(host);
  const Request request{.target = "/control/executions"};
  return json::parse(
      Fetch(spec.ip, spec.upstream_port, request, kFetchTimeout).body);
}

std::unique_ptr<AdminClient> Fleet::Admin(std::size_t host) const {
  const HostSpec& spec = hosts_.at(host);
  return std::make_unique<AdminClient>(spec.ip, spec.admin_port, kToken,
                                       Milliseconds(15'000));
}

std::string Fleet::Token() {
  return kToken;
}

json::object Fleet::MakeSettings(std::size_t host) const {
  const HostSpec& spec = hosts_.at(host);
  json::array seeds;
  for (std::size_t i = 0; i < std::min(hosts_.size(), kSeedHosts); ++i) {
    seeds.emplace_back(hosts_.at(i).ip + ":" +
                       std::to_string(hosts_.at(i).peer_port));
  }
  json::object settings{
      {"node",
       {{"ip", spec.ip},
        {"peer_port", spec.peer_port},
        {"call_port", spec.call_port},
        {"admin_port", spec.admin_port},
        {"metrics_port", spec.metrics_port},
        {"region", spec.region},
        {"zone", spec.zone}}},
      {"upstream",
       {{"service", spec.service},
        {"ip", spec.ip},
        {"port", spec.upstream_port},
        {"slots", options_.deployment.slots}}},
      {"store",
       {{"endpoints",
         {std::string(kStoreIp) + ":" + std::to_string(store_port_)}}}},
      {"fleet", {{"seeds", std::move(seeds)}}},
  };
  Merge(options_.deployment.settings, &settings);
  Merge(options_.settings, &settings);
  settings["operators"] =
      json::array{json::object{{"name", "example"},
                               {"token_hash", HashToken(kToken)},
                               {"teams", json::array{"*"}}}};
  if (options_.edit_settings) {
    options_.edit_settings(host, &settings);
  }
  return settings;
}

std::string Fleet::WriteSettings(std::size_t host) const {
  std::string file = options_.work + "/node-" + std::to_string(host) + ".json";
  std::ofstream out(file, std::ios::trunc);
  if (options_.write_settings) {
    out << options_.write_settings(hosts_.at(host), store_port_);
  } else {
    out << json::serialize(MakeSettings(host)) << "\n";
  }
  return file;
}

Change ExampleChange(const Deployment& deployment, const ChangeId& id) {
  Change change{.id = id, .author = {}, .edits = {}};
  const std::string& team = deployment.team;
  const auto put = [&change](auto item) {
    change.edits.push_back({std::move(item), {}});
  };
  put(Site{.name = "workshop", .team = team, .time_zone = "GMT+00"});
  for (const std::string& it : deployment.services) {
    put(Service{.name = it, .team = team});
  }
  const std::string& reads = deployment.services.at(0);
  const std::string& orders = deployment.services.at(1);
  const std::string& files = deployment.services.at(2);
  put(Route{.name = "status",
            .team = team,
            .path_prefix = "/status",
            .service = reads,
            .request_class = "status",
            .repeat = RepeatPolicy::kRepeatable,
            .timeout = Milliseconds(2'000)});
  put(Route{.name = "files",
            .team = team,
            .path_prefix = "/bytes",
            .service = files,
            .request_class = "files",
            .repeat = RepeatPolicy::kRepeatable,
            .timeout = Milliseconds(10'000)});
  put(Route{.name = "orders",
            .team = team,
            .path_prefix = "/orders",
            .service = orders,
            .request_class = "order",
            .repeat = RepeatPolicy::kOnce,
            .timeout = Milliseconds(5'000)});
  put(Route{.name = "runs",
            .team = team,
            .path_prefix = "/runs",
            .service = orders,
            .request_class = "run",
            .repeat = RepeatPolicy::kOnce,
            .timeout = Milliseconds(5'000),
            .noisy = true,
            .site = "workshop",
            .longest_job = Seconds(60)});
  return change;
}

}  // namespace cassiabend::harness
