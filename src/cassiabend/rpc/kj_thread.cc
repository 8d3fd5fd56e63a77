#include "cassiabend/rpc/kj_thread.h"

#include <exception>
#include <future>
#include <utility>

#include "cassiabend/base/error.h"
#include "cassiabend/base/log.h"

namespace cassiabend {

KjThread::KjThread() {
  std::promise<void> started;
  thread_ = std::thread(
      [this, &started] { Loop([&started] { started.set_value(); }); });
  started.get_future().wait();
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
  std::packaged_task<void()> packaged([&task] {
    try {
      task();
    } catch (const kj::Exception& ex) {
      // KJ's exceptions must not leave the thread that threw them.
      throw RpcError("run a task", "RPC thread", ex.getDescription().cStr());
    }
  });
  Post([&packaged] { packaged(); });
  packaged.get_future().get();
}

void KjThread::Loop(const std::function<void()>& on_started) {
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
    RunWaitingTasks();
    // A steady flow of tasks must not keep the loop from its I/O.
    io.waitScope.poll();
  }
  // Calls that were cut off may still hold objects of the thread's owner.
  io.waitScope.cancelAllDetached();
}

void KjThread::RunWaitingTasks() {
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
