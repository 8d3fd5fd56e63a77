#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "cassiabend/core/call_events.h"
#include "cassiabend/http/message.h"

namespace cassiabend {

/// \brief Outcome of an attempt as the head of the upstream's answer states it.
enum class UpstreamOutcome : std::uint8_t {
  /// The upstream ran it; this is its answer.
  kAnswered,
  /// The upstream refused before running it.
  kRefused,
  /// Another instance of the upstream than the intended one refused it.
  kReplaced,
  /// The answer belongs to another request.
  kMismatched,
};

/// \brief Headers and formats of the HTTP interface to callers and upstreams.
/// The interface between nodes does not depend on it.
class CallProtocol {
 public:
  CallProtocol() = default;
  CallProtocol(const CallProtocol&) = delete;
  CallProtocol& operator=(const CallProtocol&) = delete;
  virtual ~CallProtocol() = default;

  /// \returns The metadata of a caller's request, from its head.
  [[nodiscard]] virtual CallMetadata ReadCall(
      const MessageHead& head) const = 0;
  /// \returns The id that the caller gave to a request; empty for none.
  [[nodiscard]] virtual std::string_view RequestIdOf(
      const MessageHead& head) const = 0;
  /// \brief Removes the key that `ReadCall` has read. Called where the version
  /// in force has teams, before the request leaves the entry node.
  virtual void RemoveKey(MessageHead* head) const = 0;
  /// \brief Adds the headers that tell the upstream about an attempt.
  virtual void WriteUpstreamHeaders(const AttemptRequest& attempt,
                                    const StartUpstream& start,
                                    MessageHead* head) const = 0;
  /// \param request_id `RequestIdOf` the head that was sent.
  [[nodiscard]] virtual UpstreamOutcome ReadUpstreamOutcome(
      std::string_view request_id,
      const MessageHead& answer) const = 0;
  /// \param request_id `RequestIdOf` the head that was sent.
  [[nodiscard]] virtual ResponseMatch MatchAnswer(
      std::string_view request_id,
      const MessageHead& answer) const = 0;
  /// \returns The load that the upstream states with an answer; unset if it
  /// states none, or a malformed one.
  [[nodiscard]] virtual std::optional<UpstreamLoad> ReadLoad(
      const MessageHead& answer) const = 0;
  /// \returns The result of a health probe.
  [[nodiscard]] virtual UpstreamProbed ReadHealth(
      const MessageHead& head,
      std::string_view body) const = 0;

  /// \returns The head of the answer to a caller whose request was not run.
  [[nodiscard]] virtual MessageHead MakeNotRunHead(
      NotRunReason reason,
      Milliseconds retry_after) const = 0;
  /// \returns The head of the answer to a caller whose request may have run.
  /// \param timed_out Whether the call's time ran out before an answer came.
  [[nodiscard]] virtual MessageHead MakeUnknownHead(bool timed_out) const = 0;
  /// \returns Whether answers relayed to callers carry `kOutcomeHeader`.
  [[nodiscard]] virtual bool adds_outcome_header() const noexcept = 0;
};

/// \returns The default interface, with the headers in headers.h; see
/// docs/CALLERS.md.
[[nodiscard]] const CallProtocol& DefaultCallProtocol();

}  // namespace cassiabend
