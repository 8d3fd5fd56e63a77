#pragma once

#include <optional>
#include <string_view>

#include "cassiabend/core/call_events.h"
#include "cassiabend/http/message.h"

namespace cassiabend {

/// \returns The host of a "Host" header, in lower case.
[[nodiscard]] std::string HostWithoutPort(std::string_view host);

/// \returns The load that a text such as "3,0,8" or "3,0,8,100" states: running
/// calls, waiting calls, slots and the time that work takes, in hundredths of
/// the usual. Unset when it is malformed.
[[nodiscard]] std::optional<UpstreamLoad> ParseUpstreamLoad(
    std::string_view text) noexcept;

/// \returns The digest of the caller's key in the header `name`; unset when
/// there is none. Two headers together are a key that no team has.
[[nodiscard]] std::optional<KeyDigest> ReadKey(const MessageHead& head,
                                               std::string_view name);

/// \returns The metadata of a caller's request, from its head.
[[nodiscard]] CallMetadata ReadCallMetadata(const MessageHead& head);

/// \brief A request from another node.
struct PeerRequest {
  AttemptVerb verb = AttemptVerb::kRun;
  AttemptRequest attempt;
};

/// \brief Whether a request has the headers of one from another node.
[[nodiscard]] bool IsPeerRequest(const MessageHead& head) noexcept;
/// \returns The request that the headers describe; unset when a header is
/// missing or malformed.
[[nodiscard]] std::optional<PeerRequest> ReadPeerRequest(
    const MessageHead& head);
/// \brief Adds the headers that `ReadPeerRequest` reads.
void WritePeerRequest(const PeerRequest& request, MessageHead* head);

/// \brief Adds the headers that tell the upstream about an attempt.
/// \param deadline Time left for the upstream.
void WriteUpstreamHeaders(const AttemptRequest& attempt,
                          Milliseconds deadline,
                          MessageHead* head);

}  // namespace cassiabend
