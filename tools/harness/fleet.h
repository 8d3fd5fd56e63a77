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

/// \brief Shape of one deployment: regions with two availability zones each,
/// and services with their upstreams.
struct Deployment {
  std::string name;
  std::string team;
  std::vector<std::string> regions;
  std::vector<std::string> services;
  std::uint32_t slots = 0;
  /// Settings that the deployment's nodes differ in, by section.
  boost::json::object settings;
};

/// \returns The deployment "cascadia" or "silfurhud".
/// \throws std::runtime_error for another name.
[[nodiscard]] Deployment DeploymentByName(const std::string& name);

/// \brief One host: its node and its upstream.
struct HostPlan {
  std::string region;
  std::string zone;
  std::string service;
  std::string ip;
  std::uint16_t peer_port = 0;
  std::uint16_t call_port = 0;
  std::uint16_t admin_port = 0;
  std::uint16_t metrics_port = 0;
  /// Ports of the platform's adapter: callers, readiness and upstream's
  /// control.
  std::uint16_t caller_port = 0;
  std::uint16_t readiness_port = 0;
  std::uint16_t control_port = 0;
  std::uint16_t upstream_port = 0;
};

struct FleetOptions {
  Deployment deployment;
  std::size_t hosts = 6;
  /// Folder of the programs.
  std::string bin;
  /// Program of the nodes; empty for the one in `bin`.
  std::string node_program;
  /// Folder for settings and logs; it must exist.
  std::string work;
  /// Arguments of each upstream's stand-in.
  std::vector<std::string> upstream_arguments;
  /// Arguments of the store's stand-in.
  std::vector<std::string> store_arguments;
  /// Settings on top of the deployment's, by section.
  boost::json::object settings;
  /// Where the nodes' standard output goes; -1 for pipes that nobody reads.
  int node_output_fd = -1;
  /// Whether the nodes' standard output is appended to their logs instead.
  bool logs_node_output = false;
  /// Changes the settings of one host before they are written; may be empty.
  std::function<void(std::size_t host, boost::json::object* settings)>
      edit_settings;
  /// Writes the settings file of a host in another form; empty for the usual
  /// one, which the deployment and `settings` give.
  std::function<std::string(const HostPlan& host, std::uint16_t store_port)>
      write_settings;
};

/// \brief A store, and hosts with a node and an upstream each, as processes on
/// loopback addresses. Everything started is ended by id with the object.
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
  /// \brief Ends a node at once.
  void KillNode(std::size_t host);
  /// \brief Asks a node to shut down gracefully.
  void StopNode(std::size_t host);

  /// \brief Waits until every running node's /readyz says so, or `wait` is
  /// over.
  /// \returns Whether it became so.
  [[nodiscard]] bool WaitReady(std::chrono::milliseconds wait);
  /// \brief Waits until every running node has at least version `number`.
  [[nodiscard]] bool WaitVersion(std::uint64_t number,
                                 std::chrono::milliseconds wait);
  /// \brief Waits until every running node knows `n` members whose upstreams
  /// serve.
  [[nodiscard]] bool WaitServing(std::size_t n, std::chrono::milliseconds wait);
  /// \brief Waits until every running node counts `n` members as alive.
  [[nodiscard]] bool WaitMembers(std::size_t n, std::chrono::milliseconds wait);

  [[nodiscard]] const std::vector<HostPlan>& hosts() const { return hosts_; }
  [[nodiscard]] ChildProcess* node(std::size_t host) {
    return nodes_.at(host).get();
  }
  [[nodiscard]] ChildProcess* upstream(std::size_t host) {
    return upstreams_.at(host).get();
  }
  [[nodiscard]] ChildProcess* store() { return store_.get(); }
  [[nodiscard]] std::uint16_t store_port() const { return store_port_; }

  [[nodiscard]] std::map<std::string, double> Metrics(std::size_t host) const;
  /// \returns The JSON of the node's page /version.
  [[nodiscard]] boost::json::value Version(std::size_t host) const;
  [[nodiscard]] Response Call(std::size_t host, const Request& request) const;
  /// \brief Sends a fault to the store's stand-in.
  void ControlStore(const std::string& json) const;
  [[nodiscard]] boost::json::value StoreStats() const;
  /// \brief Sends a behaviour to an upstream's stand-in.
  void ControlUpstream(std::size_t host, const std::string& json) const;
  /// \returns The executions that an upstream's stand-in has counted.
  [[nodiscard]] boost::json::value Executions(std::size_t host) const;

  /// \returns A client of the administration API of a node.
  [[nodiscard]] std::unique_ptr<AdminClient> Admin(std::size_t host) const;
  /// \returns The token that the nodes' settings accept.
  [[nodiscard]] static std::string Token();

 private:
  [[nodiscard]] bool WaitForAll(
      std::chrono::milliseconds wait,
      const std::function<bool(std::size_t host)>& holds) const;
  [[nodiscard]] std::string WriteSettings(std::size_t host) const;
  [[nodiscard]] boost::json::object SettingsOf(std::size_t host) const;

  FleetOptions options_;
  std::vector<HostPlan> hosts_;
  std::uint16_t store_port_ = 0;
  std::unique_ptr<ChildProcess> store_;
  std::vector<std::unique_ptr<ChildProcess>> upstreams_;
  std::vector<std::unique_ptr<ChildProcess>> nodes_;
};

/// \returns The services, routes, sites and windows of a deployment's example:
/// "status" reads, "proof" downloads, "order" confirmations that may run once,
/// and "print" work that is noisy.
[[nodiscard]] Change ExampleChange(const Deployment& deployment,
                                   const ChangeId& id);

}  // namespace cassiabend::harness
