#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "cassiabend/base/ref_counted.h"
#include "cassiabend/http/message.h"

namespace cassiabend {

/// \brief Takes an answer as it arrives.
class AnswerReader {
 public:
  AnswerReader() = default;
  AnswerReader(const AnswerReader&) = delete;
  AnswerReader& operator=(const AnswerReader&) = delete;
  virtual ~AnswerReader() = default;

  /// \brief The head, more bytes or the end have arrived.
  virtual void OnAnswer() = 0;
};

/// \brief Produces an answer; stops while its stream is full.
class AnswerWriter {
 public:
  AnswerWriter() = default;
  AnswerWriter(const AnswerWriter&) = delete;
  AnswerWriter& operator=(const AnswerWriter&) = delete;
  virtual ~AnswerWriter() = default;

  /// \brief The stream has room again.
  virtual void OnRoom() = 0;
};

/// \brief Limits of one answer's buffer.
struct AnswerLimits {
  /// An answer up to this size is kept from its start until the stream goes,
  /// so that another reader can take it.
  std::size_t kept_bytes = 0;
  /// Bytes that wait for the reader of a larger answer.
  std::size_t window_bytes = std::size_t{64} * 1024;
};

/// \brief An answer on its way from one writer to one reader, with back
/// pressure. Once it has ended, others may read it beside the first.
class AnswerStream final : public RefCounted<AnswerStream> {
 public:
  /// \param held_bytes Counter to which held bytes are added.
  AnswerStream(const AnswerLimits& limits, RefPtr<HeldBytes> held_bytes);
  ~AnswerStream();

  [[nodiscard]] bool has_head() const noexcept { return has_head_; }
  [[nodiscard]] const MessageHead& head() const noexcept { return head_; }
  /// \brief Whether no more bytes will come.
  [[nodiscard]] bool ended() const noexcept { return ended_; }
  [[nodiscard]] bool complete() const noexcept { return complete_; }
  /// \brief Whether a reader can still take the answer from its start.
  [[nodiscard]] bool whole() const noexcept { return discarded_ == 0; }
  [[nodiscard]] bool HasRoom() const noexcept;
  [[nodiscard]] bool HasReader() const noexcept { return reader_ != nullptr; }

  /// \brief Whether the byte at offset `position` is held or yet to come.
  [[nodiscard]] bool Reaches(std::uint64_t position) const noexcept {
    return position >= discarded_;
  }
  /// \returns Held bytes from offset `position` on, which must be reached.
  [[nodiscard]] std::string_view Peek(std::uint64_t position) const noexcept;
  /// \returns Offset of the next byte to arrive.
  [[nodiscard]] std::uint64_t end_position() const noexcept {
    return discarded_ + buffer_.size();
  }

  void set_reader(AnswerReader* reader) noexcept { reader_ = reader; }
  /// \brief Detaches `reader`, unless another has taken its place.
  void ClearReader(const AnswerReader* reader) noexcept {
    if (reader_ == reader) {
      reader_ = nullptr;
    }
  }
  void set_writer(AnswerWriter* writer) noexcept { writer_ = writer; }

  void Begin(MessageHead head);
  void Append(std::string_view bytes);
  void Finish(bool complete);
  /// \brief The reader has taken all bytes before `position`.
  void Consume(std::uint64_t position);

 private:
  void Notify();

  AnswerLimits limits_;
  RefPtr<HeldBytes> held_bytes_;
  AnswerReader* reader_ = nullptr;
  AnswerWriter* writer_ = nullptr;
  MessageHead head_;
  std::string buffer_;
  /// Bytes dropped from the front of the buffer.
  std::uint64_t discarded_ = 0;
  bool has_head_ = false;
  bool ended_ = false;
  bool complete_ = false;
};

}  // namespace cassiabend
