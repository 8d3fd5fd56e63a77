#include "tools/harness/child_process.h"

#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstring>
#include <stdexcept>
#include <thread>

extern char** environ;

namespace cassiabend::harness {
namespace {

constexpr std::chrono::milliseconds kPollPeriod{5};
constexpr std::chrono::seconds kTerminationTimeout{5};

/// \brief Owns the file actions of one posix_spawn.
class SpawnActions {
 public:
  SpawnActions() { posix_spawn_file_actions_init(&actions_); }
  SpawnActions(const SpawnActions&) = delete;
  SpawnActions& operator=(const SpawnActions&) = delete;
  ~SpawnActions() { posix_spawn_file_actions_destroy(&actions_); }

  posix_spawn_file_actions_t* get() { return &actions_; }

 private:
  posix_spawn_file_actions_t actions_{};
};

int ExitCodeOf(int status) {
  return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

}  // namespace

ChildProcess::ChildProcess(const std::vector<std::string>& arguments,
                           const std::string& error_file,
                           int output_fd) {
  std::array<int, 2> pipe_fds{};
  if (pipe2(pipe_fds.data(), O_CLOEXEC) != 0) {
    throw std::runtime_error(std::string("cannot create a pipe: ") +
                             std::strerror(errno));
  }
  SpawnActions actions;
  posix_spawn_file_actions_adddup2(
      actions.get(), output_fd >= 0 ? output_fd : pipe_fds[1], STDOUT_FILENO);
  posix_spawn_file_actions_addopen(actions.get(), STDERR_FILENO,
                                   error_file.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  std::vector<char*> argv;
  argv.reserve(arguments.size() + 1);
  for (const std::string& it : arguments) {
    argv.push_back(const_cast<char*>(it.c_str()));
  }
  argv.push_back(nullptr);
  const int ec = posix_spawn(&pid_, argv.front(), actions.get(), nullptr,
                             argv.data(), environ);
  close(pipe_fds[1]);
  output_fd_ = pipe_fds[0];
  if (ec != 0) {
    close(output_fd_);
    throw std::runtime_error("cannot start " + arguments.front() + ": " +
                             std::strerror(ec));
  }
}

ChildProcess::~ChildProcess() {
  if (IsRunning()) {
    Signal(SIGCONT);
    Signal(SIGTERM);
    if (!Wait(kTerminationTimeout)) {
      Signal(SIGKILL);
      (void)Wait(kTerminationTimeout);
    }
  }
  close(output_fd_);
}

bool ChildProcess::IsRunning() {
  return !Wait(std::chrono::milliseconds(0)).has_value();
}

std::optional<std::string> ChildProcess::ReadLine(
    std::chrono::milliseconds timeout) {
  const auto end = std::chrono::steady_clock::now() + timeout;
  while (true) {
    const std::size_t n = buffered_.find('\n');
    if (n != std::string::npos) {
      std::string line = buffered_.substr(0, n);
      buffered_.erase(0, n + 1);
      return line;
    }
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        end - std::chrono::steady_clock::now());
    pollfd readable{.fd = output_fd_, .events = POLLIN, .revents = 0};
    if (left.count() <= 0 ||
        poll(&readable, 1, static_cast<int>(left.count())) <= 0) {
      return std::nullopt;
    }
    std::array<char, 4096> buf{};
    const ssize_t got = read(output_fd_, buf.data(), buf.size());
    if (got <= 0) {
      return std::nullopt;
    }
    buffered_.append(buf.data(), static_cast<std::size_t>(got));
  }
}

void ChildProcess::Signal(int signal) {
  if (!exit_code_) {
    kill(pid_, signal);
  }
}

std::optional<int> ChildProcess::Wait(std::chrono::milliseconds timeout) {
  const auto end = std::chrono::steady_clock::now() + timeout;
  while (!exit_code_) {
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) == pid_) {
      exit_code_ = ExitCodeOf(status);
      break;
    }
    if (std::chrono::steady_clock::now() >= end) {
      break;
    }
    std::this_thread::sleep_for(kPollPeriod);
  }
  return exit_code_;
}

}  // namespace cassiabend::harness
