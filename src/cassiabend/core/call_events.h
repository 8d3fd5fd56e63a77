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
#include "cassiabend/core/upstream_report.h"
#include "cassiabend/model/snapshot.h"

namespace cassiabend {

/// \returns Whether an upstream's status says that it failed.
[[nodiscard]] constexpr bool IsServerError(std::uint16_t status) noexcept {
  constexpr std::uint16_t kFirstServerError = 500;
  return status >= kFirstServerError;
}

/// \brief Names one caller's request at the node that it entered.
using CallId = std::uint64_t;
/// \brief Names one attempt's connection at the destination node.
using LinkId = std::uint64_t;

/// \brief What the entry node knows of a caller's request.
struct CallFacts {
  /// The caller's own name for the request, for logs; may be empty.
  std::string request_id;
  std::string team;
  std::string host;
  std::string path;
  std::string method;
  /// Idempotency key of an order; empty for none.
  std::string order_key;
  /// Custom headers ("x-…"), with lower-case names.
  std::vector<std::pair<std::string, std::string>> headers;
  /// Time that the caller still waits; unset when it does not say.
  std::optional<Milliseconds> deadline;
  /// How many calls of the mesh this one descends from.
  std::uint8_t depth = 0;
  /// Whether a caller above this one already retries; see docs/CALLERS.md.
  bool is_retry = false;
};

/// \brief Why a call was not run. Keep `kNotRunReasonNames` in step.
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
};

/// \returns The stable name of a reason, as callers and metrics see it.
[[nodiscard]] std::string_view NameOf(NotRunReason reason) noexcept;
/// \brief Reads what `NameOf` writes; unset for an unknown name.
[[nodiscard]] std::optional<NotRunReason> NotRunReasonByName(
    std::string_view name) noexcept;

/// What is left of an objective that is missed; 0 would be none.
inline constexpr Milliseconds kMissedObjective{1};

/// \brief One attempt, as the entry node sends it to the destination node.
struct AttemptRequest {
  AttemptId id;
  /// The caller's own name for the request, for logs; may be empty.
  std::string request_id;
  /// Start of the destination's process; another start refuses the attempt.
  std::uint64_t destination_start_id = 0;
  std::string route;
  std::string service;
  std::string team;
  std::string request_class;
  std::string order_key;
  std::string site;
  /// Service of the host at which the call entered; empty for none.
  std::string caller_service;
  bool noisy = false;
  bool once = false;
  Seconds longest_job{0};
  /// Version that the entry node routed by.
  VersionNumber config_number = 0;
  /// Time left at the moment of sending.
  Milliseconds deadline{0};
  /// Time left within which an answer is worth most; 0 for none.
  Milliseconds objective{0};
  /// Rank of the route; 0 is served first.
  std::uint32_t priority = 0;
  /// Depth of the call itself; calls that the upstream makes are one deeper.
  std::uint8_t depth = 0;
  /// Whether this attempt, or a call above it, is a retry. It goes down with
  /// the calls that the upstream makes, which are then not retried.
  bool is_retry = false;
  /// Wall-clock time after which no copy of the attempt may start, whatever
  /// held it up on the way; the epoch for none.
  WallTime expires_at{};
};

// Events at the entry node.

/// \brief Event: a caller's request arrived, whole.
struct CallArrived {
  CallId call = 0;
  CallFacts facts;
  /// Whether an earlier request of its connection is not answered yet.
  bool waits_turn = false;
};

/// \brief Event: all earlier requests of a call's connection are answered, and
/// the connection goes on.
struct CallTurn {
  CallId call = 0;
};

/// \brief Event: the destination refused: the attempt was not and will not be
/// run there.
struct AttemptNotRun {
  CallId call = 0;
  AttemptId attempt;
  NotRunReason reason = NotRunReason::kOverloaded;
  Milliseconds retry_after{0};
  /// Whether the upstream was asked, and refused by its own word.
  bool reached_upstream = false;
  std::optional<DestinationTimes> times;
};
/// \brief Event: the upstream's answer begins to arrive.
struct AttemptAnswering {
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
/// \brief Event: the destination cannot tell, such as after its upstream broke
/// off.
struct AttemptUnknown {
  CallId call = 0;
  AttemptId attempt;
};

enum class LinkLoss : std::uint8_t {
  /// No byte of the attempt left this host.
  kNeverSent,
  /// The connection broke after bytes were sent.
  kBroken,
  /// Nothing moved on the connection for its progress limit.
  kSilent,
};
/// \brief Event: the connection of an attempt, fetch or cancel was lost before
/// an answer began.
struct AttemptLost {
  CallId call = 0;
  AttemptId attempt;
  LinkLoss loss = LinkLoss::kNeverSent;
};
/// \brief Event: the answer was handed to the caller, whole or cut.
struct AnswerRelayed {
  CallId call = 0;
  AttemptId attempt;
  bool complete = false;
  /// Bytes of its body.
  std::uint64_t bytes = 0;
};
/// \brief Event: the caller closed its connection.
struct CallerGone {
  CallId call = 0;
};

// Events at the destination node.

struct AttemptArrived {
  LinkId link = 0;
  AttemptRequest request;
};
/// \brief Event: an entry node asks for the answer of an earlier attempt.
struct FetchArrived {
  LinkId link = 0;
  AttemptId attempt;
  std::uint64_t destination_start_id = 0;
};
/// \brief Event: an entry node asks to cancel an attempt if it has not started.
struct CancelArrived {
  LinkId link = 0;
  AttemptId attempt;
  std::uint64_t destination_start_id = 0;
};
/// \brief Event: the connection that an attempt's answer goes to is lost.
struct LinkLost {
  LinkId link = 0;
};
/// \brief Event: the whole answer was handed to the connection that it goes to.
struct AnswerSent {
  LinkId link = 0;
};
/// \brief Event: the upstream refused by its own word before running (shed).
struct UpstreamShed {
  AttemptId attempt;
  Milliseconds retry_after{0};
};
/// \brief Event: another start of the upstream than the one meant refused, or
/// another upstream that has its address now.
struct UpstreamReplaced {
  AttemptId attempt;
};
/// \brief Event: the upstream on this host sent a heartbeat.
struct UpstreamReported {
  UpstreamReport report;
};
/// \brief Event: the upstream could not be reached; no byte was sent.
struct UpstreamUnreached {
  AttemptId attempt;
};
/// \brief Event: the upstream's answer begins to arrive.
struct UpstreamAnswering {
  AttemptId attempt;
  std::uint16_t status = 0;
};
/// \brief Event: the upstream's answer is whole.
struct UpstreamFinished {
  AttemptId attempt;
  /// Bytes of its body.
  std::uint64_t bytes = 0;
};
/// \brief Event: the upstream's connection broke or fell silent after sending.
struct UpstreamBroken {
  AttemptId attempt;
};
/// \brief Event: the upstream's health endpoint answered, or failed to.
struct UpstreamProbed {
  bool healthy = false;
  /// Slots that the upstream says it has in use, in thousandths.
  std::uint16_t load_permille = 0;
  /// Name of the upstream's start; empty when it does not say.
  std::string instance;
  /// Slots that the upstream says it has; 0 when it does not say.
  std::uint32_t slots = 0;
};

// Events at both.

/// \brief Event: the large answers that wait for this host's link have changed.
struct LinkLoadChanged {
  std::uint64_t waiting_bytes = 0;
  std::uint64_t bytes_per_second = 0;
};
/// \brief Event: time has passed; sent every `kCallTickPeriod`.
struct CallTick {};
/// \brief Event: the node must stop: new work is refused, work in flight ends.
struct DrainRequested {};

using CallEvent = std::variant<CallArrived,
                               CallTurn,
                               AttemptNotRun,
                               AttemptAnswering,
                               AttemptStillRunning,
                               AttemptUnknown,
                               AttemptLost,
                               AnswerRelayed,
                               CallerGone,
                               AttemptArrived,
                               FetchArrived,
                               CancelArrived,
                               LinkLost,
                               AnswerSent,
                               UpstreamShed,
                               UpstreamReplaced,
                               UpstreamReported,
                               UpstreamUnreached,
                               UpstreamAnswering,
                               UpstreamFinished,
                               UpstreamBroken,
                               UpstreamProbed,
                               LinkLoadChanged,
                               CallTick,
                               DrainRequested,
                               // From the fleet's effects.
                               ApplyVersion,
                               HeadConfirmed,
                               MembersChanged,
                               MemberLoadReported,
                               ReadinessChanged,
                               StoreReplied>;

// Effects at the entry node.

enum class AttemptVerb : std::uint8_t {
  /// Run the attempt.
  kRun,
  /// Ask for the answer of the attempt.
  kFetch,
  /// Cancel the attempt if it has not started.
  kCancel,
};
/// \brief Effect: send an attempt, fetch or cancel to a destination node.
/// A run is written at most once, on one connection; it may be an idle one. A
/// fetch or cancel goes over a new connection and replaces the connection that
/// the attempt had: that one is closed and its loss is not an event. Of a fetch
/// or cancel, the destination needs the attempt's id and start only.
struct SendAttempt {
  CallId call = 0;
  AttemptVerb verb = AttemptVerb::kRun;
  NodeId destination;
  std::uint16_t call_port = 0;
  AttemptRequest request;
};
/// \brief Effect: hand the answer of this attempt to the caller as it arrives.
struct RelayAnswer {
  CallId call = 0;
  AttemptId attempt;
  /// When the caller should have it.
  MonoTime due = MonoTime::max();
};
/// \brief Effect: the connection of this attempt is of no more use and is
/// closed; no event of the attempt follows.
struct DropAttempt {
  CallId call = 0;
  AttemptId attempt;
};
/// \brief Effect: tell the caller that its request was not run.
struct AnswerNotRun {
  CallId call = 0;
  NotRunReason reason = NotRunReason::kNoRoute;
  /// When it makes sense to ask again; 0 for "not by waiting".
  Milliseconds retry_after{0};
  std::string detail;
};
/// \brief Effect: tell the caller that its request may have been run.
struct AnswerUnknown {
  CallId call = 0;
  std::string detail;
  /// Whether the call's time ran out before an answer came.
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
  /// The caller's own name for the request; may be empty.
  std::string request_id;
  /// Status of the upstream's answer; 0 for none.
  std::uint16_t status = 0;
  /// Stable name of why the call was not answered; empty when it was.
  std::string reason;
  /// The same in words; empty when it was answered.
  std::string detail;
  /// Service that the call was for, and the newest attempt with the node that
  /// it was sent to; empty before the first.
  std::string service;
  AttemptId attempt;
  NodeId destination;
  /// Version of the configuration that the call was routed by.
  VersionNumber config_number = 0;
  /// Load that the destination stated last, in thousandths, and how old that
  /// is.
  std::uint16_t load_permille = 0;
  Milliseconds load_age{0};
  Milliseconds objective{0};
  /// Time that was left for the call.
  Milliseconds left{0};
  /// Unset where no destination has told its part.
  std::optional<CallPhases> phases;
  /// Why the newest attempt was not followed by another; empty where none was
  /// wanted.
  std::string no_retry;
  /// Retries that the budget of the call had left, in thousandths.
  std::uint32_t retry_budget_left = 0;
};

// Effects at the destination node.

/// \brief Effect: hand the attempt's request to this host's upstream now, with
/// the deadline, `depth` + 1 and `is_retry` of its request, so that the calls
/// that the upstream makes carry them on.
struct StartUpstream {
  AttemptId attempt;
  Milliseconds deadline{0};
  /// The start of the upstream that is meant; empty for any.
  std::string instance;
};
/// \brief Effect: ask the upstream's health endpoint once; the answer returns
/// as `UpstreamProbed`.
struct ProbeUpstream {
  /// Path of the endpoint; empty for the shell's own setting.
  std::string path;
};
/// \brief Effect: close the upstream connection of the attempt; no event of
/// that connection follows.
struct CancelUpstream {
  AttemptId attempt;
};
/// \brief Effect: send the upstream's answer to this connection from its first
/// byte, those held first, the rest as it arrives. It comes only after
/// `UpstreamAnswering`. A later one for another connection replaces it while
/// the answer is not whole, and stands beside it afterwards. Where the held
/// bytes do not reach back to the first, the connection is closed instead.
struct BindAnswer {
  LinkId link = 0;
  AttemptId attempt;
  DestinationTimes times;
  /// When the entry node should have it.
  MonoTime due = MonoTime::max();
};
/// \brief Effect: answer the connection: the attempt was not run here, and no
/// copy of it will be.
struct ReplyNotRun {
  LinkId link = 0;
  AttemptId attempt;
  NotRunReason reason = NotRunReason::kOverloaded;
  Milliseconds retry_after{0};
  /// Whether the upstream was asked, and refused by its own word.
  bool reached_upstream = false;
  DestinationTimes times;
  /// What decided, for logs: the caller's name for the request, the time that
  /// was left, what ran and waited, and the slots.
  std::string request_id;
  Milliseconds left{0};
  std::uint32_t running = 0;
  std::size_t queued = 0;
  std::uint32_t slots = 0;
};
/// \brief Effect: answer the connection: the attempt waits or runs; fetch
/// again.
struct ReplyStillRunning {
  LinkId link = 0;
  AttemptId attempt;
};
/// \brief Effect: let the connection show that the attempt waits or runs, so
/// that its other end does not take it for lost.
struct ReplyProgress {
  LinkId link = 0;
};
/// \brief Effect: answer the connection: the attempt may have run and its
/// answer is not here. A connection that already carries the answer is cut
/// instead.
struct ReplyUnknown {
  LinkId link = 0;
  AttemptId attempt;
};
/// \brief Effect: the request and answer of the attempt need not be held. An
/// answer on its way to a connection still goes there, whole.
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
                                BindAnswer,
                                ReplyNotRun,
                                ReplyStillRunning,
                                ReplyProgress,
                                ReplyUnknown,
                                ReleaseAttempt,
                                LocalUpstreamChanged,
                                LocalLoadChanged,
                                StoreCall,
                                DrainFinished>;

inline constexpr Milliseconds kCallTickPeriod{20};

/// \brief Deepest chain of calls that the mesh carries.
inline constexpr std::uint8_t kMaxCallDepth = 32;

}  // namespace cassiabend
