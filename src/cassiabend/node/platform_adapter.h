#pragma once

#include <optional>
#include <string>

#include "cassiabend/core/upstream_heartbeat.h"
#include "cassiabend/node/ops_server.h"
#include "cassiabend/node/settings.h"

namespace cassiabend {

/// \brief A decoded request on the control port.
struct ControlMessage {
  /// What the upstream reports; unset when the request is invalid.
  std::optional<UpstreamHeartbeat> report;
  /// Why the request is invalid; empty when it is valid.
  std::string error;
  /// The HTTP response to the sender.
  OpsResponse response;
};

/// \brief Translates between the node and the platform that runs it: its names,
/// formats and calls. An adapter only translates; the core makes all decisions.
class PlatformAdapter {
 public:
  PlatformAdapter() = default;
  PlatformAdapter(const PlatformAdapter&) = delete;
  PlatformAdapter& operator=(const PlatformAdapter&) = delete;
  virtual ~PlatformAdapter() = default;

  /// \brief Decodes a request on the control port.
  [[nodiscard]] virtual ControlMessage ReadControlRequest(
      const OpsRequest& request) const = 0;
  /// \returns Whether `request` on the readiness port is a readiness probe.
  [[nodiscard]] virtual bool IsReadinessRequest(
      const OpsRequest& request) const = 0;
  /// \brief Fills in the node's settings from `settings->platform`, and sets
  /// the platform's codecs in them.
  /// \throws SettingsError that names the field and the error.
  virtual void ApplyPlatformSettings(Settings* settings) const = 0;
};

/// \returns The adapter for nodes without a platform: the node's own endpoints
/// and settings, without translation.
[[nodiscard]] const PlatformAdapter& DefaultPlatformAdapter();

}  // namespace cassiabend
