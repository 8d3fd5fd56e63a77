#include "cassiabend/http/message_writer.h"

#include <boost/beast/core/buffer_traits.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>

namespace cassiabend {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

template <typename Buffers>
void AppendBuffers(const Buffers& buffers, std::string* out) {
  for (const boost::asio::const_buffer it : beast::buffers_range_ref(buffers)) {
    out->append(static_cast<const char*>(it.data()), it.size());
  }
}

template <typename Message>
void CopyFields(const MessageHead& head, Message* message) {
  for (const HeaderField& it : head.fields) {
    message->insert(it.name, it.value);
  }
  message->erase(http::field::connection);
  message->erase(http::field::transfer_encoding);
  message->erase(http::field::content_length);
}

template <typename Message>
void AppendHead(Message& message, std::string* out) {
  http::serializer<Message::is_request::value, http::empty_body, http::fields>
      serializer(message);
  serializer.split(true);
  while (!serializer.is_header_done()) {
    beast::error_code ec;
    serializer.next(ec, [&](beast::error_code&, const auto& buffers) {
      AppendBuffers(buffers, out);
      serializer.consume(beast::buffer_bytes(buffers));
    });
    if (ec) {
      return;
    }
  }
}

}  // namespace

void AppendRequestHead(const MessageHead& head,
                       std::size_t body_bytes,
                       std::string* out) {
  http::request<http::empty_body> message;
  message.version(11);
  message.method_string(head.method);
  message.target(head.target);
  CopyFields(head, &message);
  if (body_bytes != 0 || head.content_length.has_value()) {
    message.set(http::field::content_length, std::to_string(body_bytes));
  }
  AppendHead(message, out);
}

void AppendResponseHead(const MessageHead& head,
                        BodyFraming framing,
                        bool keep_alive,
                        std::string* out) {
  http::response<http::empty_body> message;
  message.version(11);
  message.result(static_cast<unsigned>(head.status));
  message.reason(head.reason);
  CopyFields(head, &message);
  if (framing == BodyFraming::kChunked) {
    message.set(http::field::transfer_encoding, "chunked");
  } else if (head.content_length.has_value() &&
             framing != BodyFraming::kUntilClose) {
    message.set(http::field::content_length,
                std::to_string(*head.content_length));
  }
  if (!keep_alive) {
    message.set(http::field::connection, "close");
  }
  AppendHead(message, out);
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
