#include "cassiabend/store/watch_reader.h"

namespace cassiabend {
namespace {

// An entry of the maximum size in base64, and the rest of the message.
constexpr std::size_t kMaxMessageBytes = std::size_t{2} * 1024 * 1024;

}  // namespace

StoreReply WatchReader::reply() const {
  StoreReply reply = reply_;
  if (!decided_) {
    // Until the store has confirmed the watch, the absence of events says
    // nothing about the key.
    reply.status = created_ ? StoreStatus::kOk : StoreStatus::kUnavailable;
  }
  return reply;
}

bool WatchReader::ReadChunk(std::string_view chunk) {
  partial_line_ += chunk;
  std::size_t begin = 0;
  while (!decided_) {
    const std::size_t end = partial_line_.find('\n', begin);
    if (end == std::string::npos) {
      break;
    }
    ReadMessage(std::string_view(partial_line_).substr(begin, end - begin));
    begin = end + 1;
  }
  partial_line_.erase(0, begin);
  if (!decided_ && partial_line_.size() > kMaxMessageBytes) {
    Decide(StoreStatus::kUnavailable);
  }
  return !decided_;
}

void WatchReader::ReadMessage(std::string_view line) {
  if (line.empty()) {
    return;
  }
  std::optional<WatchMessage> message = DecodeWatchMessage(line);
  if (!message || message->canceled || message->removed) {
    compacted_ = message && message->compact_revision != 0;
    Decide(StoreStatus::kUnavailable);
    return;
  }
  reply_.store_revision = message->store_revision;
  created_ = created_ || message->created;
  if (message->entry && message->entry->revision > after_) {
    reply_.entry = std::move(message->entry);
    Decide(StoreStatus::kOk);
    return;
  }
  if (message->created && message->store_revision < after_) {
    // The store was restored to a revision older than the caller's. The next
    // changes would be below the watched revisions, so no event would arrive:
    // the caller has to read the key again.
    Decide(StoreStatus::kUnavailable);
  }
}

void WatchReader::Decide(StoreStatus status) {
  decided_ = true;
  reply_.status = status;
}

}  // namespace cassiabend
