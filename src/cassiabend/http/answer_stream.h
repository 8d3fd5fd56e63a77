#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "cassiabend/base/ref_counted.h"
#include "cassiabend/http/message.h"

namespace cassiabend {

/// \brief Consumer of an `AnswerStream`.
class AnswerReader {
 public:
  AnswerReader() = default;
  AnswerReader(const AnswerReader&) = delete;
  AnswerReader& operator=(const AnswerReader&) = delete;
  virtual ~AnswerReader() = default;

  /// \brief The head, more bytes or the end of the answer has arrived.
  virtual void OnAnswerUpdate() = 0;
};

/// \brief Producer of an `AnswerStream`; pauses while the stream is full.
class AnswerWriter {
 public:
  AnswerWriter() = default;
  AnswerWriter(const AnswerWriter&) = delete;
  AnswerWriter& operator=(const AnswerWriter&) = delete;
  virtual ~AnswerWriter() = default;

  /// \brief The stream has room again.
  virtual void OnRoomAvailable() = 0;
};

/// \brief Limits of one answer's buffer.
struct AnswerLimits {
  /// An answer up to this size is kept whole until the stream is destroyed, so
  /// that another reader can read it from its start.
  std::size_t kept_bytes = 0;
  /// Bytes of a larger answer that are buffered for its reader.
  std::size_t window_bytes = std::size_t{64} * 1024;
};

/// \brief An answer that one writer produces while one reader consumes it, with
/// back pressure. Once it has ended, several readers may read it concurrently.
class AnswerStream final : public RefCounted<AnswerStream> {
 public:
  /// \param buffered_bytes Counter to which the buffered bytes are added.
  AnswerStream(const AnswerLimits& limits,
               RefPtr<BufferedBytes> buffered_bytes);
  ~AnswerStream();

  [[nodiscard]] bool has_head() const noexcept { return has_head_; }
  [[nodiscard]] const MessageHead& head() const noexcept { return head_; }
  /// \brief Whether no more bytes will come.
  [[nodiscard]] bool ended() const noexcept { return ended_; }
  /// \brief Whether the answer ended with its last byte.
  [[nodiscard]] bool complete() const noexcept { return complete_; }
  /// \brief Whether a reader can still read the answer from its start.
  [[nodiscard]] bool CanReadFromStart() const noexcept {
    return discarded_ == 0;
  }
  [[nodiscard]] bool HasRoom() const noexcept;
  [[nodiscard]] bool HasReader() const noexcept { return reader_ != nullptr; }

  /// \brief Whether the byte at offset `position` is buffered or yet to come.
  [[nodiscard]] bool CanRead(std::uint64_t position) const noexcept {
    return position >= discarded_;
  }
  /// \returns Buffered bytes from offset `position` on, for which `CanRead`
  /// must hold.
  [[nodiscard]] std::string_view Peek(std::uint64_t position) const noexcept;
  /// \returns Offset of the next byte to arrive.
  [[nodiscard]] std::uint64_t end_position() const noexcept {
    return discarded_ + buffer_.size();
  }

  void set_reader(AnswerReader* reader) noexcept { reader_ = reader; }
  /// \brief Detaches `reader`, unless another one was set since.
  void ClearReader(const AnswerReader* reader) noexcept {
    if (reader_ == reader) {
      reader_ = nullptr;
    }
  }
  void set_writer(AnswerWriter* writer) noexcept { writer_ = writer; }

  void Begin(MessageHead head);
  void Append(std::string_view bytes);
  /// \brief Ends the answer.
  /// \param complete Whether all of it was appended; false when it broke off.
  void Finish(bool complete);
  /// \brief Frees the bytes before `position`, which the reader has read,
  /// unless the answer is small enough to be kept whole.
  void Consume(std::uint64_t position);

 private:
  void Notify();

  AnswerLimits limits_;
  RefPtr<BufferedBytes> buffered_bytes_;
  AnswerReader* reader_ = nullptr;
  AnswerWriter* writer_ = nullptr;
  MessageHead head_;
  std::string buffer_;
  /// Bytes freed from the front of the buffer.
  std::uint64_t discarded_ = 0;
  bool has_head_ = false;
  bool ended_ = false;
  bool complete_ = false;
};

}  // namespace cassiabend
