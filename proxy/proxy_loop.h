#ifndef PROXY_PROXY_LOOP_H_
#define PROXY_PROXY_LOOP_H_

#include <memory>
#include <thread>
#include <unordered_set>

#include "proxy/endpoint_pool.h"
#include "proxy/loop_poster.h"

namespace damasktack {

class CallerSession;

// One I/O thread with its own event loop, its idle connections to endpoints and
// the caller sessions that it serves.
class ProxyLoop {
 public:
  // What the connections read is taken from `memory`, which must outlive the
  // loop.
  ProxyLoop(Duration endpoint_idle, MemoryBudget& memory);
  // Stops the thread and aborts all calls in flight.
  ~ProxyLoop();

  void Start();
  void Stop();

  asio::io_context& context() { return *context_; }
  EndpointPool& pool() { return pool_; }
  const std::shared_ptr<LoopPoster>& poster() const { return poster_; }
  // Must be used on the loop's own thread only.
  std::unordered_set<CallerSession*>& sessions() { return sessions_; }

 private:
  EndpointPool pool_;
  std::unordered_set<CallerSession*> sessions_;
  std::unique_ptr<asio::io_context> context_;
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  std::shared_ptr<LoopPoster> poster_;
  std::thread thread_;
};

}  // namespace damasktack

#endif  // PROXY_PROXY_LOOP_H_
