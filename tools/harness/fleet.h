#pragma once

#include <boost/json/object.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cassiabend/rpc/admin_client.h"
#include "tools/harness/child_process.h"
#include "tools/harness/http_client.h"

namespace cassiabend::harness {

/// \brief Regions, with two availability zones each, and services of a
/// deployment.
struct Deployment {
  std::string name;
  std::string team;
  std::vector<std::string> regions;
  std::vector<std::string> services;
  /// Requests that one upstream runs at the same time.
  std::uint32_t slots = 0;
  /// Settings of the nodes that differ from the defaults, by section.
  boost::json::object settings;
};

/// \param name "cascadia" or "silfurhud".
/// \throws std::runtime_error for any other name.
[[nodiscard]] Deployment DeploymentByName(const std::string& name);

/// \brief Location, address and ports of a host with a node and an upstream.
struct HostSpec {
  std::string region;
  std::string zone;
  std::string service;
  std::string ip;
  std::uint16_t peer_port = 0;
  std::uint16_t call_port = 0;
  std::uint16_t admin_port = 0;
  std::uint16_t metrics_port = 0;
  /// Ports that only a node with the platform's adapter opens: for callers,
  /// readiness checks and the control of the upstream.
  std::uint16_t caller_port = 0;
  std::uint16_t readiness_port = 0;
  std::uint16_t control_port = 0;
  /// Chosen by the system when the upstream first starts; 0 before.
  std::uint16_t upstream_port = 0;
};

struct FleetOptions {
  Deployment deployment;
  std::size_t hosts = 6;
  /// Directory of the programs.
  std::string bin;
  /// Path of the node program; empty for the one in `bin`.
  std::string node_program;
  /// Existing directory for settings files and logs.
  std::string work;
  /// Further arguments of each fake upstream.
  std::vector<std::string> upstream_arguments;
  /// Further arguments of the fake store.
  std::vector<std::string> store_arguments;
  /// Settings that override the deployment's, by section.
  boost::json::object settings;
  /// Descriptor for the nodes' standard output; -1 for a pipe per node that
  /// `node(host)` can read.
  int node_output_fd = -1;
  /// Whether the nodes' standard output is appended to their log files
  /// instead.
  bool logs_node_output = false;
  /// Modifies the settings of a host before they are written; may be empty.
  std::function<void(std::size_t host, boost::json::object* settings)>
      edit_settings;
  /// Returns the text of a host's settings file; empty for settings built
  /// from the deployment and `settings`.
  std::function<std::string(const HostSpec& host, std::uint16_t store_port)>
      write_settings;
};

/// \brief A fake store, and hosts with a node and a fake upstream each, as
/// processes on loopback addresses. The destructor ends all of them.
class Fleet {
 public:
  explicit Fleet(FleetOptions options);
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;
  ~Fleet();

  /// \brief Starts the store and every host.
  void Start();
  void StartStore();
  void StartUpstream(std::size_t host);
  void StartNode(std::size_t host);
  /// \brief Ends a node with SIGKILL and waits until it has exited.
  void KillNode(std::size_t host);
  /// \brief Sends a node SIGTERM, on which it shuts down gracefully.
  void StopNode(std::size_t host);

  // The Wait functions return whether the condition came true within `timeout`,
  // and throw std::runtime_error when a node exits meanwhile.

  /// \brief Waits until /readyz of every running node answers 200.
  [[nodiscard]] bool WaitReady(std::chrono::milliseconds timeout);
  /// \brief Waits until every running node has applied version `number` or a
  /// newer one.
  [[nodiscard]] bool WaitVersion(std::uint64_t number,
                                 std::chrono::milliseconds timeout);
  /// \brief Waits until every running node lists `n` alive members with a
  /// serving upstream.
  [[nodiscard]] bool WaitServing(std::size_t n,
                                 std::chrono::milliseconds timeout);
  /// \brief Waits until every running node counts `n` members as alive.
  [[nodiscard]] bool WaitMembers(std::size_t n,
                                 std::chrono::milliseconds timeout);

  [[nodiscard]] const std::vector<HostSpec>& hosts() const { return hosts_; }
  [[nodiscard]] ChildProcess* node(std::size_t host) {
    return nodes_.at(host).get();
  }
  [[nodiscard]] ChildProcess* upstream(std::size_t host) {
    return upstreams_.at(host).get();
  }
  [[nodiscard]] ChildProcess* store() { return store_.get(); }
  [[nodiscard]] std::uint16_t store_port() const { return store_port_; }

  /// \returns The values of the node's /metrics page, by name with labels.
  [[nodiscard]] std::map<std::string, double> Metrics(std::size_t host) const;
  /// \returns The JSON of the node's /version page.
  [[nodiscard]] boost::json::value Version(std::size_t host) const;
  /// \brief Sends a request to a node's call port over a new connection.
  [[nodiscard]] Response Call(std::size_t host, const Request& request) const;
  /// \brief Sends `json` to POST /control of the fake store.
  /// \throws std::runtime_error when the fake store rejects it.
  void ControlStore(const std::string& json) const;
  /// \returns The JSON of GET /control/stats of the fake store.
  [[nodiscard]] boost::json::value StoreStats() const;
  /// \brief Sends `json` to POST /control of a fake upstream.
  /// \throws std::runtime_error when the fake upstream rejects it.
  void ControlUpstream(std::size_t host, const std::string& json) const;
  /// \returns The JSON of GET /control/executions of a fake upstream.
  [[nodiscard]] boost::json::value Executions(std::size_t host) const;

  /// \returns A client for the administration API of a node.
  [[nodiscard]] std::unique_ptr<AdminClient> Admin(std::size_t host) const;
  /// \returns The operator token that the nodes accept.
  [[nodiscard]] static std::string Token();

 private:
  /// \brief Polls `predicate` for one running node after the other. An
  /// exception that it throws counts as false.
  [[nodiscard]] bool WaitForAllNodes(
      std::chrono::milliseconds timeout,
      const std::function<bool(std::size_t host)>& predicate) const;
  [[nodiscard]] std::string WriteSettings(std::size_t host) const;
  [[nodiscard]] boost::json::object MakeSettings(std::size_t host) const;

  FleetOptions options_;
  std::vector<HostSpec> hosts_;
  std::uint16_t store_port_ = 0;
  std::unique_ptr<ChildProcess> store_;
  std::vector<std::unique_ptr<ChildProcess>> upstreams_;
  std::vector<std::unique_ptr<ChildProcess>> nodes_;
};

/// \returns A change that adds the site, services and routes of an example
/// configuration: "status" for reads, "files" for downloads, "orders" for calls
/// that may run only once, and "runs" for noisy jobs at the site.
[[nodiscard]] Change ExampleChange(const Deployment& deployment,
                                   const ChangeId& id);

}  // namespace cassiabend::harness
