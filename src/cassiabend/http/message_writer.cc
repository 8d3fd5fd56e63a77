#include "cassiabend/http/message_writer.h"

#include <algorithm>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/status.hpp>
#include <initializer_list>

namespace cassiabend {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::string_view kVersion = "HTTP/1.1";
constexpr std::string_view kLineEnd = "\r\n";

template <typename Buffers>
void AppendBuffers(const Buffers& buffers, std::string* out) {
  for (const boost::asio::const_buffer it : beast::buffers_range_ref(buffers)) {
    out->append(static_cast<const char*>(it.data()), it.size());
  }
}

/// \brief Appends one line, or a part of one.
void AppendParts(std::initializer_list<std::string_view> parts,
                 std::string* out) {
  for (const std::string_view it : parts) {
    out->append(it);
  }
}

void AppendField(std::string_view name,
                 std::string_view value,
                 std::string* out) {
  AppendParts({name, ": ", value, kLineEnd}, out);
}

/// \brief Appends the headers except those of the framing, which this side
/// decides. Beast's container of headers is not used: it throws on names and
/// values of more than 65,533 bytes, which its parser accepts.
void AppendFields(const MessageHead& head, std::string* out) {
  constexpr std::string_view kFraming[] = {"Connection", "Transfer-Encoding",
                                           "Content-Length"};
  for (const HeaderField& it : head.fields) {
    const bool is_framing =
        std::ranges::any_of(kFraming, [&it](std::string_view name) {
          return EqualsIgnoreCase(it.name, name);
        });
    if (!is_framing) {
      AppendField(it.name, it.value, out);
    }
  }
}

std::string_view ReasonOf(const MessageHead& head) {
  if (!head.reason.empty()) {
    return head.reason;
  }
  const auto reason = http::obsolete_reason(http::int_to_status(head.status));
  return {reason.data(), reason.size()};
}

}  // namespace

void AppendRequestHead(const MessageHead& head,
                       std::size_t body_bytes,
                       std::string* out) {
  AppendParts({head.method, " ", head.target, " ", kVersion, kLineEnd}, out);
  AppendFields(head, out);
  if (body_bytes != 0 || head.content_length.has_value()) {
    AppendField("Content-Length", std::to_string(body_bytes), out);
  }
  out->append(kLineEnd);
}

void AppendResponseHead(const MessageHead& head,
                        BodyFraming framing,
                        bool keep_alive,
                        std::string* out) {
  AppendParts({kVersion, " ", std::to_string(head.status), " ", ReasonOf(head),
               kLineEnd},
              out);
  AppendFields(head, out);
  if (framing == BodyFraming::kChunked) {
    AppendField("Transfer-Encoding", "chunked", out);
  } else if (head.content_length.has_value() &&
             framing != BodyFraming::kUntilClose) {
    AppendField("Content-Length", std::to_string(*head.content_length), out);
  }
  if (!keep_alive) {
    AppendField("Connection", "close", out);
  }
  out->append(kLineEnd);
}

void AppendBody(std::string_view bytes, BodyFraming framing, std::string* out) {
  if (framing != BodyFraming::kChunked) {
    out->append(bytes);
    return;
  }
  if (!bytes.empty()) {
    AppendBuffers(
        http::make_chunk(boost::asio::buffer(bytes.data(), bytes.size())), out);
  }
}

void AppendBodyEnd(BodyFraming framing, std::string* out) {
  if (framing == BodyFraming::kChunked) {
    AppendBuffers(http::make_chunk_last(), out);
  }
}

std::string_view ProcessingResponse() noexcept {
  return "HTTP/1.1 102 Processing\r\n\r\n";
}

std::string_view ContinueResponse() noexcept {
  return "HTTP/1.1 100 Continue\r\n\r\n";
}

}  // namespace cassiabend
