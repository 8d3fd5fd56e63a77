#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "cassiabend/base/time.h"
#include "cassiabend/core/config_events.h"
#include "cassiabend/model/change.h"
#include "cassiabend/rpc/admin_types.h"

namespace cassiabend {

/// \brief Blocking client of the administration API, for command-line tools.
/// Each method throws `RpcError` when no reply arrives. The outcome of a change
/// is then unknown; repeating the request with the same change id returns it.
class AdminClient {
 public:
  /// \param timeout Limit for connecting and for each request.
  /// \throws RpcError when the address cannot be reached.
  AdminClient(const std::string& ip,
              std::uint16_t port,
              std::string token,
              Milliseconds timeout);
  AdminClient(const AdminClient&) = delete;
  AdminClient& operator=(const AdminClient&) = delete;
  ~AdminClient();

  [[nodiscard]] CommitResult Commit(const Change& change, bool dry_run);
  [[nodiscard]] CommitResult Rollback(VersionNumber number,
                                      const ChangeId& change_id);
  [[nodiscard]] CommitResult Recover(const ChangeId& change_id);
  [[nodiscard]] CommitResult Drain(const NodeId& id);
  /// \param number 0 for the version in force.
  [[nodiscard]] CommitResult GetConfig(VersionNumber number, Config* config);
  [[nodiscard]] CommitResult GetStatus(FleetStatus* status);
  [[nodiscard]] CommitResult GetHistory(std::vector<HistoryEntry>* entries);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cassiabend
