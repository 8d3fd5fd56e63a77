#pragma once

#include <string>
#include <string_view>

#include "cassiabend/http/message.h"

namespace cassiabend {

/// \brief Appends the head of a request with a body of `body_bytes`.
void AppendRequestHead(const MessageHead& head,
                       std::size_t body_bytes,
                       std::string* out);

/// \brief Appends the head of a response. Framing headers in `head.fields` are
/// left out; those of `framing` are written.
/// \param keep_alive Whether the connection stays open after the message.
void AppendResponseHead(const MessageHead& head,
                        BodyFraming framing,
                        bool keep_alive,
                        std::string* out);

/// \brief Appends one piece of a body.
void AppendBody(std::string_view bytes, BodyFraming framing, std::string* out);

/// \brief Appends what marks the end of a body.
void AppendBodyEnd(BodyFraming framing, std::string* out);

/// \returns The interim answer that shows that the final one is still to come.
[[nodiscard]] std::string_view ProcessingResponse() noexcept;

/// \returns The interim answer to "Expect: 100-continue".
[[nodiscard]] std::string_view ContinueResponse() noexcept;

}  // namespace cassiabend
