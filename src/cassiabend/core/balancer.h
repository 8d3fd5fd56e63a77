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
#include "cassiabend/core/ejection.h"
#include "cassiabend/core/member.h"
#include "cassiabend/core/options.h"
#include "cassiabend/core/placement.h"

namespace cassiabend {

/// \brief How an attempt at an upstream ended, as this node saw it.
enum class AttemptOutcome : std::uint8_t {
  kAnswered,
  /// Refused for lack of capacity.
  kShed,
  /// Refused because the node or its upstream takes no work at present.
  kUnavailable,
  /// Refused for a reason that says nothing about the upstream.
  kNeutral,
  /// The upstream answered with an error of its own.
  kErrored,
  /// The node could not be reached.
  kUnreached,
  /// The node or upstream broke off.
  kFailed,
  /// Its connection fell silent.
  kSilent,
};

/// \brief One upstream and what this node has seen of it.
class Upstream final : public RefCounted<Upstream> {
 public:
  explicit Upstream(Member member) : member_(std::move(member)) {}

  [[nodiscard]] const Member& member() const noexcept { return member_; }
  [[nodiscard]] std::uint32_t outstanding() const noexcept {
    return outstanding_;
  }
  [[nodiscard]] const UpstreamSpeed& speed() const noexcept { return speed_; }

 private:
  friend class Balancer;

  Member member_;
  Nearness nearness_ = Nearness::kBeyond;
  /// Whether it stands in its service's index.
  bool indexed_ = false;
  std::uint32_t outstanding_ = 0;
  std::uint16_t reported_permille_ = 0;
  MonoTime reported_at_{};
  /// When it was seen to begin to serve; unset when it served before that.
  std::optional<MonoTime> serving_since_;
  /// It refused for lack of capacity and asked to be left alone until then.
  MonoTime shed_until_{};
  /// It takes no work, by its own word; its statement is still on the way.
  MonoTime unavailable_until_{};
  Nanoseconds latency_{0};
  EjectionRecord ejection_;
  UpstreamSpeed speed_;
};

/// \brief What a choice of an upstream is made by.
struct UpstreamQuery {
  std::string_view service;
  /// Upstreams that this call has tried already.
  std::span<const RefPtr<Upstream>> tried;
  std::string_view request_class;
  /// Time left within which the answer is worth most; 0 for none.
  Milliseconds objective{0};
};

/// \brief Chooses the upstream of each attempt. A choice looks at a bounded
/// number of upstreams, whatever the size of the fleet.
class Balancer {
 public:
  Balancer(const CallOptions& options, const Member& self);

  /// \returns How many upstreams are ejected at present.
  [[nodiscard]] std::size_t ejected() const noexcept;

  /// \returns How many nodes are known, this one included.
  [[nodiscard]] std::size_t nodes() const noexcept {
    return std::max<std::size_t>(upstreams_.size(), 1);
  }
  /// \returns The upstream for an attempt; null when the service has none.
  [[nodiscard]] RefPtr<Upstream> Pick(MonoTime now,
                                      const UpstreamQuery& query,
                                      Random* random);
  /// \returns The home upstream of an order key by rendezvous hash over the
  /// service's serving upstreams, without the tried ones.
  [[nodiscard]] RefPtr<Upstream> PickHome(MonoTime now,
                                          const UpstreamQuery& query,
                                          std::string_view key);

  /// \returns Whether more work would only wait or be refused there.
  [[nodiscard]] bool IsSaturated(MonoTime now,
                                 const Upstream& upstream) const noexcept;

  /// \brief Takes over a member's statement.
  void Update(MonoTime now, const Member& member);
  void UpdateLoad(MonoTime now, const NodeId& id, std::uint16_t load_permille);
  void RecordStart(Upstream* upstream) noexcept {
    ++upstream->outstanding_;
    Placement::RecordStart(&upstream->speed_);
  }
  /// \brief Notes what a destination said with its answer.
  /// \param latency Time from the start to the answer.
  void RecordTimes(MonoTime now,
                   std::string_view request_class,
                   Nanoseconds latency,
                   const DestinationTimes& times,
                   Upstream* upstream);
  /// \brief Notes the load that a destination states with a refusal.
  static void RecordLoad(MonoTime now,
                         const DestinationTimes& times,
                         Upstream* upstream) {
    Placement::RecordLoad(now, times.load_permille, &upstream->speed_);
  }
  /// \brief Notes the size of an answer's body.
  void RecordBytes(std::string_view service,
                   std::string_view request_class,
                   std::uint64_t bytes) {
    placement_.RecordBytes(service, request_class, bytes);
  }
  /// \param latency Time from the start to the answer; used when answered.
  /// \param retry_after How long a shedding upstream asks to be left alone.
  void RecordEnd(MonoTime now,
                 AttemptOutcome outcome,
                 Nanoseconds latency,
                 Milliseconds retry_after,
                 Upstream* upstream);

 private:
  struct Service {
    explicit Service(const EjectionLimits& limits) : ejection(limits) {}

    std::array<std::vector<Upstream*>, kNearnessLevels> levels;
    std::size_t size = 0;
    EjectionPolicy ejection;
    Nanoseconds latency{0};
  };
  using Level = std::vector<Upstream*>;

  [[nodiscard]] Nearness NearnessOf(const Member& member) const noexcept;
  [[nodiscard]] Service* FindService(std::string_view name);
  void Index(Upstream* upstream);
  void Unindex(Upstream* upstream);
  [[nodiscard]] bool IsUsable(MonoTime now,
                              const UpstreamQuery& query,
                              Service* service,
                              Upstream* upstream);
  [[nodiscard]] Upstream* Draw(MonoTime now,
                               const UpstreamQuery& query,
                               Service* service,
                               const Level& level,
                               Random* random);
  [[nodiscard]] Upstream* PickFastest(MonoTime now,
                                      const UpstreamQuery& query,
                                      Service* service,
                                      Random* random);
  [[nodiscard]] Upstream* PickInLevel(MonoTime now,
                                      const UpstreamQuery& query,
                                      Service* service,
                                      const Level& level,
                                      Random* random);
  [[nodiscard]] Upstream* PickLastResort(const UpstreamQuery& query,
                                         const Service& service,
                                         Random* random) const;
  [[nodiscard]] bool IsWarm(MonoTime now,
                            const Upstream& upstream,
                            Random* random) const;
  [[nodiscard]] double Score(MonoTime now,
                             const Service& service,
                             const Upstream& upstream) const noexcept;

  CallOptions options_;
  Member self_;
  Placement placement_;
  std::unordered_map<NodeId, RefPtr<Upstream>, NodeIdHasher> upstreams_;
  std::unordered_map<std::string, Service> services_;
};

}  // namespace cassiabend
