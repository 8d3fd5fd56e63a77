#pragma once

#include <optional>

#include "cassiabend/core/call_events.h"
#include "cassiabend/http/message.h"

namespace cassiabend {

/// \returns The host of a "Host" header, in lower case.
[[nodiscard]] std::string HostWithoutPort(std::string_view host);

/// \returns What the entry node knows of a caller's request.
[[nodiscard]] CallMetadata ReadCallFacts(const MessageHead& head);

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

}  // namespace cassiabend
