#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "cassiabend/model/change.h"
#include "tools/harness/fleet.h"
#include "tools/soak_callers.h"
#include "tools/soak_history.h"

namespace cassiabend::soak {

/// \brief Polls the nodes' configuration versions on one thread and commits
/// changes on another.
class Monitor {
 public:
  /// \param fleet Must outlive the monitor; its nodes must have been started.
  /// \param team Team that owns the changed routes.
  /// \param service Service of the changed routes.
  Monitor(const harness::Fleet& fleet,
          const RunClock& clock,
          std::string team,
          std::string service);
  Monitor(const Monitor&) = delete;
  Monitor& operator=(const Monitor&) = delete;
  /// \brief Stops and joins both threads.
  ~Monitor();

  /// \brief Queues a change to be committed through `host`, or through the
  /// next hosts when that fails.
  void QueueCommit(std::size_t host);
  [[nodiscard]] std::vector<VersionObservation> Versions() const;
  [[nodiscard]] std::vector<AcceptedCommit> Commits() const;

 private:
  void PollVersions();
  void ReadVersion(std::size_t host);
  void RunCommits();
  void Commit(std::size_t host);
  [[nodiscard]] Change NextChange();

  const harness::Fleet& fleet_;
  const RunClock& clock_;
  std::string team_;
  std::string service_;
  std::uint64_t changes_ = 0;
  mutable std::mutex mutex_;
  std::condition_variable wake_;
  bool is_stopping_ = false;
  std::deque<std::size_t> pending_hosts_;
  std::vector<VersionObservation> versions_;
  std::vector<AcceptedCommit> commits_;
  std::thread poll_thread_;
  std::thread commit_thread_;
};

}  // namespace cassiabend::soak
