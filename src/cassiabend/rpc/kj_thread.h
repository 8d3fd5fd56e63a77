#pragma once

#include <deque>
#include <functional>
#include <mutex>
#include <thread>

#include <kj/async-io.h>

namespace cassiabend {

/// \brief A thread that runs a KJ event loop, as Cap'n Proto RPC needs one.
/// Objects of KJ live and die on this thread only.
class KjThread {
 public:
  using Task = std::function<void()>;

  KjThread();
  KjThread(const KjThread&) = delete;
  KjThread& operator=(const KjThread&) = delete;
  /// \brief Runs the tasks that are left, then ends the thread.
  ~KjThread();

  /// \returns The loop's I/O; used on the thread only.
  [[nodiscard]] kj::AsyncIoContext& io() noexcept { return *io_; }

  /// \brief Runs `task` on the thread soon. Never blocks on the loop.
  void Post(Task task);
  /// \brief Runs `task` on the thread and waits for its end.
  /// \throws What `task` throws; `RpcError` in place of `kj::Exception`.
  void Run(const Task& task);

 private:
  void Loop(const std::function<void()>& on_started);
  void RunWaitingTasks();

  kj::AsyncIoContext* io_ = nullptr;
  std::mutex mutex_;
  std::deque<Task> tasks_;
  /// Set while the loop sleeps.
  kj::Own<kj::CrossThreadPromiseFulfiller<void>> waker_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace cassiabend
