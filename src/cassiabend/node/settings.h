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

/// \brief Where a node answers and what place it has.
struct NodeSettings {
  std::string ip;
  std::uint16_t peer_port = 7101;
  std::uint16_t call_port = 7102;
  /// Port that other nodes are told for calls; 0 for `call_port`.
  std::uint16_t announced_call_port = 0;
  std::uint16_t admin_port = 7103;
  std::uint16_t metrics_port = 7104;
  /// Port on which the platform asks whether the node is ready; 0 for none.
  std::uint16_t readiness_port = 0;
  /// Port on which the upstream sends its heartbeats; 0 for none.
  std::uint16_t control_port = 0;
  std::string region;
  std::string zone;
  /// Longest graceful shutdown.
  Milliseconds shutdown_timeout{30'000};
  /// Seed of random choices; 0 takes a fresh one at each start.
  std::uint64_t seed = 0;
  std::string log_level = "info";
};

/// \brief The upstream on the node's host.
struct UpstreamSettings {
  /// Empty when the host has no upstream.
  std::string service;
  std::string ip;
  std::uint16_t port = 0;
  std::uint32_t slots = 1;
};

/// \brief What a platform tells its programs, in its own form; see platform/.
struct PlatformSettings {
  /// Name of the adapter; empty for the product's own interfaces.
  std::string adapter;
  /// Addresses as "IP:PORT".
  std::string upstream_address;
  std::string peer_call_address;
  std::string caller_address;
  std::string readiness_address;
  std::string control_address;
  std::string heartbeat;
  std::string bounds;
  std::string link_mbps;
  std::string first_start;
};

/// \brief Everything that one node is told by its settings file.
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

/// \brief Reads settings: JSON with comments.
/// \param text The file's text.
/// \param file Name of the file, for errors.
/// \throws SettingsError that names the key, the fault and the allowed range.
[[nodiscard]] Settings ParseSettings(std::string_view text,
                                     const std::string& file);

/// \brief Reads a settings file.
/// \throws SettingsError as `ParseSettings`, or when it cannot be read.
[[nodiscard]] Settings LoadSettings(const std::string& file);

/// \returns The effective settings as JSON that `ParseSettings` reads.
[[nodiscard]] std::string PrintSettings(const Settings& settings);

/// \returns A Markdown page with every key, unit, default and range.
[[nodiscard]] std::string DescribeSettings();

[[nodiscard]] LogLevel ParseLogLevel(std::string_view name);

/// \brief Options of the core, the store client, and so on, filled in from the
/// settings.
/// \param start_id Greater for each start of the process.
[[nodiscard]] CoreOptions CoreOptionsOf(const Settings& settings,
                                        std::uint64_t start_id,
                                        std::uint64_t seed);
[[nodiscard]] CallServerOptions CallServerOptionsOf(const Settings& settings,
                                                    std::uint64_t start_id);

}  // namespace cassiabend
