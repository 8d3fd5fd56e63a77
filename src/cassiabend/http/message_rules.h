#pragma once

#include <string>

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

}  // namespace cassiabend
