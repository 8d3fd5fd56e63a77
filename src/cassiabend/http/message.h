#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cassiabend/base/ref_counted.h"

namespace cassiabend {

/// \brief One header line of an HTTP message.
struct HeaderField {
  std::string name;
  std::string value;

  [[nodiscard]] bool operator==(const HeaderField&) const = default;
};

/// \brief Head of an HTTP/1.x request or response.
struct MessageHead {
  /// Requests only.
  std::string method;
  std::string target;
  /// Responses only.
  std::uint16_t status = 0;
  std::string reason;
  std::vector<HeaderField> fields;
  /// Length of the body in bytes; unset when the head does not state it.
  std::optional<std::uint64_t> content_length;
  /// Size of the head as received, in bytes.
  std::size_t wire_bytes = 0;
  bool is_http_1_0 = false;
  /// Whether the connection may carry another message after this one.
  bool keep_alive = true;
  /// Whether the sender waits for "100 Continue" before it sends the body.
  bool expects_continue = false;

  /// \returns The first value of a header; empty when it is absent.
  [[nodiscard]] std::string_view Get(std::string_view name) const noexcept;
  [[nodiscard]] bool Has(std::string_view name) const noexcept;

  void Add(std::string_view name, std::string_view value) {
    fields.push_back({std::string(name), std::string(value)});
  }
};

/// \brief Counter of the bytes of all buffered messages.
struct BufferedBytes final : public RefCounted<BufferedBytes> {
  /// Bytes that are buffered now.
  std::uint64_t total = 0;
};

/// \brief A request that is buffered whole, so that it can be sent again.
class BufferedRequest final : public RefCounted<BufferedRequest> {
 public:
  explicit BufferedRequest(RefPtr<BufferedBytes> buffered_bytes)
      : buffered_bytes_(std::move(buffered_bytes)) {}
  BufferedRequest(const BufferedRequest&) = delete;
  BufferedRequest& operator=(const BufferedRequest&) = delete;
  ~BufferedRequest() { buffered_bytes_->total -= counted_; }

  [[nodiscard]] const MessageHead& head() const noexcept { return head_; }
  [[nodiscard]] MessageHead& head() noexcept { return head_; }
  [[nodiscard]] const std::string& body() const noexcept { return body_; }

  void SetHead(MessageHead head);
  void AppendBody(std::string_view bytes);

 private:
  /// \brief Adds to the counter of buffered bytes.
  void Count(std::size_t n) noexcept;

  RefPtr<BufferedBytes> buffered_bytes_;
  MessageHead head_;
  std::string body_;
  std::size_t counted_ = 0;
};

/// \brief How a receiver finds the end of a body.
enum class BodyFraming : std::uint8_t {
  /// There is no body, whatever the head says of its length.
  kNone,
  kLength,
  kChunked,
  /// The body ends with the connection.
  kUntilClose,
};

/// \brief Whether a response answers the request that was sent, as its head
/// states it.
enum class ResponseMatch : std::uint8_t {
  kOwn,
  /// It names another request.
  kOther,
  /// It names no request.
  kUnstated,
  /// It lacks what every answer has.
  kInvalid,
};

/// \returns Whether two header names or tokens are equal, ignoring case.
[[nodiscard]] bool EqualsIgnoreCase(std::string_view a,
                                    std::string_view b) noexcept;

}  // namespace cassiabend
