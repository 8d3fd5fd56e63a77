#pragma once

#include <string>
#include <string_view>

#include "cassiabend/http/message.h"

namespace cassiabend {

/// \brief Appends the head of a request with a body of `body_bytes`.
void AppendRequestHead(const MessageHead& head,
                       std::size_t body_bytes,
                       std::string* out);

/// \brief Appends the head of a response. The framing headers follow `framing`;
/// those in `head.fields` are left out.
/// \param keep_alive Whether the connection stays open after the message.
void AppendResponseHead(const MessageHead& head,
                        BodyFraming framing,
                        bool keep_alive,
                        std::string* out);

/// \brief Appends one piece of a body.
void AppendBody(std::string_view bytes, BodyFraming framing, std::string* out);

/// \brief Appends the end of a body, where `framing` has one.
void AppendBodyEnd(BodyFraming framing, std::string* out);

/// \returns The interim response that shows that the final one is still to
/// come.
[[nodiscard]] std::string_view ProcessingResponse() noexcept;

/// \returns The interim response to "Expect: 100-continue".
[[nodiscard]] std::string_view ContinueResponse() noexcept;

}  // namespace cassiabend
