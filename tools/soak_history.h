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

/// \brief What a caller asked for.
enum class CallKind : std::uint8_t {
  kShortRead,
  kSlowRead,
  kDownload,
  /// Runs once, without an order key.
  kOrder,
  /// Runs once by its order key; repeated with the same key.
  kKeyedOrder,
};
inline constexpr std::size_t kCallKinds = 5;

/// \brief How a call ended for its caller.
enum class Ending : std::uint8_t {
  /// A whole answer of the upstream.
  kAnswered,
  kNotRun,
  kUnknown,
  /// The connection closed in the middle of the answer.
  kCut,
  /// The connection closed before an answer began.
  kClosed,
  /// No whole answer within the caller's patience.
  kSilent,
};

[[nodiscard]] const char* NameOf(CallKind kind) noexcept;
[[nodiscard]] const char* NameOf(Ending ending) noexcept;

/// \brief One request that a caller wrote to a connection, and its end.
struct CallRecord {
  /// The caller's name for the request, which the upstream's ledger counts.
  std::string id;
  CallKind kind = CallKind::kShortRead;
  std::string order_key;
  /// Host of the entry node.
  std::size_t entry = 0;
  /// When its connection was opened.
  RunTime opened{0};
  RunTime sent{0};
  RunTime ended{0};
  Milliseconds deadline{0};
  Ending ending = Ending::kAnswered;
  unsigned status = 0;
  /// Whether the body and its size are those that this request asked for.
  bool is_own = true;
  /// Reason of a refusal, or the error of the connection.
  std::string detail;
};

/// \brief One process of a node, from its start to its end.
struct NodeLife {
  std::size_t host = 0;
  RunTime started{0};
  std::optional<RunTime> terminated;
  std::optional<RunTime> ended;
};

/// \brief A version read from a node.
struct VersionSeen {
  std::size_t host = 0;
  /// When the node was asked, and when it had answered.
  RunTime at{0};
  RunTime read{0};
  std::uint64_t number = 0;
  bool is_ready = false;
};

/// \brief A change that was accepted, and what it became.
struct CommitSeen {
  RunTime at{0};
  std::uint64_t number = 0;
};

/// \brief Work of an upstream beyond the gate of its leaving node.
struct GateSeen {
  std::size_t host = 0;
  /// When the count at the gate was read.
  RunTime at{0};
  std::uint64_t runs_at_gate = 0;
  std::uint64_t runs_at_end = 0;
};

/// \brief A half-open span of time.
struct Span {
  RunTime begin{0};
  RunTime end{0};

  [[nodiscard]] bool Contains(RunTime from, RunTime to) const noexcept {
    return begin <= from && to <= end;
  }
  [[nodiscard]] bool Touches(RunTime from, RunTime to) const noexcept {
    return from < end && begin < to;
  }
};

/// \brief A host whose node was killed or paused.
struct Disturbance {
  std::size_t host = 0;
  Span span;
};

/// \brief All that callers, upstreams and operators saw of one run.
struct History {
  std::vector<CallRecord> calls;
  std::vector<NodeLife> lives;
  std::vector<VersionSeen> versions;
  std::vector<CommitSeen> commits;
  std::vector<GateSeen> gates;
  std::vector<Disturbance> disturbances;
  /// Spans in which the soak itself did not run, and so no proxy carried
  /// anything.
  std::vector<Span> stalls;
  /// Spans with planned work alone.
  std::vector<Span> planned;
  /// Spans at the end of a recovery, in which calls must be served.
  std::vector<Span> recovered;
  /// How often each request and each order key was run.
  std::map<std::string, std::uint64_t> runs_by_id;
  std::map<std::string, std::uint64_t> runs_by_key;
};

}  // namespace cassiabend::soak
