#include "proxy/proxy_loop.h"

namespace damasktack {

ProxyLoop::ProxyLoop(Duration endpoint_idle, MemoryBudget& memory)
    : pool_(endpoint_idle, &memory),
      context_(std::make_unique<asio::io_context>(1)),
      work_(context_->get_executor()),
      poster_(std::make_shared<LoopPoster>(*context_)) {}

ProxyLoop::~ProxyLoop() {
  Stop();
  // The idle sockets must be closed before the event loop is destroyed. The
  // pool itself must outlive the loop, because the suspended calls that are
  // destroyed with it refer to the pool.
  pool_.CloseAll();
  work_.reset();
  context_.reset();
}

void ProxyLoop::Start() {
  thread_ = std::thread([this] { context_->run(); });
}

void ProxyLoop::Stop() {
  poster_->Close();
  context_->stop();
  if (thread_.joinable()) {
    thread_.join();
  }
}

}  // namespace damasktack
