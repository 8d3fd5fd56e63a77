#pragma once

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace cassiabend {

/// \brief Writes lines to a pipe or file without ever waiting for its reader.
/// Lines that do not fit are kept in a bounded buffer, and dropped beyond it.
class LineWriter {
 public:
  /// \param fd Descriptor to write to; not owned.
  /// \param capacity_bytes Most bytes that are kept.
  LineWriter(int fd, std::size_t capacity_bytes)
      : fd_(fd), capacity_bytes_(capacity_bytes) {}

  /// \brief Takes one line, without its end.
  void Write(std::string_view line);
  /// \returns How many lines were dropped.
  [[nodiscard]] std::uint64_t dropped() const;

 private:
  void Flush();
  [[nodiscard]] bool MayWrite() const noexcept;

  const int fd_;
  const std::size_t capacity_bytes_;
  mutable std::mutex mutex_;
  std::string kept_;
  std::uint64_t dropped_ = 0;
  /// Lines dropped since the last line that says so.
  std::uint64_t untold_ = 0;
};

}  // namespace cassiabend
