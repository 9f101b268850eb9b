#ifndef PROXY_LOSING_SENDS_H_
#define PROXY_LOSING_SENDS_H_

#include <memory>
#include <utility>
#include <vector>

#include "proxy/endpoint_exchange.h"

namespace damasktack {

// The sends of one caller's connection that run on although another send of
// their call has been answered. They end with the connection. Used on one I/O
// thread only.
class LosingSends {
 public:
  void Add(const std::shared_ptr<EndpointExchange>& exchange) {
    if (is_closed_) {
      exchange->Cancel();
      return;
    }
    std::erase_if(exchanges_, [](const auto& it) { return it.expired(); });
    exchanges_.push_back(exchange);
  }

  // Cancels all sends, and each one that is added later.
  void Close() {
    is_closed_ = true;
    for (const auto& it : std::exchange(exchanges_, {})) {
      if (const auto exchange = it.lock()) {
        exchange->Cancel();
      }
    }
  }

 private:
  std::vector<std::weak_ptr<EndpointExchange>> exchanges_;
  bool is_closed_ = false;
};

}  // namespace damasktack

#endif  // PROXY_LOSING_SENDS_H_
