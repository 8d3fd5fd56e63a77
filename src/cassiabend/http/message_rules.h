#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "cassiabend/core/call_events.h"
#include "cassiabend/http/message.h"

namespace cassiabend {

/// \brief Removes the headers that concern one connection only, among them
/// those that "Connection" names and those that frame the body.
void StripConnectionHeaders(MessageHead* head);

/// \brief Removes every header of the system, so that neither a caller nor an
/// upstream can pass one off as the system's own.
void StripSystemHeaders(MessageHead* head);

/// \brief Makes the target an absolute path, as "http://host/path" is also
/// allowed, and checks "Host".
/// \returns What is wrong with the request; empty when nothing is.
[[nodiscard]] std::string NormalizeTarget(MessageHead* head);

/// \returns What the entry node knows of a caller's request.
[[nodiscard]] CallFacts ReadCallFacts(const MessageHead& head);

/// \brief A message from another node.
struct PeerRequest {
  AttemptVerb verb = AttemptVerb::kRun;
  AttemptRequest attempt;
};

/// \brief Whether a request says that it comes from another node.
[[nodiscard]] bool IsPeerRequest(const MessageHead& head) noexcept;
/// \returns The attempt that the headers describe; unset when they are not well
/// formed.
[[nodiscard]] std::optional<PeerRequest> ReadPeerRequest(
    const MessageHead& head);
/// \brief Adds the headers that `ReadPeerRequest` reads.
void WritePeerRequest(const PeerRequest& request, MessageHead* head);

/// \brief Adds what the upstream is told of an attempt.
void WriteUpstreamHeaders(const AttemptRequest& attempt,
                          Milliseconds deadline,
                          MessageHead* head);

/// \brief What an answer says of how its request fared.
struct Outcome {
  /// One of the values of `kOutcomeHeader`; empty when absent.
  std::string_view name;
  NotRunReason reason = NotRunReason::kOverloaded;
  Milliseconds retry_after{0};
};
[[nodiscard]] Outcome ReadOutcome(const MessageHead& head);

/// \returns The answer that says that a request was not run.
[[nodiscard]] MessageHead NotRunHead(NotRunReason reason,
                                     Milliseconds retry_after);
/// \returns The answer that says that a request may have been run.
[[nodiscard]] MessageHead UnknownHead();
/// \returns The answer to a fetch that finds the attempt running.
[[nodiscard]] MessageHead StillRunningHead();
/// \returns The answer to a message that cannot be taken, with `status`.
[[nodiscard]] MessageHead RefusalHead(std::uint16_t status);

/// \returns A JSON body that explains an answer of the system itself.
[[nodiscard]] std::string ExplanationBody(std::string_view outcome,
                                          std::string_view reason,
                                          std::string_view detail);

/// \returns The value of a header in seconds or milliseconds; zero when it is
/// absent or not a number.
[[nodiscard]] Milliseconds ReadRetryAfter(const MessageHead& head);

}  // namespace cassiabend
