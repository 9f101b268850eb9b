#ifndef ADMIN_BOUNDED_TASK_QUEUE_H_
#define ADMIN_BOUNDED_TASK_QUEUE_H_

#include <httplib.h>

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace damasktack {

// Thread pool for cpp-httplib's server with a queue of bounded length. The
// library's own queue is unbounded, so that a flood of connections exhausts
// memory. Here a full queue blocks the accepting thread; further connections
// stay in the kernel's backlog, which is bounded.
class BoundedTaskQueue : public httplib::TaskQueue {
 public:
  BoundedTaskQueue(std::size_t threads, std::size_t max_queued);
  ~BoundedTaskQueue() override;

  void enqueue(std::function<void()> task) override;
  void shutdown() override;

 private:
  void RunWorker();

  const std::size_t max_queued_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<std::function<void()>> queued_;
  bool stopping_ = false;
  std::vector<std::thread> threads_;
};

}  // namespace damasktack

#endif  // ADMIN_BOUNDED_TASK_QUEUE_H_
