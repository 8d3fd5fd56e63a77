#include "cassiabend/rpc/kj_thread.h"

#include <exception>
#include <future>
#include <memory>
#include <utility>

#include "cassiabend/base/error.h"
#include "cassiabend/base/log.h"

namespace cassiabend {

KjThread::KjThread() {
  // Shared, because the thread may still be in `set_value` when the wait ends.
  const auto started = std::make_shared<std::promise<void>>();
  std::future<void> done = started->get_future();
  thread_ = std::thread(
      [this, started] { RunLoop([&started] { started->set_value(); }); });
  done.wait();
}

KjThread::~KjThread() {
  Post([this] { stopping_ = true; });
  thread_.join();
}

void KjThread::Post(Task task) {
  const std::lock_guard lock(mutex_);
  tasks_.push_back(std::move(task));
  if (waker_.get() != nullptr) {
    waker_->fulfill();
    waker_ = nullptr;
  }
}

void KjThread::Run(const Task& task) {
  const auto packaged = std::make_shared<std::packaged_task<void()>>([&task] {
    try {
      task();
    } catch (const kj::Exception& ex) {
      // KJ exceptions must not leave the thread that threw them.
      throw RpcError("run a task", "RPC thread", ex.getDescription().cStr());
    }
  });
  std::future<void> done = packaged->get_future();
  Post([packaged] { (*packaged)(); });
  done.get();
}

void KjThread::RunLoop(const std::function<void()>& on_started) {
  kj::AsyncIoContext io = kj::setupAsyncIo();
  io_ = &io;
  on_started();
  while (!stopping_) {
    kj::Promise<void> wake = kj::READY_NOW;
    {
      const std::lock_guard lock(mutex_);
      if (tasks_.empty()) {
        auto pair = kj::newPromiseAndCrossThreadFulfiller<void>();
        waker_ = kj::mv(pair.fulfiller);
        wake = kj::mv(pair.promise);
      }
    }
    wake.wait(io.waitScope);
    RunQueuedTasks();
    // A steady flow of tasks must not starve the loop's I/O.
    io.waitScope.poll();
  }
  // Unfinished calls may still refer to objects of the thread's owner.
  io.waitScope.cancelAllDetached();
}

void KjThread::RunQueuedTasks() {
  std::deque<Task> tasks;
  {
    const std::lock_guard lock(mutex_);
    tasks.swap(tasks_);
  }
  for (const Task& it : tasks) {
    try {
      it();
    } catch (const std::exception& ex) {
      Log(LogLevel::kError, "rpc_task_failed", {{"why", ex.what()}});
    } catch (const kj::Exception& ex) {
      Log(LogLevel::kError, "rpc_task_failed",
          {{"why", ex.getDescription().cStr()}});
    }
  }
}

}  // namespace cassiabend
