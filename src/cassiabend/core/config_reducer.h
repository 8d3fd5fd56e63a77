#pragma once

#include <memory>
#include <vector>

#include "cassiabend/base/time.h"
#include "cassiabend/core/config_events.h"
#include "cassiabend/core/options.h"

namespace cassiabend {

/// \brief Processes operators' requests: validation, commit by
/// compare-and-swap of the head key, history, rollback and recovery. Also
/// deletes stored values that the head no longer refers to.
class ConfigReducer {
 public:
  /// \param seed Seeds the retry jitter and the random suffixes of new keys.
  ConfigReducer(const ConfigOptions& options, std::uint64_t seed);
  ConfigReducer(const ConfigReducer&) = delete;
  ConfigReducer& operator=(const ConfigReducer&) = delete;
  ~ConfigReducer();

  /// \brief Processes one event; effects are appended to `*out`.
  void Reduce(const Instant& now,
              const ConfigEvent& event,
              std::vector<ConfigEffect>* out);

  /// \brief Sends due retries, expires requests and advances the cleanup.
  void Tick(const Instant& now, std::vector<ConfigEffect>* out);

  /// \brief Sets the version that is in force on this node.
  void SetNewest(RefPtr<const Snapshot> snapshot);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cassiabend
