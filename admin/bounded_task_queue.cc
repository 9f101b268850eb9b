#include "admin/bounded_task_queue.h"

#include <utility>

namespace damasktack {

BoundedTaskQueue::BoundedTaskQueue(std::size_t threads, std::size_t max_queued)
    : max_queued_(max_queued) {
  for (std::size_t n = 0; n < threads; ++n) {
    threads_.emplace_back([this] { RunWorker(); });
  }
}

BoundedTaskQueue::~BoundedTaskQueue() {
  shutdown();
}

void BoundedTaskQueue::enqueue(std::function<void()> task) {
  std::unique_lock lock(mutex_);
  changed_.wait(lock,
                [this] { return stopping_ || queued_.size() < max_queued_; });
  // Queued also while stopping: the task owns a connection and has to close it.
  queued_.push_back(std::move(task));
  changed_.notify_all();
}

void BoundedTaskQueue::shutdown() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    changed_.notify_all();
  }
  for (std::thread& it : threads_) {
    if (it.joinable()) {
      it.join();
    }
  }
}

void BoundedTaskQueue::RunWorker() {
  while (true) {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return stopping_ || !queued_.empty(); });
    if (queued_.empty()) {
      return;
    }
    const std::function<void()> task = std::move(queued_.front());
    queued_.pop_front();
    changed_.notify_all();
    lock.unlock();
    task();
  }
}

}  // namespace damasktack
