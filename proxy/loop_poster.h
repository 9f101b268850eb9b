#ifndef PROXY_LOOP_POSTER_H_
#define PROXY_LOOP_POSTER_H_

#include <functional>
#include <mutex>

#include "proxy/http_types.h"

namespace damasktack {

// Posts work to one event loop from any thread. Callbacks that may outlive the
// loop (in a gate or a balancer) hold this object instead of an executor,
// because a late callback would otherwise post to a destroyed loop.
class LoopPoster {
 public:
  explicit LoopPoster(asio::io_context& context);

  // Discards the work if the loop has ended. Work that the loop does not get to
  // run is destroyed with the loop, so anything that must happen belongs in a
  // destructor.
  void Post(std::function<void()> work);
  // Nothing is posted after this returns.
  void Close();

 private:
  std::mutex mutex_;
  asio::io_context* context_;
};

}  // namespace damasktack

#endif  // PROXY_LOOP_POSTER_H_
