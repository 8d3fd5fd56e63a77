#pragma once

#include <deque>
#include <functional>
#include <mutex>
#include <thread>

#include <kj/async-io.h>

namespace cassiabend {

/// \brief A thread that runs a KJ event loop, which Cap'n Proto RPC needs. KJ
/// objects are created, used and destroyed on this thread only.
class KjThread {
 public:
  using Task = std::function<void()>;

  KjThread();
  KjThread(const KjThread&) = delete;
  KjThread& operator=(const KjThread&) = delete;
  /// \brief Runs the remaining tasks, then joins the thread.
  ~KjThread();

  /// \returns The loop's I/O context, which may be used on this thread only.
  [[nodiscard]] kj::AsyncIoContext& io() noexcept { return *io_; }

  /// \brief Queues `task` to run on the thread, without waiting for it. May be
  /// called on any thread.
  void Post(Task task);
  /// \brief Runs `task` on the thread and waits until it returns.
  /// \throws What `task` throws; `RpcError` in place of `kj::Exception`.
  void Run(const Task& task);

 private:
  void RunLoop(const std::function<void()>& on_started);
  void RunQueuedTasks();

  kj::AsyncIoContext* io_ = nullptr;
  std::mutex mutex_;
  std::deque<Task> tasks_;
  /// Wakes the loop; set while it waits for tasks.
  kj::Own<kj::CrossThreadPromiseFulfiller<void>> waker_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace cassiabend
