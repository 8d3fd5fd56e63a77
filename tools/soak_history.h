#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cassiabend/base/time.h"

namespace cassiabend::soak {

/// \brief Time since the start of a run.
using RunTime = Milliseconds;

/// \brief Kind of a call.
enum class CallKind : std::uint8_t {
  kShortRead,
  kSlowRead,
  kDownload,
  /// Runs at most once and has no order key, so the caller does not retry it.
  kOrder,
  /// Runs at most once; the caller retries it with the same order key.
  kKeyedOrder,
};
inline constexpr std::size_t kCallKinds = 5;

/// \brief Outcome of a request as its caller saw it.
enum class CallOutcome : std::uint8_t {
  /// A complete answer of the upstream.
  kAnswered,
  /// Refused; the node reports that the upstream did not run it.
  kNotRun,
  /// The node reports that it may have run.
  kUnknown,
  /// The connection closed in the middle of the answer.
  kCut,
  /// The connection closed before an answer began.
  kClosed,
  /// No answer began within the call's deadline, after which the caller gave
  /// up or the connection closed.
  kSilent,
};

[[nodiscard]] const char* NameOf(CallKind kind) noexcept;
[[nodiscard]] const char* NameOf(CallOutcome outcome) noexcept;

/// \brief A request that a caller sent, and its outcome.
struct CallRecord {
  /// The caller's id of the request, by which the upstream counts executions.
  std::string id;
  CallKind kind = CallKind::kShortRead;
  std::string order_key;
  /// Host of the entry node.
  std::size_t entry = 0;
  /// When the connection was opened.
  RunTime opened{0};
  RunTime sent{0};
  RunTime ended{0};
  Milliseconds deadline{0};
  CallOutcome outcome = CallOutcome::kAnswered;
  unsigned status = 0;
  /// Whether the answer's body is the one that this request asked for.
  bool has_expected_body = true;
  /// Reason of a refusal, or the connection's error.
  std::string detail;
};

/// \brief A process of a node.
struct NodeProcess {
  std::size_t host = 0;
  RunTime started{0};
  /// When it was told to stop, or was killed.
  std::optional<RunTime> stop_requested;
  std::optional<RunTime> ended;
};

/// \brief A node's configuration version as read from it.
struct VersionObservation {
  std::size_t host = 0;
  /// When the request was sent, and when its answer had been read.
  RunTime at{0};
  RunTime read{0};
  std::uint64_t number = 0;
  bool is_ready = false;
};

/// \brief An accepted change.
struct AcceptedCommit {
  RunTime at{0};
  /// Version that the change created.
  std::uint64_t number = 0;
};

/// \brief Executions of an upstream whose node shuts down, counted after the
/// node must have stopped sending new requests and when it has exited.
struct DrainCheck {
  std::size_t host = 0;
  /// When the first count was read.
  RunTime at{0};
  std::uint64_t runs_at_limit = 0;
  std::uint64_t runs_at_exit = 0;
};

/// \brief A half-open interval of time.
struct TimeSpan {
  RunTime begin{0};
  RunTime end{0};

  [[nodiscard]] bool Contains(RunTime from, RunTime to) const noexcept {
    return begin <= from && to <= end;
  }
  [[nodiscard]] bool Overlaps(RunTime from, RunTime to) const noexcept {
    return from < end && begin < to;
  }
};

/// \brief Time in which a host's node was killed or paused.
struct NodeOutage {
  std::size_t host = 0;
  TimeSpan span;
};

/// \brief Everything that was observed in one run.
struct History {
  std::vector<CallRecord> calls;
  std::vector<NodeProcess> node_processes;
  std::vector<VersionObservation> versions;
  std::vector<AcceptedCommit> commits;
  std::vector<DrainCheck> drain_checks;
  std::vector<NodeOutage> node_outages;
  /// Times in which the soak process itself was not scheduled, so that the
  /// proxies forwarded nothing.
  std::vector<TimeSpan> stalls;
  /// Times with planned work only, without faults.
  std::vector<TimeSpan> planned;
  /// Times at the end of a recovery, in which calls must be answered.
  std::vector<TimeSpan> recovered;
  /// Executions by request id and by order key.
  std::map<std::string, std::uint64_t> runs_by_id;
  std::map<std::string, std::uint64_t> runs_by_key;
};

}  // namespace cassiabend::soak
