#pragma once

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace cassiabend {

/// \brief Writes lines to a pipe or file without ever blocking on its reader.
/// Lines that cannot be written yet wait in a bounded buffer; lines that do not
/// fit in the buffer are dropped. Safe for use by several threads.
class LineWriter {
 public:
  /// \param fd Descriptor to write to; not owned.
  /// \param capacity_bytes Size of the buffer in bytes.
  LineWriter(int fd, std::size_t capacity_bytes)
      : fd_(fd), capacity_bytes_(capacity_bytes) {}

  /// \brief Writes or buffers one line.
  /// \param line The line without a line feed.
  void Write(std::string_view line);
  /// \returns The number of dropped lines.
  [[nodiscard]] std::uint64_t dropped() const;

 private:
  void Flush();
  [[nodiscard]] bool IsWritable() const noexcept;

  const int fd_;
  const std::size_t capacity_bytes_;
  mutable std::mutex mutex_;
  std::string buffer_;
  std::uint64_t dropped_ = 0;
  /// Lines dropped since the last "log_lines_dropped" line was written.
  std::uint64_t unreported_drops_ = 0;
};

}  // namespace cassiabend
