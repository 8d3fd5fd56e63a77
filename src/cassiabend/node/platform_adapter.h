#pragma once

#include <optional>
#include <string>

#include "cassiabend/core/upstream_report.h"
#include "cassiabend/node/ops_server.h"
#include "cassiabend/node/settings.h"

namespace cassiabend {

/// \brief A message on the control port, decoded.
struct ControlMessage {
  /// The heartbeat; unset when the message cannot be used.
  std::optional<UpstreamReport> report;
  /// What is wrong with a message that cannot be used.
  std::string error;
  /// What the sender is told.
  OpsResponse response;
};

/// \brief The names, formats and calls of one platform. Holds no decisions.
class PlatformAdapter {
 public:
  PlatformAdapter() = default;
  PlatformAdapter(const PlatformAdapter&) = delete;
  PlatformAdapter& operator=(const PlatformAdapter&) = delete;
  virtual ~PlatformAdapter() = default;

  /// \brief Reads a message on the control port.
  [[nodiscard]] virtual ControlMessage ReadControlRequest(
      const OpsRequest& request) const = 0;
  /// \returns Whether a request on the readiness port asks for readiness.
  [[nodiscard]] virtual bool IsReadinessRequest(
      const OpsRequest& request) const = 0;
  /// \brief Turns what the platform said in `settings->platform` into the
  /// product's own settings, and puts the platform's codecs in them.
  /// \throws SettingsError that names the field and the fault.
  virtual void ApplyPlatformSettings(Settings* settings) const = 0;
};

/// \returns The product's own interfaces, which need no translation.
[[nodiscard]] const PlatformAdapter& DefaultPlatformAdapter();

}  // namespace cassiabend
