#include "cassiabend/http/answer_stream.h"

#include <algorithm>
#include <utility>

namespace cassiabend {

AnswerStream::AnswerStream(const AnswerLimits& limits,
                           RefPtr<BufferedBytes> buffered_bytes)
    : limits_(limits), buffered_bytes_(std::move(buffered_bytes)) {}

AnswerStream::~AnswerStream() {
  buffered_bytes_->total -= buffer_.size();
}

bool AnswerStream::HasRoom() const noexcept {
  const std::size_t limit =
      discarded_ != 0 ? limits_.window_bytes
                      : std::max(limits_.kept_bytes, limits_.window_bytes);
  return buffer_.size() < limit;
}

std::string_view AnswerStream::Peek(std::uint64_t position) const noexcept {
  return std::string_view(buffer_).substr(position - discarded_);
}

void AnswerStream::Begin(MessageHead head) {
  head_ = std::move(head);
  has_head_ = true;
  Notify();
}

void AnswerStream::Append(std::string_view bytes) {
  buffer_.append(bytes);
  buffered_bytes_->total += bytes.size();
  Notify();
}

void AnswerStream::Finish(bool complete) {
  ended_ = true;
  complete_ = complete;
  writer_ = nullptr;
  Notify();
}

void AnswerStream::Consume(std::uint64_t position) {
  const bool is_kept = discarded_ == 0 && end_position() <= limits_.kept_bytes;
  if (is_kept || position <= discarded_) {
    return;
  }
  const bool had_room = HasRoom();
  const std::size_t n = position - discarded_;
  buffer_.erase(0, n);
  discarded_ = position;
  buffered_bytes_->total -= n;
  if (!had_room && HasRoom() && writer_ != nullptr) {
    writer_->OnRoomAvailable();
  }
}

void AnswerStream::Notify() {
  if (reader_ != nullptr) {
    const RefPtr<AnswerStream> keep(this);
    reader_->OnAnswerUpdate();
  }
}

}  // namespace cassiabend
