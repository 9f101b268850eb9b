#include "standin/standin_loop.h"

namespace damasktack {

StandinLoop::StandinLoop()
    : work_(boost::asio::make_work_guard(context_)),
      thread_([this] { context_.run(); }) {}

StandinLoop::~StandinLoop() {
  Stop();
}

void StandinLoop::Stop() {
  context_.stop();
  if (thread_.joinable()) {
    thread_.join();
  }
}

}  // namespace damasktack
