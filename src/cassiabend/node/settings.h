#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cassiabend/base/log.h"
#include "cassiabend/core/options.h"
#include "cassiabend/http/call_server.h"
#include "cassiabend/rpc/admin_types.h"
#include "cassiabend/rpc/peer_transport.h"
#include "cassiabend/store/store_client.h"

namespace cassiabend {

/// \brief The addresses, ports and location of a node.
struct NodeSettings {
  std::string ip;
  std::uint16_t peer_port = 7101;
  std::uint16_t call_port = 7102;
  /// Call port that is announced to other nodes, for a node behind a proxy; 0
  /// announces `call_port`.
  std::uint16_t announced_call_port = 0;
  std::uint16_t admin_port = 7103;
  std::uint16_t metrics_port = 7104;
  /// Port on which the platform asks whether the node is ready; 0 for none.
  std::uint16_t readiness_port = 0;
  /// Port on which the upstream sends its heartbeats; 0 for none.
  std::uint16_t control_port = 0;
  std::string region;
  std::string zone;
  /// Maximum duration of a graceful shutdown.
  Milliseconds shutdown_timeout{30'000};
  /// Seed of the random number generators; 0 draws one at each start.
  std::uint64_t seed = 0;
  std::string log_level = "info";
};

/// \brief The upstream on the node's host.
struct UpstreamSettings {
  /// Empty when the host has no upstream.
  std::string service;
  std::string ip;
  std::uint16_t port = 0;
  /// Calls that the upstream runs concurrently.
  std::uint32_t slots = 1;
};

/// \brief Values that the platform fills in, in its own format. The adapter in
/// platform/ parses them.
struct PlatformSettings {
  /// Name of the adapter; empty for the default one, which ignores the rest.
  std::string adapter;
  /// Addresses as "IP:PORT".
  std::string upstream_address;
  std::string peer_call_address;
  std::string caller_address;
  std::string readiness_address;
  std::string control_address;
  /// Period of the upstream's heartbeats.
  std::string heartbeat;
  /// Limits that the platform sets for its programs.
  std::string bounds;
  /// Bandwidth of the host's link in Mbit/s; empty when unknown.
  std::string link_mbps;
  /// "true" when the whole system starts for the first time.
  std::string first_start;
};

/// \brief All settings of one node.
struct Settings {
  NodeSettings node;
  PlatformSettings platform;
  UpstreamSettings upstream;
  StoreClientOptions store;
  std::vector<OperatorToken> operators;
  ConfigOptions config;
  FleetOptions fleet;
  CallOptions calls;
  CallServerOptions http;
};

/// \brief Parses settings.
/// \param text JSON with comments.
/// \param file Name of the file, for error messages.
/// \throws SettingsError that names the key, the error and the allowed range.
[[nodiscard]] Settings ParseSettings(std::string_view text,
                                     const std::string& file);

/// \brief Reads a settings file.
/// \throws SettingsError as `ParseSettings`, or when the file cannot be read.
[[nodiscard]] Settings LoadSettings(const std::string& file);

/// \returns The effective settings as JSON that `ParseSettings` accepts.
[[nodiscard]] std::string PrintSettings(const Settings& settings);

/// \returns A Markdown page with every key, unit, default and range.
[[nodiscard]] std::string DescribeSettings();

/// \throws SettingsError for an unknown level.
[[nodiscard]] LogLevel ParseLogLevel(std::string_view name);

/// \brief Makes the options of the core.
/// \param start_id Identifies this start of the process; must increase from one
/// start to the next.
/// \param seed Seed of the core's random choices.
[[nodiscard]] CoreOptions CoreOptionsOf(const Settings& settings,
                                        std::uint64_t start_id,
                                        std::uint64_t seed);
/// \brief Makes the options of the call server.
/// \param start_id As for `CoreOptionsOf`.
[[nodiscard]] CallServerOptions CallServerOptionsOf(const Settings& settings,
                                                    std::uint64_t start_id);

}  // namespace cassiabend
