#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cassiabend/base/random.h"
#include "cassiabend/base/ref_counted.h"
#include "cassiabend/base/time.h"
#include "cassiabend/core/cost_model.h"
#include "cassiabend/core/ejection.h"
#include "cassiabend/core/member.h"
#include "cassiabend/core/options.h"
#include "cassiabend/core/placement/load_expectation.h"

namespace cassiabend {

/// \brief How an attempt at an upstream ended, as observed by this node.
enum class AttemptOutcome : std::uint8_t {
  kAnswered,
  /// Refused for lack of capacity.
  kShed,
  /// Refused because the node or its upstream accepts no work at present.
  kUnavailable,
  /// Ended for a reason that says nothing about the upstream's health, such as
  /// a missing route or a caller that disconnected.
  kNeutral,
  /// The upstream answered with a server error.
  kServerError,
  /// The node could not be reached.
  kUnreached,
  /// The attempt was broken off: its answer was lost or did not come before the
  /// deadline, or its node wrongly reported the deadline as past.
  kFailed,
  /// The answer was lost because the connection stopped delivering data.
  kSilent,
};

/// \brief One upstream and this node's observations of it.
class Upstream final : public RefCounted<Upstream> {
 public:
  explicit Upstream(Member member) : member_(std::move(member)) {}

  [[nodiscard]] const Member& member() const noexcept { return member_; }
  [[nodiscard]] std::uint32_t outstanding() const noexcept {
    return outstanding_;
  }
  [[nodiscard]] const UpstreamStats& stats() const noexcept { return stats_; }

 private:
  friend class Balancer;

  Member member_;
  Locality locality_ = Locality::kOtherRegion;
  /// Whether the index of its service contains it.
  bool indexed_ = false;
  std::uint32_t outstanding_ = 0;
  std::uint16_t reported_load_permille_ = 0;
  MonoTime load_reported_at_{};
  /// When this node saw it change to serving; unset if it was already serving
  /// when it was first seen.
  std::optional<MonoTime> serving_since_;
  /// End of the back-off after a refusal for lack of capacity.
  MonoTime shed_until_{};
  /// End of the back-off after it refused because it accepts no work or could
  /// not be reached. Bridges the time until its member record arrives.
  MonoTime unavailable_until_{};
  Nanoseconds latency_{0};
  EjectionRecord ejection_;
  UpstreamStats stats_;
};

/// \brief Properties of a call that decide which upstream is picked.
struct UpstreamQuery {
  std::string_view service;
  /// Upstreams that earlier attempts of this call used; these are avoided.
  std::span<const RefPtr<Upstream>> tried;
  std::string_view request_class;
  /// Time left until the latency objective of the call; 0 for none.
  Milliseconds objective{0};
  /// Version of the upstreams; used with `CallOptions::gate_versions`.
  std::string_view version;
};

/// \brief Picks the upstream of each attempt. `Pick` examines a bounded number
/// of upstreams, whatever the size of the fleet.
class Balancer {
 public:
  Balancer(const CallOptions& options, const Member& self);

  /// \returns The number of upstreams that are ejected at present.
  [[nodiscard]] std::size_t ejected() const noexcept;

  /// \returns The number of known nodes, including this one.
  [[nodiscard]] std::size_t nodes() const noexcept {
    return std::max<std::size_t>(upstreams_.size(), 1);
  }
  /// \returns The upstream for an attempt; null when the service has no serving
  /// upstream that this call has not tried.
  [[nodiscard]] RefPtr<Upstream> Pick(MonoTime now,
                                      const UpstreamQuery& query,
                                      Random* random);
  /// \returns The home upstream of an order key: the one with the highest
  /// rendezvous hash among the service's serving upstreams that this call has
  /// not tried. Upstreams that are ejected or unavailable come last. Null when
  /// there is none.
  [[nodiscard]] RefPtr<Upstream> PickHome(MonoTime now,
                                          const UpstreamQuery& query,
                                          std::string_view key);

  /// \returns The one of the lowest expected cost among some of `ids`; null
  /// when none of them is usable.
  [[nodiscard]] RefPtr<Upstream> PickAmong(MonoTime now,
                                           const UpstreamQuery& query,
                                           std::span<const NodeId> ids,
                                           Random* random);

  /// \returns Whether a further attempt there would be queued or refused.
  [[nodiscard]] bool IsSaturated(MonoTime now,
                                 const Upstream& upstream) const noexcept;

  /// \brief Applies a member record.
  void Update(MonoTime now, const Member& member);
  /// \brief Applies a load that a member told other than with an answer.
  /// \param time_percent Time that work takes there, in hundredths of the
  /// usual; 0 if that is unknown.
  void UpdateLoad(MonoTime now,
                  const NodeId& id,
                  std::uint16_t load_permille,
                  std::uint16_t time_percent = 0);
  void RecordStart(Upstream* upstream) noexcept {
    ++upstream->outstanding_;
    CostModel::RecordStart(&upstream->stats_);
  }
  /// \brief Records the load and times that a destination sent with its answer.
  /// \param latency Time from the start of the attempt to its answer.
  void RecordTimes(MonoTime now,
                   std::string_view request_class,
                   Nanoseconds latency,
                   const DestinationTimes& times,
                   Upstream* upstream);
  /// \brief Records the load that a destination sent with a refusal or an error
  /// answer.
  void RecordLoad(MonoTime now,
                  const DestinationTimes& times,
                  Upstream* upstream) {
    CostModel::RecordLoad(now, times.load_permille, &upstream->stats_);
    RecordTold(now, times.load_permille, times.time_percent, upstream);
  }
  /// \brief Records the size of an answer's body.
  void RecordAnswerSize(std::string_view service,
                        std::string_view request_class,
                        std::uint64_t bytes) {
    cost_model_.RecordAnswerSize(service, request_class, bytes);
  }
  /// \brief Records the end of an attempt.
  /// \param latency Time from the start of the attempt to its answer; used for
  /// `kAnswered` only.
  /// \param retry_after Back-off that a shedding upstream asked for; used for
  /// `kShed` only.
  void RecordEnd(MonoTime now,
                 AttemptOutcome outcome,
                 Nanoseconds latency,
                 Milliseconds retry_after,
                 Upstream* upstream);

 private:
  struct Service {
    explicit Service(const EjectionLimits& limits) : ejection(limits) {}

    /// Serving upstreams by locality, the nearest first.
    std::array<std::vector<Upstream*>, kLocalityLevels> levels;
    std::size_t size = 0;
    EjectionPolicy ejection;
    /// Moving average over all upstreams.
    Nanoseconds latency{0};
    /// Kept with `CallOptions::place_by_completion` only.
    LoadExpectation loads;
  };
  using Level = std::vector<Upstream*>;

  [[nodiscard]] Locality LocalityOf(const Member& member) const noexcept;
  /// \returns The key of `services_` for the upstreams of a service that a call
  /// may use.
  [[nodiscard]] std::string KeyOf(std::string_view service,
                                  std::string_view version) const;
  [[nodiscard]] Service* FindService(std::string_view service,
                                     std::string_view version);
  void Index(Upstream* upstream);
  void Unindex(Upstream* upstream);
  [[nodiscard]] bool IsUsable(MonoTime now,
                              const UpstreamQuery& query,
                              Service* service,
                              Upstream* upstream);
  /// \returns A usable upstream near a random position of a level, preferably
  /// one that passes slow start; null when a bounded search finds none.
  [[nodiscard]] Upstream* PickRandom(MonoTime now,
                                     const UpstreamQuery& query,
                                     Service* service,
                                     const Level& level,
                                     Random* random);
  /// \returns The upstream with the lowest cost among some usable ones of each
  /// level; null when there is none.
  [[nodiscard]] Upstream* PickLowestCost(MonoTime now,
                                         const UpstreamQuery& query,
                                         Service* service,
                                         Random* random);
  /// \returns The upstream that is expected to complete the call at the lowest
  /// cost, among some usable ones of each level; null when there is none.
  [[nodiscard]] Upstream* PickByCompletion(MonoTime now,
                                           const UpstreamQuery& query,
                                           Service* service,
                                           Random* random);
  [[nodiscard]] UpstreamExpectation ExpectationOf(
      MonoTime now,
      const Service& service,
      const Upstream& upstream) const noexcept;
  /// \brief Records what an upstream told, for `PickByCompletion`.
  void RecordTold(MonoTime now,
                  std::uint16_t load_permille,
                  std::uint16_t time_percent,
                  Upstream* upstream);
  /// \returns The better one by `Score` of two random upstreams of a level;
  /// null when there is none.
  [[nodiscard]] Upstream* PickInLevel(MonoTime now,
                                      const UpstreamQuery& query,
                                      Service* service,
                                      const Level& level,
                                      Random* random);
  /// \returns The nearest upstream that this call has not tried, whether or not
  /// it is usable; null when a bounded search finds none.
  [[nodiscard]] Upstream* PickLastResort(const UpstreamQuery& query,
                                         const Service& service,
                                         Random* random) const;
  /// \returns The levels in which `PickLastResort` searches.
  [[nodiscard]] std::span<const Level> LastResortLevels(
      const Service& service) const noexcept;
  /// \returns Whether an upstream may get a call now. In slow start this is
  /// random, with a probability that grows with the time since it began to
  /// serve.
  [[nodiscard]] bool PassesSlowStart(MonoTime now,
                                     const Upstream& upstream,
                                     Random* random) const;
  /// \returns A measure of load and latency; the upstream with the lower one is
  /// better.
  [[nodiscard]] double Score(MonoTime now,
                             const Service& service,
                             const Upstream& upstream) const noexcept;

  CallOptions options_;
  Member self_;
  CostModel cost_model_;
  std::unordered_map<NodeId, RefPtr<Upstream>, NodeIdHasher> upstreams_;
  /// By service; with `CallOptions::gate_versions` by service and version.
  std::unordered_map<std::string, Service> services_;
};

}  // namespace cassiabend
