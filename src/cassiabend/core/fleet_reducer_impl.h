#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "cassiabend/core/fleet_context.h"
#include "cassiabend/core/fleet_reducer.h"
#include "cassiabend/core/freshness.h"
#include "cassiabend/core/head_follow_tracker.h"
#include "cassiabend/core/head_watcher.h"
#include "cassiabend/core/join.h"
#include "cassiabend/core/join_readiness.h"
#include "cassiabend/core/join_seeds.h"
#include "cassiabend/core/member_directory.h"
#include "cassiabend/core/member_sync.h"
#include "cassiabend/core/membership.h"
#include "cassiabend/core/membership_prober.h"
#include "cassiabend/core/membership_server.h"
#include "cassiabend/core/reader_lease.h"
#include "cassiabend/core/return_greeter.h"
#include "cassiabend/core/spread.h"
#include "cassiabend/core/spread_pull.h"
#include "cassiabend/core/spread_tree.h"
#include "cassiabend/core/spread_versions.h"
#include "cassiabend/core/version_survey.h"

namespace cassiabend {

/// \brief Composes the parts of the fleet reducer: hands each event to the part
/// that it concerns and completes the datagrams that the parts send.
class FleetReducer::Impl {
 public:
  Impl(const FleetOptions& options, const Member& self, std::uint64_t seed);

  [[nodiscard]] const SpreadVersions& versions() const noexcept {
    return versions_;
  }
  [[nodiscard]] const Freshness& freshness() const noexcept {
    return freshness_;
  }
  [[nodiscard]] bool is_reader() const noexcept {
    return lease_.is_held() || reads_head_;
  }
  [[nodiscard]] FleetCounts counts() const noexcept;
  [[nodiscard]] std::vector<MemberView> Members(const Instant& now) const;

  void Reduce(const Instant& now,
              const FleetEvent& event,
              std::vector<FleetEffect>* out);

 private:
  void On(const FleetContext& context, const FleetTick& event);
  void On(const FleetContext& context, const DatagramReceived& event);
  void On(const FleetContext& context, const PushReceived& event);
  void On(const FleetContext& context, const PullReceived& event);
  void On(const FleetContext& context, const MembersRequested& event);
  void On(const FleetContext& context, const PushAnswered& event);
  void On(const FleetContext& context, const PullAnswered& event);
  void On(const FleetContext& context, const MembersAnswered& event);
  void On(const FleetContext& context, const LocalUpstreamChanged& event);
  void On(const FleetContext& context, const LocalLoadChanged& event);
  void On(const FleetContext& context, const LeaveRequested& event);
  void On(const FleetContext& context, const VersionCommitted& event);
  void On(const FleetContext& context, const StoreReplied& event);
  void On(const FleetContext& context, const MarksRequested& event);

  void OnBody(const FleetContext& context,
              const Datagram& datagram,
              const PingBody& body);
  void OnBody(const FleetContext& context,
              const Datagram& datagram,
              const AckBody& body);
  void OnBody(const FleetContext& context,
              const Datagram& datagram,
              const PingRequestBody& body);
  void OnBody(const FleetContext& context,
              const Datagram& datagram,
              const BeatBody& body);
  void OnBody(const FleetContext& context,
              const Datagram& datagram,
              const JoinBody& body);
  void OnBody(const FleetContext& context,
              const Datagram& datagram,
              const AttachBody& body);

  [[nodiscard]] bool IsFromOlderProcess(const Datagram& datagram) const;
  void TakeSender(const FleetContext& context, const Datagram& datagram);
  void NoticeMark(const FleetContext& context,
                  const NodeId& peer,
                  const VersionMark& mark);
  void Complete(const FleetContext& context, SendDatagram* send);
  void Finish(const FleetContext& context, const VersionMark& mark_before);
  [[nodiscard]] bool ShouldRead(const FleetContext& context);

  FleetOptions options_;
  Random random_;
  std::uint64_t store_sequence_ = 0;
  Membership membership_;
  MembershipProber prober_;
  MembershipServer member_server_;
  SpreadTree tree_;
  SpreadVersions versions_;
  Spread spread_;
  SpreadPull pull_;
  SpreadPullServer pull_server_;
  Freshness freshness_;
  ReaderLease lease_;
  HeadWatcher watch_;
  HeadFollowTracker following_;
  Join join_;
  SeedDirectory seeds_;
  MemberDirectory directory_;
  ReturnGreeter greeter_;
  JoinReadiness readiness_;
  VersionSurvey survey_;
  MemberSync member_sync_;
  std::uint16_t load_permille_ = 0;
  std::optional<bool> store_answers_;
  /// Whether the members' view makes this node read the head.
  bool reads_head_ = false;
  /// Whether the version applied in this event was committed here.
  bool committed_here_ = false;
};

}  // namespace cassiabend
