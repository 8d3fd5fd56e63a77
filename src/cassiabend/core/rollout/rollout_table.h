#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cassiabend/core/fleet_context.h"
#include "cassiabend/core/rollout/rollout.h"

namespace cassiabend {

/// \brief The newest state that this node knows of each service's roll-out.
/// Reports changes to the call path.
class RolloutTable {
 public:
  struct Entry {
    Rollout rollout;
    /// When the order became known to the first node.
    MonoTime ordered_at{};
    /// When the state was last vouched for; unset for never.
    std::optional<MonoTime> vouched_at;
    /// When the state became known here.
    MonoTime changed_at{};
  };
  using Entries = std::map<std::string, Entry>;

  [[nodiscard]] const Entries& entries() const noexcept { return entries_; }
  [[nodiscard]] const Entry* Find(const std::string& service) const;
  [[nodiscard]] bool has_running() const noexcept;
  /// \returns A number that grows with each newer state.
  [[nodiscard]] std::uint64_t changes() const noexcept { return changes_; }

  /// \brief Replaces the known state if this one is newer.
  void Update(const FleetContext& context, const Rollout& rollout);
  /// \brief Merges what another node knows.
  void Merge(const FleetContext& context, const std::vector<RolloutNews>& news);
  /// \brief Vouches for the known state of a service's roll-out.
  void Vouch(const FleetContext& context, const std::string& service);
  /// \returns What to tell other nodes.
  [[nodiscard]] std::vector<RolloutNews> News(MonoTime now) const;

 private:
  static RolloutNews NewsOf(MonoTime now, const Entry& entry);
  bool Apply(const FleetContext& context, const RolloutNews& news);

  Entries entries_;
  std::uint64_t changes_ = 0;
};

}  // namespace cassiabend
