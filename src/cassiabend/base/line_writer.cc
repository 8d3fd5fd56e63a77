#include "cassiabend/base/line_writer.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

namespace cassiabend {
namespace {

/// Largest write that a pipe reported writable by poll accepts without
/// blocking.
constexpr std::size_t kMaxNonBlockingWriteBytes = PIPE_BUF;

}  // namespace

void LineWriter::Write(std::string_view line) {
  const std::lock_guard lock(mutex_);
  Flush();
  if (buffer_.size() + line.size() + 1 > capacity_bytes_) {
    ++dropped_;
    ++unreported_drops_;
    return;
  }
  if (unreported_drops_ != 0) {
    buffer_ += R"({"level":"warning","event":"log_lines_dropped","lines":)" +
               std::to_string(unreported_drops_) + "}\n";
    unreported_drops_ = 0;
  }
  buffer_.append(line).push_back('\n');
  Flush();
}

std::uint64_t LineWriter::dropped() const {
  const std::lock_guard lock(mutex_);
  return dropped_;
}

void LineWriter::Flush() {
  while (!buffer_.empty() && IsWritable()) {
    const ssize_t n =
        ::write(fd_, buffer_.data(),
                std::min(buffer_.size(), kMaxNonBlockingWriteBytes));
    if (n <= 0) {
      return;
    }
    buffer_.erase(0, static_cast<std::size_t>(n));
  }
}

bool LineWriter::IsWritable() const noexcept {
  pollfd ready{.fd = fd_, .events = POLLOUT, .revents = 0};
  return ::poll(&ready, 1, 0) == 1 && (ready.revents & POLLOUT) != 0;
}

}  // namespace cassiabend
