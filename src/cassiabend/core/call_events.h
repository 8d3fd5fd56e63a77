#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "cassiabend/base/hash.h"
#include "cassiabend/base/ref_counted.h"
#include "cassiabend/core/call_phases.h"
#include "cassiabend/core/destination_times.h"
#include "cassiabend/core/fleet_events.h"
#include "cassiabend/core/member.h"
#include "cassiabend/core/placement/upstream_load.h"
#include "cassiabend/core/upstream_heartbeat.h"
#include "cassiabend/model/snapshot.h"

namespace cassiabend {

/// \returns Whether an HTTP status is a server error.
[[nodiscard]] constexpr bool IsServerError(std::uint16_t status) noexcept {
  constexpr std::uint16_t kFirstServerError = 500;
  return status >= kFirstServerError;
}

/// \brief Identifies a caller's request at its entry node.
using CallId = std::uint64_t;
/// \brief Identifies, at the destination node, the connection that brought an
/// attempt, fetch or cancel.
using ConnectionId = std::uint64_t;

/// \brief Attributes of a caller's request at its entry node.
struct CallMetadata {
  /// Request id set by the caller, for logs; may be empty.
  std::string request_id;
  std::string team;
  std::string host;
  std::string path;
  std::string method;
  /// Digest of the key by which the caller identifies its team; unset for none.
  std::optional<KeyDigest> key;
  /// Idempotency key of an order; empty for none.
  std::string order_key;
  /// Custom headers ("x-…"), with lower-case names.
  std::vector<std::pair<std::string, std::string>> headers;
  /// Time that the caller still waits; unset if it states none.
  std::optional<Milliseconds> deadline;
  /// Number of calls above this one in its chain of nested calls.
  std::uint8_t depth = 0;
  /// Whether a caller above this one already retries; see docs/CALLERS.md.
  bool is_retry = false;
  /// Size of the request's body.
  std::uint64_t body_bytes = 0;
};

/// \brief Why a call was not run. `kNotRunReasonNames` has the same order.
enum class NotRunReason : std::uint8_t {
  kNoRoute,
  kNotReady,
  kNoUpstream,
  kOverloaded,
  kShareExceeded,
  kQuietWindow,
  kStaleConfiguration,
  kUnknownSite,
  kDraining,
  kDeadline,
  kRestarted,
  kCancelled,
  kUnreachable,
  kDepthExceeded,
  kBadRequest,
  /// The store, in which orders with a key are claimed, cannot be reached.
  kStoreUnavailable,
  /// The caller's key is missing or belongs to no team.
  kUnknownKey,
  /// The team has used up its allotment.
  kAllotmentExceeded,
};

/// \returns The stable name of a reason, as callers and metrics see it.
[[nodiscard]] std::string_view NameOf(NotRunReason reason) noexcept;
/// \returns The reason that has this name; unset for an unknown name.
[[nodiscard]] std::optional<NotRunReason> NotRunReasonByName(
    std::string_view name) noexcept;

/// Time left to an objective that was missed; 0 means that there is no
/// objective.
inline constexpr Milliseconds kMissedObjective{1};

/// \brief One attempt, as the entry node sends it to the destination node.
struct AttemptRequest {
  AttemptId id;
  /// Request id set by the caller, for logs; may be empty.
  std::string request_id;
  /// Start id of the destination's process; a process with another one refuses
  /// the attempt.
  std::uint64_t destination_start_id = 0;
  std::string route;
  std::string service;
  std::string team;
  std::string request_class;
  std::string order_key;
  std::string site;
  /// Service of the host at which the call entered; empty for none.
  std::string caller_service;
  /// Whether it must not run in a quiet window of `site`.
  bool noisy = false;
  /// Whether it may run at most once.
  bool once = false;
  /// Upper bound of how long the job of noisy work runs from its start.
  Seconds longest_job{0};
  /// Configuration version by which the entry node routed the call.
  VersionNumber config_number = 0;
  /// Time left at the moment of sending.
  Milliseconds deadline{0};
  /// Time left to the latency objective; 0 if the route has none.
  Milliseconds objective{0};
  /// Priority of the route; 0 is served first.
  std::uint32_t priority = 0;
  /// Priority of the team, which outranks that of the route; 0 is served first.
  std::uint32_t team_priority = 0;
  /// Whether `team` was found by the caller's key, so that the upstream is told
  /// that team, or none, in place of what the caller stated.
  bool has_verified_team = false;
  /// Depth of the call itself; calls that the upstream makes are one deeper.
  std::uint8_t depth = 0;
  /// Size of the request's body if it is large and waits for the network links;
  /// else 0.
  std::uint64_t body_bytes = 0;
  /// Whether a run of an upstream waits for it, as the destination has
  /// recognised; not sent.
  bool is_inner = false;
  /// Weight of the team among those that wait, as the destination knows it; not
  /// sent.
  std::uint64_t team_weight = 0;
  /// Whether this attempt, or a call above it, is a retry. It is passed on with
  /// the calls that the upstream makes, which are then not retried.
  bool is_retry = false;
  /// Wall-clock time after which no copy of the attempt may start, however long
  /// it was delayed on the way; the epoch for none.
  WallTime expires_at{};
};

// Events at the entry node.

/// \brief Event: a caller's request has arrived completely.
struct CallArrived {
  CallId call = 0;
  CallMetadata metadata;
  /// Whether an earlier request of its connection is not answered yet.
  bool waits_turn = false;
};

/// \brief Event: all earlier requests of a call's connection are answered, and
/// the connection stays open.
struct CallTurn {
  CallId call = 0;
};

/// \brief Event: the destination refused the attempt: it was not and will not
/// be run there.
struct AttemptNotRun {
  CallId call = 0;
  AttemptId attempt;
  NotRunReason reason = NotRunReason::kOverloaded;
  Milliseconds retry_after{0};
  /// Whether the attempt reached the upstream, which refused it.
  bool reached_upstream = false;
  std::optional<DestinationTimes> times;
};
/// \brief Event: the upstream's answer begins to arrive.
struct AttemptAnswerStarted {
  CallId call = 0;
  AttemptId attempt;
  std::uint16_t status = 0;
  std::optional<DestinationTimes> times;
};
/// \brief Event: a fetch found the attempt still queued or running.
struct AttemptStillRunning {
  CallId call = 0;
  AttemptId attempt;
};
/// \brief Event: the destination has room on its link for the body of an
/// attempt that was offered.
struct BodyWanted {
  CallId call = 0;
  AttemptId attempt;
};
/// \brief Event: the destination cannot tell whether the attempt was run to its
/// end, such as after the connection to its upstream broke.
struct AttemptUnknown {
  CallId call = 0;
  AttemptId attempt;
};

enum class ConnectionLoss : std::uint8_t {
  /// No byte of the attempt left this host.
  kNeverSent,
  /// The connection broke after bytes were sent.
  kBroken,
  /// No byte moved on the connection for the progress timeout.
  kTimedOut,
};
/// \brief Event: the connection of an attempt, fetch or cancel was lost before
/// an answer began.
struct AttemptConnectionLost {
  CallId call = 0;
  AttemptId attempt;
  ConnectionLoss loss = ConnectionLoss::kNeverSent;
};
/// \brief Event: the answer was sent to the caller, completely or cut off.
struct AnswerRelayed {
  CallId call = 0;
  AttemptId attempt;
  bool complete = false;
  /// Size of its body.
  std::uint64_t bytes = 0;
};
/// \brief Event: the caller closed its connection.
struct CallerDisconnected {
  CallId call = 0;
};

// Events at the destination node.

struct AttemptArrived {
  ConnectionId connection = 0;
  AttemptRequest request;
};
/// \brief Event: an entry node offers an attempt whose large body it has not
/// sent.
struct BodyOffered {
  ConnectionId connection = 0;
  AttemptRequest request;
};
/// \brief Event: an entry node asks for the answer of an earlier attempt.
struct FetchArrived {
  ConnectionId connection = 0;
  AttemptId attempt;
  std::uint64_t destination_start_id = 0;
};
/// \brief Event: an entry node asks to cancel an attempt if it has not started.
struct CancelArrived {
  ConnectionId connection = 0;
  AttemptId attempt;
  std::uint64_t destination_start_id = 0;
};
/// \brief Event: a connection that waits for an attempt's answer is lost.
struct ConnectionLost {
  ConnectionId connection = 0;
};
/// \brief Event: the whole answer was sent to a connection that waited for it.
struct AnswerSent {
  ConnectionId connection = 0;
};
/// \brief Event: the upstream shed the attempt: it refused before running it.
struct UpstreamShed {
  AttemptId attempt;
  Milliseconds retry_after{0};
};
/// \brief Event: the attempt was refused by another start of the upstream than
/// the one it was meant for, or by another upstream that has its address now.
struct UpstreamReplaced {
  AttemptId attempt;
};
/// \brief Event: the upstream on this host sent a heartbeat.
struct UpstreamHeartbeatReceived {
  UpstreamHeartbeat heartbeat;
};
/// \brief Event: the upstream could not be reached; no byte was sent.
struct UpstreamUnreachable {
  AttemptId attempt;
};
/// \brief Event: the upstream's answer begins to arrive.
struct UpstreamAnswerStarted {
  AttemptId attempt;
  std::uint16_t status = 0;
};
/// \brief Event: the upstream's answer is complete.
struct UpstreamAnswerCompleted {
  AttemptId attempt;
  /// Size of its body.
  std::uint64_t bytes = 0;
};
/// \brief Event: the connection to the upstream broke, or made no progress,
/// after bytes were sent.
struct UpstreamConnectionLost {
  AttemptId attempt;
};
/// \brief Event: an answer of the upstream on this host states its load.
struct UpstreamLoadReported {
  UpstreamLoad load;
};
/// \brief Event: the upstream's health endpoint answered, or failed to.
struct UpstreamProbed {
  bool healthy = false;
  /// Slots in use as the upstream reports them, in thousandths.
  std::uint16_t load_permille = 0;
  /// Instance id of the upstream's start; empty if it reports none.
  std::string instance;
  /// Load that the upstream reports; zeros if it reports none.
  UpstreamLoad load;
};

// Events at both.

/// \brief Event: the backlog of large answers that wait for this host's network
/// link has changed.
struct LinkLoadChanged {
  std::uint64_t waiting_bytes = 0;
  std::uint64_t bytes_per_second = 0;
  /// What the link carries of large messages when nothing else uses it.
  std::uint64_t idle_bytes_per_second = 0;
};
/// \brief Event: time has passed; sent every `kCallTickPeriod`.
struct CallTick {};
/// \brief Event: the node shuts down: it stops accepting work and completes
/// what is in progress.
struct DrainRequested {};

using CallEvent = std::variant<CallArrived,
                               CallTurn,
                               AttemptNotRun,
                               AttemptAnswerStarted,
                               AttemptStillRunning,
                               BodyWanted,
                               AttemptUnknown,
                               AttemptConnectionLost,
                               AnswerRelayed,
                               CallerDisconnected,
                               AttemptArrived,
                               BodyOffered,
                               FetchArrived,
                               CancelArrived,
                               ConnectionLost,
                               AnswerSent,
                               UpstreamShed,
                               UpstreamReplaced,
                               UpstreamHeartbeatReceived,
                               UpstreamUnreachable,
                               UpstreamAnswerStarted,
                               UpstreamAnswerCompleted,
                               UpstreamConnectionLost,
                               UpstreamLoadReported,
                               UpstreamProbed,
                               LinkLoadChanged,
                               CallTick,
                               DrainRequested,
                               // Effects of the fleet reducer.
                               ApplyVersion,
                               HeadConfirmed,
                               MembersChanged,
                               MemberLoadReported,
                               UseLinksChanged,
                               UseReportReceived,
                               ReadinessChanged,
                               RolloutsChanged,
                               StoreReplied>;

// Effects at the entry node.

enum class AttemptVerb : std::uint8_t {
  /// Run the attempt.
  kRun,
  /// Ask for the answer of the attempt.
  kFetch,
  /// Cancel the attempt if it has not started.
  kCancel,
  /// Ask whether the destination has room on its link for the attempt's body.
  kOffer,
};
/// \brief Effect: send an attempt, fetch or cancel to a destination node. A run
/// is written at most once, on one connection, which may be a pooled one. A
/// fetch or cancel uses a new connection that replaces the attempt's earlier
/// one, which is closed without an event. For a fetch or cancel, the
/// destination needs only the attempt's id and the start id in the request.
struct SendAttempt {
  CallId call = 0;
  AttemptVerb verb = AttemptVerb::kRun;
  NodeId destination;
  std::uint16_t call_port = 0;
  AttemptRequest request;
};
/// \brief Effect: send the answer of this attempt to the caller as it arrives.
struct RelayAnswer {
  CallId call = 0;
  AttemptId attempt;
  /// Time by which the caller should have it.
  MonoTime due = MonoTime::max();
};
/// \brief Effect: close the connection of this attempt, which is no longer
/// needed; no event of the attempt follows.
struct DropAttempt {
  CallId call = 0;
  AttemptId attempt;
};
/// \brief Effect: tell the caller that its request was not run.
struct AnswerNotRun {
  CallId call = 0;
  NotRunReason reason = NotRunReason::kNoRoute;
  /// Time after which a retry may succeed; 0 if waiting does not help.
  Milliseconds retry_after{0};
  std::string detail;
};
/// \brief Effect: tell the caller that its request may have been run.
struct AnswerUnknown {
  CallId call = 0;
  std::string detail;
  /// Whether the call's deadline passed before an answer came.
  bool timed_out = false;
};
/// \brief Effect: one call has ended; for metrics and logs.
struct CallEnded {
  CallId call = 0;
  std::string team;
  std::string request_class;
  std::string route;
  /// "answered", "cut", "unknown", "caller_gone", or the reason not run.
  std::string outcome;
  Nanoseconds elapsed{0};
  std::uint8_t attempts = 0;
  /// Request id set by the caller; may be empty.
  std::string request_id;
  /// Status of the upstream's answer; 0 for none.
  std::uint16_t status = 0;
  /// Stable name of the reason why the call was not answered; empty if it was.
  std::string reason;
  /// Description of that reason; empty if the call was answered.
  std::string detail;
  /// Service that the call was for, the newest attempt, and the node that it
  /// was sent to; the last two are empty before the first attempt.
  std::string service;
  AttemptId attempt;
  NodeId destination;
  /// Configuration version by which the call was routed.
  VersionNumber config_number = 0;
  /// Load that the destination last reported, in thousandths, and the age of
  /// that report.
  std::uint16_t load_permille = 0;
  Milliseconds load_age{0};
  Milliseconds objective{0};
  /// Time left to the call's deadline.
  Milliseconds left{0};
  /// Unset if no destination reported its times.
  std::optional<CallPhases> phases;
  /// Why no further attempt was made; empty if none was needed.
  std::string no_retry;
  /// Balance of the call's retry budget, in thousandths of a retry.
  std::uint32_t retry_budget_left = 0;
};

// Effects at the destination node.

/// \brief Effect: send the attempt's request to this host's upstream now, with
/// the deadline, `depth` + 1 and `is_retry` of the request, which the upstream
/// passes on with the calls that it makes.
struct StartUpstream {
  AttemptId attempt;
  Milliseconds deadline{0};
  /// Instance id that the upstream must have; empty for any.
  std::string instance;
};
/// \brief Effect: probe the upstream's health endpoint once; the result returns
/// as `UpstreamProbed`.
struct ProbeUpstream {
  /// Path of the endpoint; empty for `CallServerOptions::health_path`.
  std::string path;
};
/// \brief Effect: close the upstream connection of the attempt; no event of
/// that connection follows.
struct CancelUpstream {
  AttemptId attempt;
};
/// \brief Effect: send the upstream's answer to this connection from its first
/// byte: first the bytes that are held, then the rest as it arrives. It follows
/// `UpstreamAnswerStarted`. While the answer is incomplete, a later effect for
/// another connection replaces this one; a complete answer goes to both. If its
/// first bytes are no longer held, the connection is closed instead.
struct SendAnswer {
  ConnectionId connection = 0;
  AttemptId attempt;
  DestinationTimes times;
  /// Time by which the entry node should have it.
  MonoTime due = MonoTime::max();
};
/// \brief Effect: reply to the connection that the attempt was not run here,
/// and that no copy of it will be.
struct ReplyNotRun {
  ConnectionId connection = 0;
  AttemptId attempt;
  NotRunReason reason = NotRunReason::kOverloaded;
  Milliseconds retry_after{0};
  /// Whether the attempt reached the upstream, which refused it.
  bool reached_upstream = false;
  DestinationTimes times;
  /// Details of the decision, for logs: the caller's request id and team, the
  /// time left, the attempts that ran and waited, the slots, those of them for
  /// new work, and the bytes of bodies that wait for the link or are coming.
  std::string request_id;
  std::string team;
  Milliseconds left{0};
  std::uint32_t running = 0;
  std::size_t queued = 0;
  std::uint32_t slots = 0;
  std::uint32_t new_work_slots = 0;
  std::uint64_t body_bytes = 0;
};
/// \brief Effect: reply to the connection that the attempt is queued or running
/// and should be fetched again.
struct ReplyStillRunning {
  ConnectionId connection = 0;
  AttemptId attempt;
};
/// \brief Effect: reply to the connection that the body of the attempt may be
/// sent now.
struct ReplyBodyWanted {
  ConnectionId connection = 0;
  AttemptId attempt;
};
/// \brief Effect: send a sign of progress on the connection while the attempt
/// is queued or running, so that its other end does not treat it as lost.
struct ReplyProgress {
  ConnectionId connection = 0;
};
/// \brief Effect: reply to the connection that the attempt may have run and
/// that its answer is not held here. A connection on which the answer has begun
/// is closed instead.
struct ReplyUnknown {
  ConnectionId connection = 0;
  AttemptId attempt;
};
/// \brief Effect: the request and the answer of the attempt need no longer be
/// held. An answer that is being sent to a connection is still sent completely.
struct ReleaseAttempt {
  AttemptId attempt;
};
/// \brief Effect: no work is left after `DrainRequested`.
struct DrainFinished {};

using CallEffect = std::variant<SendAttempt,
                                RelayAnswer,
                                DropAttempt,
                                AnswerNotRun,
                                AnswerUnknown,
                                CallEnded,
                                StartUpstream,
                                ProbeUpstream,
                                CancelUpstream,
                                SendAnswer,
                                ReplyNotRun,
                                ReplyStillRunning,
                                ReplyBodyWanted,
                                ReplyProgress,
                                ReplyUnknown,
                                ReleaseAttempt,
                                LocalUpstreamChanged,
                                LocalLoadChanged,
                                VersionsUsed,
                                SendUseReport,
                                StoreCall,
                                DrainFinished>;

inline constexpr Milliseconds kCallTickPeriod{20};

/// \brief Longest chain of nested calls that the mesh accepts.
inline constexpr std::uint8_t kMaxCallDepth = 32;

}  // namespace cassiabend
