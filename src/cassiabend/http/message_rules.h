#pragma once

#include <string>

#include "cassiabend/http/message.h"

namespace cassiabend {

/// \brief Removes the hop-by-hop headers, which concern one connection only:
/// also those that "Connection" lists and those that frame the body.
void StripHopByHopHeaders(MessageHead* head);

/// \brief Removes every "X-Cassiabend-" header, so that neither a caller nor an
/// upstream can forge one.
void StripSystemHeaders(MessageHead* head);

/// \brief Reduces a target in absolute form ("http://host/path") to its path,
/// moves its host to "Host", and checks both.
/// \returns The error in the request; empty when it is valid.
[[nodiscard]] std::string NormalizeTarget(MessageHead* head);

}  // namespace cassiabend
