#include "proxy/loop_poster.h"

#include <utility>

namespace damasktack {

LoopPoster::LoopPoster(asio::io_context& context) : context_(&context) {}

void LoopPoster::Post(std::function<void()> work) {
  const std::lock_guard lock(mutex_);
  if (context_ != nullptr) {
    asio::post(*context_, std::move(work));
  }
}

void LoopPoster::Close() {
  const std::lock_guard lock(mutex_);
  context_ = nullptr;
}

}  // namespace damasktack
