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
  // Fraction of the callers that disconnect early, and after what time.
  double leaving_fraction = 0.5;
  Duration leave_after = std::chrono::milliseconds(80);
};

// Sends calls to the service whose endpoints become cold. The calls arrive as a
// Poisson process, each on its own connection to a random host; some callers
// disconnect before they have a response.
class ColdCallers {
 public:
  ColdCallers(std::vector<SocketAddress> hosts, const ColdCallersPlan& plan);
  ~ColdCallers();

  // Number of callers that did not disconnect early, and how many of these got
  // status 200.
  int stayed() const { return stayed_; }
  int served() const { return served_; }
  // Aborts all open calls and sends no more.
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
