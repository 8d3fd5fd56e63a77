#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "cassiabend/core/applied_versions.h"
#include "cassiabend/core/dissemination.h"
#include "cassiabend/core/dissemination_tree.h"
#include "cassiabend/core/fleet_context.h"
#include "cassiabend/core/fleet_reducer.h"
#include "cassiabend/core/freshness.h"
#include "cassiabend/core/head_follow_tracker.h"
#include "cassiabend/core/head_watcher.h"
#include "cassiabend/core/join.h"
#include "cassiabend/core/join_readiness.h"
#include "cassiabend/core/member_directory.h"
#include "cassiabend/core/member_reconnector.h"
#include "cassiabend/core/member_sync.h"
#include "cassiabend/core/membership.h"
#include "cassiabend/core/membership_prober.h"
#include "cassiabend/core/membership_server.h"
#include "cassiabend/core/reader_lease.h"
#include "cassiabend/core/rollout/rollout_decider.h"
#include "cassiabend/core/rollout/rollout_orders.h"
#include "cassiabend/core/rollout/rollout_table.h"
#include "cassiabend/core/seed_directory.h"
#include "cassiabend/core/version_puller.h"
#include "cassiabend/core/version_survey.h"

namespace cassiabend {

/// \brief Dispatches each event to the parts of the fleet reducer that handle
/// it, and fills in the headers and updates of the datagrams that they send.
class FleetReducer::Impl {
 public:
  Impl(const FleetOptions& options, const Member& self, std::uint64_t seed);

  [[nodiscard]] const AppliedVersions& versions() const noexcept {
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
  void On(const FleetContext& context, const PushReplied& event);
  void On(const FleetContext& context, const PullReplied& event);
  void On(const FleetContext& context, const MembersReplied& event);
  void On(const FleetContext& context, const LocalUpstreamChanged& event);
  void On(const FleetContext& context, const LocalLoadChanged& event);
  void On(const FleetContext& context, const VersionsUsed& event);
  void On(const FleetContext& context, const LeaveRequested& event);
  void On(const FleetContext& context, const SendUseReport& event);
  void On(const FleetContext& context, const VersionCommitted& event);
  void On(const FleetContext& context, const StoreReplied& event);
  void On(const FleetContext& context, const VersionSurveyRequested& event);
  void OnStoreReply(const FleetContext& context, const StoreReplied& event);

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
              const HeartbeatBody& body);
  void OnBody(const FleetContext& context,
              const Datagram& datagram,
              const JoinBody& body);
  void OnBody(const FleetContext& context,
              const Datagram& datagram,
              const AttachBody& body);
  void OnBody(const FleetContext& context,
              const Datagram& datagram,
              const VersionReportBody& body);
  void OnBody(const FleetContext& context,
              const Datagram& datagram,
              const UseReport& body);

  /// \returns Whether an earlier process at the sender's address sent the
  /// datagram.
  [[nodiscard]] bool IsFromOlderProcess(const Datagram& datagram) const;
  void UpdateSender(const FleetContext& context, const Datagram& datagram);
  void PullIfNewer(const FleetContext& context,
                   const NodeId& peer,
                   const VersionMark& mark);
  /// \brief Compares an era of the store with the newest one known, and starts
  /// over with the store when it was restored since.
  /// \param era 0 for none.
  void ObserveStoreEra(const FleetContext& context, StoreEra era);
  /// \brief Tells the call path whom it reports the teams' use to.
  void UpdateUseLinks(const FleetContext& context);
  void FillDatagram(const FleetContext& context, SendDatagram* send);
  void FinishEvent(const FleetContext& context, const VersionMark& mark_before);
  [[nodiscard]] HeadDuty DecideHeadDuty(const FleetContext& context);
  /// \returns Whether a root other than this node, in a zone that is not known
  /// to be out of reach, may tell this node of changes.
  [[nodiscard]] bool HasOtherReaders() const;

  FleetOptions options_;
  Random random_;
  std::uint64_t store_sequence_ = 0;
  Membership membership_;
  MembershipProber prober_;
  MembershipServer member_server_;
  DisseminationTree tree_;
  AppliedVersions versions_;
  Dissemination dissemination_;
  VersionPuller puller_;
  VersionPullServer pull_server_;
  Freshness freshness_;
  ReaderLease lease_;
  HeadWatcher watch_;
  HeadFollowTracker following_;
  Join join_;
  SeedDirectory seeds_;
  MemberDirectory directory_;
  MemberReconnector reconnector_;
  JoinReadiness readiness_;
  VersionSurvey survey_;
  MemberSync member_sync_;
  RolloutTable rollouts_;
  RolloutOrders rollout_orders_;
  RolloutDecider rollout_decider_;
  std::uint16_t load_permille_ = 0;
  /// Newest era of the store that this node or a peer has seen; 0 for none.
  StoreEra store_era_ = 0;
  std::uint16_t time_percent_ = 0;
  UseLinks use_links_;
  /// View of the membership from which `use_links_` follows.
  std::uint64_t use_links_view_ = 0;
  /// Whether the last call to the store was answered; unset before the first.
  std::optional<bool> store_reachable_;
  /// Whether this node reads the head without a reader lease, because it hears
  /// of no node that follows the head; used with `FleetOptions::member_lease`.
  bool reads_head_ = false;
  /// Whether this node committed the version that the present event applied.
  bool committed_here_ = false;
};

}  // namespace cassiabend
