#pragma once

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace cassiabend::harness {

/// \brief One child process with its standard output on a pipe. Ended by id
/// when the object goes.
class ChildProcess {
 public:
  /// \param arguments Path of the program and its arguments.
  /// \param error_file File that standard error is appended to.
  /// \param output_fd Where standard output goes instead of a pipe to this
  /// object; not taken over. -1 for the pipe.
  /// \throws std::runtime_error when the program cannot be started.
  ChildProcess(const std::vector<std::string>& arguments,
               const std::string& error_file,
               int output_fd = -1);
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;
  ~ChildProcess();

  [[nodiscard]] pid_t pid() const noexcept { return pid_; }
  /// \returns Whether the process has not ended.
  [[nodiscard]] bool IsRunning();

  /// \returns The next line of standard output; unset when it is closed or
  /// `wait` is over.
  [[nodiscard]] std::optional<std::string> ReadLine(
      std::chrono::milliseconds wait);

  /// \brief Sends a signal, unless the process has ended.
  void Signal(int signal);
  /// \brief Waits for the end.
  /// \returns The exit code, 128 + the signal that ended it, or unset when
  /// `wait` is over.
  [[nodiscard]] std::optional<int> Wait(std::chrono::milliseconds wait);

 private:
  pid_t pid_ = -1;
  int output_fd_ = -1;
  std::string buffered_;
  std::optional<int> exit_code_;
};

}  // namespace cassiabend::harness
