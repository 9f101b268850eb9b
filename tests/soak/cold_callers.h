#ifndef TESTS_SOAK_COLD_CALLERS_H_
#define TESTS_SOAK_COLD_CALLERS_H_

#include <atomic>
#include <boost/asio.hpp>
#include <cstdint>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "core/json_reader.h"
#include "core/time.h"

namespace damasktack {

struct ColdCallersPlan {
  std::uint64_t seed = 1;
  double calls_per_second = 20;
  // The part of the callers that leaves, and how long after asking.
  double leaving_part = 0.5;
  Duration leave_after = std::chrono::milliseconds(80);
};

// Callers of the service whose endpoints become cold. They come at random, each
// on a connection of its own to any of the hosts; some leave early.
class ColdCallers {
 public:
  ColdCallers(std::vector<SocketAddress> hosts, const ColdCallersPlan& plan);
  ~ColdCallers();

  // Callers that stayed, and those of them that got 200.
  int stayed() const { return stayed_; }
  int served() const { return served_; }
  // All connections, calls and the waits between them come to an end.
  void Stop();

 private:
  void ScheduleNext();
  void Call();

  const std::vector<SocketAddress> hosts_;
  const ColdCallersPlan plan_;
  std::mt19937_64 random_;
  boost::asio::io_context context_;
  boost::asio::steady_timer next_;
  std::uint64_t calls_ = 0;
  std::atomic<int> stayed_ = 0;
  std::atomic<int> served_ = 0;
  std::thread thread_;
};

}  // namespace damasktack

#endif  // TESTS_SOAK_COLD_CALLERS_H_
