#pragma once

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace cassiabend::harness {

/// \brief Child process with its standard output on a pipe. The destructor
/// sends SIGTERM, and SIGKILL when the process still runs 5 s later.
class ChildProcess {
 public:
  /// \param arguments Path of the program, then its arguments.
  /// \param error_file File that standard error is appended to.
  /// \param output_fd Descriptor for standard output, which stays the caller's;
  /// -1 for a pipe that `ReadLine` reads.
  /// \throws std::runtime_error when the program cannot be started.
  ChildProcess(const std::vector<std::string>& arguments,
               const std::string& error_file,
               int output_fd = -1);
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;
  ~ChildProcess();

  [[nodiscard]] pid_t pid() const noexcept { return pid_; }
  /// \returns Whether the process still runs.
  [[nodiscard]] bool IsRunning();

  /// \returns The next line of standard output, without its newline; unset
  /// when the output is closed or no line arrives within `timeout`.
  [[nodiscard]] std::optional<std::string> ReadLine(
      std::chrono::milliseconds timeout);

  /// \brief Sends a signal unless the process has exited.
  void Signal(int signal);
  /// \brief Waits for the process to exit.
  /// \returns The exit code, or 128 plus the number of the signal that ended
  /// the process; unset when it still runs after `timeout`.
  [[nodiscard]] std::optional<int> Wait(std::chrono::milliseconds timeout);

 private:
  pid_t pid_ = -1;
  int output_fd_ = -1;
  std::string buffered_;
  std::optional<int> exit_code_;
};

}  // namespace cassiabend::harness
