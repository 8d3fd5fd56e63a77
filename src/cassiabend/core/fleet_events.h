#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "cassiabend/base/ref_counted.h"
#include "cassiabend/core/allotments/team_use.h"
#include "cassiabend/core/config_events.h"
#include "cassiabend/core/member.h"
#include "cassiabend/core/rollout/rollout.h"
#include "cassiabend/core/rollout/version_counts.h"
#include "cassiabend/core/store_types.h"
#include "cassiabend/model/change.h"
#include "cassiabend/model/shared_delta.h"
#include "cassiabend/model/snapshot.h"

namespace cassiabend {

// Bodies of a datagram; see schema/mesh.capnp.

/// \brief Asks the receiver for an acknowledgement.
struct PingBody {
  std::uint32_t sequence = 0;
};
/// \brief Answers a ping, or a join request with sequence 0.
struct AckBody {
  /// Sequence of the ping that is answered.
  std::uint32_t sequence = 0;
};
/// \brief Asks the receiver to ping `target` for the sender: an indirect probe.
struct PingRequestBody {
  std::uint32_t sequence = 0;
  NodeId target;
};
/// \brief Heartbeat from a parent of the dissemination tree to a child.
struct HeartbeatBody {
  /// Sequence of the newest attach received from the child.
  std::uint32_t sequence = 0;
  /// Time since that attach arrived.
  Milliseconds held{0};
  /// Time since the sender or a node above it in the tree last followed the
  /// store's head itself; unset for never.
  std::optional<Milliseconds> followed_age;
};
/// \brief Introduces the sender, whose record it carries, and asks the receiver
/// to introduce itself.
struct JoinBody {};
/// \brief Asks the receiver to become the sender's parent, or to remain it.
struct AttachBody {
  std::uint32_t sequence = 0;
};

/// \brief Tells a node that decides on roll-outs how their versions answer the
/// sender's calls.
struct VersionReportBody {
  std::vector<VersionUse> uses;
};

/// \brief One UDP message between nodes.
struct Datagram {
  NodeId from;
  std::uint64_t from_start_id = 0;
  /// The sender's version in force.
  VersionMark mark;
  /// Age of the sender's newest confirmation of the head; unset for none.
  std::optional<Milliseconds> confirmed_age;
  /// Outstanding calls at the sender's upstream in thousandths of its slots.
  std::uint16_t load_permille = 0;
  /// Piggybacked membership records.
  std::vector<Member> updates;
  std::variant<PingBody,
               AckBody,
               PingRequestBody,
               HeartbeatBody,
               JoinBody,
               AttachBody,
               VersionReportBody,
               UseReport>
      body;
  /// In a heartbeat: zones that the sender's zone cannot reach.
  std::vector<std::string> unreachable_zones;
  /// Digest of the live members that the sender knows; 0 if it states none.
  std::uint64_t members_digest = 0;
  /// Time that work takes at the sender's upstream, in hundredths of the usual;
  /// 0 if it states none.
  std::uint16_t time_percent = 0;
  /// Newest era of the store that the sender knows; 0 if it knows none.
  StoreEra store_era = 0;
  /// In heartbeats and answers to version reports: roll-outs that the sender
  /// knows.
  std::vector<RolloutNews> rollouts;
};

/// \brief The sender has no newer version.
struct NoUpdate {};
/// \brief The sender is at its rate limit for full versions.
struct BusyUpdate {
  Milliseconds retry_after{0};
};

/// \brief A configuration version as a push or the answer to a pull carries it.
struct ConfigUpdate {
  /// The sender's version in force.
  VersionMark mark;
  std::variant<NoUpdate, DeltaPtr, RefPtr<const Snapshot>, BusyUpdate> body;
  /// Age of the sender's newest confirmation of the head; unset for none.
  std::optional<Milliseconds> confirmed_age;
};

/// \brief Identifies one request from a peer that waits for an answer.
using PeerRequestId = std::uint64_t;

// Events.

/// \brief Event: timer tick, every `kFleetTickPeriod`.
struct FleetTick {};
/// \brief Event: a datagram arrived.
struct DatagramReceived {
  Datagram datagram;
};
/// \brief Event: a peer pushed a version and waits for the mark of this node's
/// version.
struct PushReceived {
  PeerRequestId request = 0;
  ConfigUpdate update;
};
/// \brief Event: a peer asked for a version newer than its own, `have`.
struct PullReceived {
  PeerRequestId request = 0;
  VersionMark have;
};
/// \brief Event: a peer asked for the member list.
struct MembersRequested {
  PeerRequestId request = 0;
};
/// \brief Event: a push ended; `mark` is unset if the peer did not answer.
struct PushReplied {
  NodeId peer;
  std::optional<VersionMark> mark;
};
/// \brief Event: a pull ended; `update` is unset if the peer did not answer.
struct PullReplied {
  NodeId peer;
  std::optional<ConfigUpdate> update;
};
/// \brief Event: a request for members ended; `members` is unset if the peer
/// did not answer.
struct MembersReplied {
  NodeId peer;
  std::optional<std::vector<Member>> members;
};
/// \brief Event: the state of this host's upstream changed.
struct LocalUpstreamChanged {
  UpstreamState state = UpstreamState::kNone;
  std::uint32_t slots = 0;
  /// Service of the upstream; empty to keep the present one.
  std::string service;
  /// Version of the upstream's software; empty if it states none.
  std::string version;
};
/// \brief Event: the load of this host's upstream changed.
struct LocalLoadChanged {
  /// Outstanding calls in thousandths of the slots.
  std::uint16_t load_permille = 0;
  /// Time that work takes there, in hundredths of the usual; 0: unknown.
  std::uint16_t time_percent = 0;
};
/// \brief Event: how versions that are being rolled out answer this node's
/// calls.
struct VersionsUsed {
  std::vector<VersionUse> uses;
};
/// \brief Event: this node is to leave the fleet and tell its peers.
struct LeaveRequested {};

/// \brief Event: a report on the teams' use is to be sent.
struct SendUseReport {
  NodeId to;
  UseReport report;
};

/// \brief Event: an operator asked for the members' versions.
struct VersionSurveyRequested {};

using FleetEvent = std::variant<FleetTick,
                                DatagramReceived,
                                PushReceived,
                                PullReceived,
                                MembersRequested,
                                PushReplied,
                                PullReplied,
                                MembersReplied,
                                LocalUpstreamChanged,
                                LocalLoadChanged,
                                VersionsUsed,
                                LeaveRequested,
                                SendUseReport,
                                VersionCommitted,
                                StoreReplied,
                                VersionSurveyRequested>;

// Effects.

/// \brief Effect: send a datagram.
struct SendDatagram {
  NodeId to;
  Datagram datagram;
};
/// \brief Effect: push a version; ends with `PushReplied`.
struct SendPush {
  NodeId to;
  ConfigUpdate update;
};
/// \brief Effect: ask a peer for a version newer than `have`; ends with
/// `PullReplied`.
struct SendPull {
  NodeId to;
  VersionMark have;
};
/// \brief Effect: ask a peer for its member list; ends with `MembersReplied`.
struct SendMembersRequest {
  NodeId to;
};
/// \brief Effect: answer a push with the mark of the version in force.
struct ReplyPush {
  PeerRequestId request = 0;
  VersionMark mark;
};
/// \brief Effect: answer a pull.
struct ReplyPull {
  PeerRequestId request = 0;
  ConfigUpdate update;
};
/// \brief Effect: answer a request for the member list.
struct ReplyMembers {
  PeerRequestId request = 0;
  std::vector<Member> members;
};
/// \brief Effect: put a version into force.
struct ApplyVersion {
  RefPtr<const Snapshot> snapshot;
};
/// \brief Effect: the version in force was confirmed as the store's head no
/// earlier than `at`.
struct HeadConfirmed {
  MonoTime at{};
};
/// \brief Effect: these membership records changed.
struct MembersChanged {
  std::vector<Member> members;
};
/// \brief Effect: a member reported its load, in thousandths of its slots.
struct MemberLoadReported {
  NodeId id;
  std::uint16_t load_permille = 0;
  /// Time that work takes there, in hundredths of the usual; 0: unknown.
  std::uint16_t time_percent = 0;
};
/// \brief Effect: the nodes to which this one reports the teams' use changed.
struct UseLinksChanged {
  UseLinks links;
};
/// \brief Effect: a node reported the teams' use.
struct UseReportReceived {
  NodeId from;
  std::string zone;
  UseReport report;
};
/// \brief Effect: the node became able or unable to serve calls, or the reason
/// changed.
struct ReadinessChanged {
  bool ready = false;
  /// Why the node is not ready, for operators; empty when ready.
  std::string reason;
};

/// \brief Effect: the value of the store's head key is unusable; the version in
/// force stays.
struct HeadRefused {
  StoreRevision revision = 0;
  std::string reason;
};

/// \brief Effect: the store was restored from a copy; for logs.
struct StoreRestored {
  StoreEra era = 0;
};

/// \brief Effect: a part of the value of the store's head key cannot be used;
/// the rest of the version is in force.
struct HeadPartRefused {
  StoreRevision revision = 0;
  std::string reason;
};

/// \brief Effect: what is known of these roll-outs has changed, or was vouched
/// for again.
struct RolloutsChanged {
  std::vector<RolloutNews> rollouts;
};

/// \brief Effect: this node has decided on a roll-out, for logs.
struct RolloutDecided {
  Rollout rollout;
  /// Stable name of the reason.
  std::string_view reason;
  /// Answers of both versions since the order.
  VersionComparison counts;
};

/// \brief Effect: an order of a roll-out, or its state, cannot be read; it is
/// ignored.
struct RolloutRefused {
  std::string key;
  std::string reason;
};

using FleetEffect = std::variant<SendDatagram,
                                 SendPush,
                                 SendPull,
                                 SendMembersRequest,
                                 ReplyPush,
                                 ReplyPull,
                                 ReplyMembers,
                                 StoreCall,
                                 ApplyVersion,
                                 HeadConfirmed,
                                 MembersChanged,
                                 MemberLoadReported,
                                 UseLinksChanged,
                                 UseReportReceived,
                                 ReadinessChanged,
                                 HeadRefused,
                                 StoreRestored,
                                 HeadPartRefused,
                                 RolloutsChanged,
                                 RolloutDecided,
                                 RolloutRefused>;

inline constexpr Milliseconds kFleetTickPeriod{100};

}  // namespace cassiabend
