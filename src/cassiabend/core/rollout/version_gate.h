#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cassiabend/base/time.h"
#include "cassiabend/core/member.h"
#include "cassiabend/core/options.h"
#include "cassiabend/core/rollout/rollout.h"
#include "cassiabend/core/rollout/version_counts.h"

namespace cassiabend {

/// \brief The versions whose upstreams a call may use.
struct VersionChoice {
  std::string_view version;
  /// The only upstreams of `version` that may be used; empty for all.
  std::span<const NodeId> canaries;
  /// Version to use where `version` has no usable upstream; unset for none.
  std::optional<std::string_view> fallback;
};

/// \brief How an upstream answered a call, as far as it tells of its version.
enum class VersionOutcome : std::uint8_t {
  kAnswered,
  /// A server error, a lost answer or a malformed one.
  kFailed,
  /// Says nothing.
  kNeutral,
};

/// \brief Decides for each call which version of its service may run it, by
/// the roll-outs that this node knows, and counts how the versions answer.
///
/// A version that no order names gets no calls beside another one. A version
/// that is being rolled out gets its share of this node's calls, of which none
/// are repeats, at some of its upstreams only, so that each of them carries the
/// load that it will have. It gets none while nobody vouches for the state of
/// the roll-out, and none after failures that this node saw itself.
///
/// Inactive unless `CallOptions::gate_versions` is set.
class VersionGate {
 public:
  VersionGate(const CallOptions& options, const NodeId& self);

  [[nodiscard]] bool is_enabled() const noexcept { return enabled_; }
  /// \brief Records a member. If it does not state its version yet, fills in
  /// the one that it stated before.
  void Update(Member* member);
  void Update(MonoTime now, const std::vector<RolloutNews>& rollouts);

  /// \param is_first Whether nothing was sent for the call yet.
  [[nodiscard]] VersionChoice Choose(MonoTime now,
                                     std::string_view service,
                                     bool is_first);
  void RecordStart(MonoTime now,
                   const Member& member,
                   std::string_view request_class);
  /// \param started_at When `RecordStart` was called for the call.
  /// \param time Time at the upstream; used for `kAnswered` only.
  void RecordEnd(MonoTime now,
                 MonoTime started_at,
                 const Member& member,
                 std::string_view request_class,
                 VersionOutcome outcome,
                 Milliseconds time);
  /// \returns What was counted for the roll-outs that are running. A call that
  /// has already taken several times as long as usual counts as a slow answer
  /// before it ends, so that answers to come weigh too.
  [[nodiscard]] std::vector<VersionUse> Uses(MonoTime now);

 private:
  struct Known {
    Rollout rollout;
    /// When a deciding node last vouched for `rollout`; unset for never.
    std::optional<MonoTime> vouched_at;
  };
  struct ClassUse {
    VersionComparison counts;
    /// When the calls began that run and are not counted yet.
    std::multiset<MonoTime> open_old;
    std::multiset<MonoTime> open_new;
  };
  struct Service {
    /// Serving upstreams by version, ordered by a hash that all nodes share.
    std::map<std::string, std::vector<NodeId>, std::less<>> versions;
    /// The version that serves where no order says otherwise.
    std::string established;
    std::optional<Known> known;
    /// Calls in thousandths that the target version has not been given yet.
    std::uint32_t credit = 0;
    /// Whether failures seen here keep calls from the target version.
    bool is_halted = false;
    std::map<std::string, ClassUse, std::less<>> classes;
    /// Calls that run, by the version of their upstream.
    std::map<std::string, std::uint32_t, std::less<>> running;
    /// When the last call at another version than the target ended.
    MonoTime old_ended_at{};

    [[nodiscard]] bool Serves(std::string_view version) const;
    [[nodiscard]] bool UsesOld(MonoTime now) const;
    [[nodiscard]] std::string_view OldVersion() const;
  };
  struct Stated {
    std::string service;
    std::string version;
    bool serves = false;
  };

  void ForgetGone();
  void Remove(const NodeId& id, const Stated& stated);
  void Add(const NodeId& id, const Stated& stated);
  static void Elect(Service* service);
  [[nodiscard]] VersionChoice ChooseRunning(MonoTime now,
                                            Service* service,
                                            bool is_first) const;
  /// \returns The counts of a request class, or of all classes beyond a limit.
  [[nodiscard]] static ClassUse& ClassOf(std::string_view request_class,
                                         Service* service);
  static void CountOpen(MonoTime now, ClassUse* use);
  [[nodiscard]] static VersionCounts Sum(
      const Service& service,
      VersionCounts VersionComparison::*version);
  static void HaltIfFailing(Service* service);

  bool enabled_;
  Milliseconds vouch_limit_;
  /// Makes the nodes begin to send calls to a new version at different times.
  std::uint32_t first_credit_;
  std::size_t serving_ = 0;
  std::unordered_map<NodeId, Stated, NodeIdHasher> members_;
  std::map<std::string, Service, std::less<>> services_;
};

}  // namespace cassiabend
