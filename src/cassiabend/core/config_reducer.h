#pragma once

#include <memory>
#include <vector>

#include "cassiabend/base/time.h"
#include "cassiabend/core/config_events.h"
#include "cassiabend/core/options.h"

namespace cassiabend {

/// \brief Decides the operators' requests: validation, commit by
/// compare-and-swap of the head key, history, rollback, recovery and the
/// clean-up of values that nothing reaches.
class ConfigReducer {
 public:
  /// \param seed Seed of retry jitter and of fresh keys.
  ConfigReducer(const ConfigOptions& options, std::uint64_t seed);
  ConfigReducer(const ConfigReducer&) = delete;
  ConfigReducer& operator=(const ConfigReducer&) = delete;
  ~ConfigReducer();

  /// \brief Answers one event; effects are appended to `*out`.
  void Reduce(const Instant& now,
              const ConfigEvent& event,
              std::vector<ConfigEffect>* out);

  /// \brief Lets waiting retries, timeouts and the clean-up proceed.
  void Tick(const Instant& now, std::vector<ConfigEffect>* out);

  /// \brief Tells the version that is in force on this node.
  void SetNewest(RefPtr<const Snapshot> snapshot);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cassiabend
