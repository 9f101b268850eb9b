#ifndef TESTS_SOAK_SLOT_ENDPOINTS_H_
#define TESTS_SOAK_SLOT_ENDPOINTS_H_

#include <boost/asio.hpp>
#include <memory>
#include <thread>
#include <vector>

#include "tests/soak/slot_endpoint.h"

namespace damasktack {

// All endpoints of the service whose endpoints become cold, served by one
// thread.
class SlotEndpoints {
 public:
  explicit SlotEndpoints(int count) : work_(context_.get_executor()) {
    for (int n = 0; n < count; ++n) {
      endpoints_.push_back(
          std::make_unique<SlotEndpoint>("c" + std::to_string(n), context_));
    }
    thread_ = std::thread([this] { context_.run(); });
  }
  ~SlotEndpoints() {
    context_.stop();
    thread_.join();
  }
  SlotEndpoints(const SlotEndpoints&) = delete;
  SlotEndpoints& operator=(const SlotEndpoints&) = delete;

  int size() const { return static_cast<int>(endpoints_.size()); }
  SlotEndpoint& at(int n) { return *endpoints_[static_cast<std::size_t>(n)]; }

 private:
  boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  std::vector<std::unique_ptr<SlotEndpoint>> endpoints_;
  std::thread thread_;
};

}  // namespace damasktack

#endif  // TESTS_SOAK_SLOT_ENDPOINTS_H_
