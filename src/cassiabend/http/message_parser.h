#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "cassiabend/http/message.h"

namespace cassiabend {

enum class MessageKind : std::uint8_t { kRequest, kResponse };

enum class ParseError : std::uint8_t {
  kNone,
  kMalformed,
  kHeaderTooLarge,
  kBodyTooLarge,
};

/// \brief Largest message that a parser accepts.
struct ParseLimits {
  std::uint32_t header_bytes = 16 * 1024;
  /// Unset for no limit.
  std::optional<std::uint64_t> body_bytes;
};

/// \brief Incremental parser of consecutive HTTP/1.x messages; does no I/O.
class MessageParser {
 public:
  MessageParser(MessageKind kind, const ParseLimits& limits);
  MessageParser(const MessageParser&) = delete;
  MessageParser& operator=(const MessageParser&) = delete;
  ~MessageParser();

  /// \brief Whether the message has begun to arrive.
  [[nodiscard]] bool started() const noexcept;
  [[nodiscard]] bool head_done() const noexcept;
  /// \brief Whether the message is complete.
  [[nodiscard]] bool done() const noexcept;
  [[nodiscard]] ParseError error() const noexcept;

  /// \brief The head; may be moved from. Valid once `head_done()`.
  [[nodiscard]] MessageHead& head() noexcept;

  /// \brief Sets the limits of the messages that have not begun to arrive.
  void SetLimits(const ParseLimits& limits);

  /// \brief Starts with the next message.
  /// \param skip_body Whether the message has no body whatever its head says,
  /// as the response to HEAD.
  void Reset(bool skip_body);

  /// \brief Parses a piece of the message; bytes of the body are appended to
  /// `*body`. Stops after the head, and at the end of the message.
  /// \returns Number of bytes parsed; 0 when more are needed.
  std::size_t Put(std::string_view bytes, std::string* body);

  /// \brief Handles the end of the connection, which completes a message of
  /// unknown length.
  /// \returns Whether the message is complete.
  bool PutEnd();

 private:
  class Impl;
  template <bool kIsRequest>
  class BeastParser;

  std::unique_ptr<Impl> impl_;
};

}  // namespace cassiabend
