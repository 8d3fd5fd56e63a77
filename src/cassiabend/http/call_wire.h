#pragma once

#include <string>
#include <string_view>

#include "cassiabend/core/call_events.h"
#include "cassiabend/http/message.h"

namespace cassiabend {

/// \brief What the head of an upstream's answer says of the attempt.
enum class UpstreamVerdict : std::uint8_t {
  /// The upstream ran it; this is its answer.
  kAnswered,
  /// The upstream refused before running it.
  kRefused,
  /// Another start of the upstream than the one meant refused it.
  kReplaced,
  /// The answer is to another request.
  kForeign,
};

/// \brief Names and formats of what callers and upstreams speak. What nodes say
/// to each other is the same whatever these are.
class CallWire {
 public:
  CallWire() = default;
  CallWire(const CallWire&) = delete;
  CallWire& operator=(const CallWire&) = delete;
  virtual ~CallWire() = default;

  /// \returns What the entry node knows of a caller's request.
  [[nodiscard]] virtual CallMetadata ReadCall(
      const MessageHead& head) const = 0;
  /// \returns The caller's own name for a request; empty for none.
  [[nodiscard]] virtual std::string_view RequestIdOf(
      const MessageHead& head) const = 0;
  /// \brief Adds what the upstream is told of an attempt.
  virtual void WriteUpstreamHeaders(const AttemptRequest& attempt,
                                    const StartUpstream& start,
                                    MessageHead* head) const = 0;
  /// \param request_id `RequestIdOf` the request as it was sent.
  [[nodiscard]] virtual UpstreamVerdict ReadVerdict(
      std::string_view request_id,
      const MessageHead& answer) const = 0;
  [[nodiscard]] virtual UpstreamProbed ReadHealth(
      const MessageHead& head,
      std::string_view body) const = 0;

  /// \returns The answer that tells a caller that its request was not run.
  [[nodiscard]] virtual MessageHead NotRun(NotRunReason reason,
                                           Milliseconds retry_after) const = 0;
  /// \returns The answer that tells a caller that its request may have run.
  [[nodiscard]] virtual MessageHead Unknown(bool timed_out) const = 0;
  /// \returns Whether answers relayed to callers carry `kOutcomeHeader`.
  [[nodiscard]] virtual bool states_outcome() const noexcept = 0;
};

/// \returns The product's own interface; see docs/CALLERS.md.
[[nodiscard]] const CallWire& OwnCallWire();

}  // namespace cassiabend
