#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cassiabend/base/ref_counted.h"
#include "cassiabend/core/config_events.h"
#include "cassiabend/core/member.h"
#include "cassiabend/core/store_types.h"
#include "cassiabend/model/change.h"
#include "cassiabend/model/shared_delta.h"
#include "cassiabend/model/snapshot.h"

namespace cassiabend {

/// \brief One UDP message between nodes; see schema/mesh.capnp.
struct PingBody {
  std::uint32_t sequence = 0;
};
struct AckBody {
  std::uint32_t sequence = 0;
};
struct PingRequestBody {
  std::uint32_t sequence = 0;
  NodeId target;
};
struct BeatBody {
  /// Sequence of the receiver's newest attach.
  std::uint32_t sequence = 0;
  /// Time since that attach was received.
  Milliseconds held{0};
  /// Time since the sender, or whoever is above it, followed the head; unset
  /// for never.
  std::optional<Milliseconds> followed_age;
};
struct JoinBody {};
struct AttachBody {
  std::uint32_t sequence = 0;
};

struct Datagram {
  NodeId from;
  std::uint64_t from_start_id = 0;
  VersionMark mark;
  /// Age of the sender's newest confirmation of the head; unset for none.
  std::optional<Milliseconds> confirmed_age;
  /// Outstanding calls in thousandths of the slots.
  std::uint16_t load_permille = 0;
  std::vector<Member> updates;
  std::variant<PingBody,
               AckBody,
               PingRequestBody,
               BeatBody,
               JoinBody,
               AttachBody>
      body;
  /// With a beat: zones that the sender's zone cannot reach.
  std::vector<std::string> unreachable_zones;
  /// Digest of the live members that the sender knows; 0 for none stated.
  std::uint64_t members_digest = 0;
};

/// \brief The sender has nothing newer.
struct NoUpdate {};
/// \brief The sender is at its limit.
struct BusyUpdate {
  Milliseconds retry_after{0};
};

/// \brief A version on its way to a node.
struct ConfigUpdate {
  VersionMark mark;
  std::variant<NoUpdate, DeltaPtr, RefPtr<const Snapshot>, BusyUpdate> body;
  /// Age of the sender's newest confirmation of the head; unset for none.
  std::optional<Milliseconds> confirmed_age;
};

/// \brief Names one call from a peer that waits for an answer.
using PeerRequestId = std::uint64_t;

// Events.

/// \brief Event: time has passed; sent every `kFleetTickPeriod`.
struct FleetTick {};
/// \brief Event: a datagram arrived.
struct DatagramReceived {
  Datagram datagram;
};
/// \brief Event: a peer pushes a version and waits for this node's mark.
struct PushReceived {
  PeerRequestId request = 0;
  ConfigUpdate update;
};
/// \brief Event: a peer asks for what is newer than `have`.
struct PullReceived {
  PeerRequestId request = 0;
  VersionMark have;
};
/// \brief Event: a peer asks for all members.
struct MembersRequested {
  PeerRequestId request = 0;
};
/// \brief Event: a push was answered; unset `mark` when the peer failed.
struct PushAnswered {
  NodeId peer;
  std::optional<VersionMark> mark;
};
/// \brief Event: a pull was answered; unset when the peer failed.
struct PullAnswered {
  NodeId peer;
  std::optional<ConfigUpdate> update;
};
/// \brief Event: the member list of a peer; unset when the peer failed.
struct MembersAnswered {
  NodeId peer;
  std::optional<std::vector<Member>> members;
};
/// \brief Event: the state of this host's upstream changed.
struct LocalUpstreamChanged {
  UpstreamState state = UpstreamState::kNone;
  std::uint32_t slots = 0;
  /// The upstream's service; empty for the one stated before.
  std::string service;
};
/// \brief Event: outstanding calls at this host's upstream.
struct LocalLoadChanged {
  std::uint16_t load_permille = 0;
};
/// \brief Event: this node leaves; it states so to its peers.
struct LeaveRequested {};

/// \brief Event: an operator wants to know the members' versions.
struct MarksRequested {};

using FleetEvent = std::variant<FleetTick,
                                DatagramReceived,
                                PushReceived,
                                PullReceived,
                                MembersRequested,
                                PushAnswered,
                                PullAnswered,
                                MembersAnswered,
                                LocalUpstreamChanged,
                                LocalLoadChanged,
                                LeaveRequested,
                                VersionCommitted,
                                StoreReplied,
                                MarksRequested>;

// Effects.

struct SendDatagram {
  NodeId to;
  Datagram datagram;
};
/// \brief Effect: push a version; the answer returns as `PushAnswered`.
struct SendPush {
  NodeId to;
  ConfigUpdate update;
};
/// \brief Effect: pull; the answer returns as `PullAnswered`.
struct SendPull {
  NodeId to;
  VersionMark have;
};
/// \brief Effect: ask for members; the answer returns as `MembersAnswered`.
struct SendMembersRequest {
  NodeId to;
};
struct ReplyPush {
  PeerRequestId request = 0;
  VersionMark mark;
};
struct ReplyPull {
  PeerRequestId request = 0;
  ConfigUpdate update;
};
struct ReplyMembers {
  PeerRequestId request = 0;
  std::vector<Member> members;
};
/// \brief Effect: this version is in force from now on.
struct ApplyVersion {
  RefPtr<const Snapshot> snapshot;
};
/// \brief Effect: the head was confirmed no earlier than `at`.
struct HeadConfirmed {
  MonoTime at{};
};
/// \brief Effect: statements about members changed.
struct MembersChanged {
  std::vector<Member> members;
};
/// \brief Effect: newest load that a member reported.
struct MemberLoadReported {
  NodeId id;
  std::uint16_t load_permille = 0;
};
/// \brief Effect: whether the node may serve calls.
struct ReadinessChanged {
  bool ready = false;
  /// Why not, for operators; empty when ready.
  std::string reason;
};

/// \brief Effect: the value of the head key cannot be used; what is in force
/// stays.
struct HeadRefused {
  StoreRevision revision = 0;
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
                                 ReadinessChanged,
                                 HeadRefused>;

inline constexpr Milliseconds kFleetTickPeriod{100};

}  // namespace cassiabend
