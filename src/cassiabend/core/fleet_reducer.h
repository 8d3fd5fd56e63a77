#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "cassiabend/base/time.h"
#include "cassiabend/core/fleet_events.h"
#include "cassiabend/core/options.h"

namespace cassiabend {

/// \brief What a node knows of one member, for operators.
struct MemberView {
  Member member;
  VersionMark mark;
  /// Age of the member's own confirmation when it was last heard.
  std::optional<Milliseconds> confirmed_age;
  /// Time since its mark was last heard; unset for never.
  std::optional<Milliseconds> mark_age;
};

/// \brief Decides membership, the spread of versions, reader leases, joining
/// and freshness.
class FleetReducer {
 public:
  /// \param self This node's first statement about itself.
  /// \param seed Seed of jitter and of random choices.
  FleetReducer(const FleetOptions& options,
               const Member& self,
               std::uint64_t seed);
  FleetReducer(const FleetReducer&) = delete;
  FleetReducer& operator=(const FleetReducer&) = delete;
  ~FleetReducer();

  /// \brief Answers one event; effects are appended to `*out`.
  void Reduce(const Instant& now,
              const FleetEvent& event,
              std::vector<FleetEffect>* out);

  /// \returns All members known, this node first.
  [[nodiscard]] std::vector<MemberView> Members(const Instant& now) const;
  /// \returns The version in force; null before the first.
  [[nodiscard]] RefPtr<const Snapshot> newest() const noexcept;
  /// \returns Whether this node holds one of its zone's reader leases.
  [[nodiscard]] bool is_reader() const noexcept;
  /// \returns The time to which the head is confirmed; unset for never.
  [[nodiscard]] std::optional<MonoTime> confirmed_at() const noexcept;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cassiabend
