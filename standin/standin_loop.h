#ifndef STANDIN_STANDIN_LOOP_H_
#define STANDIN_STANDIN_LOOP_H_

#include <boost/asio.hpp>
#include <thread>

namespace damasktack {

// Event loop that runs on its own thread. Stand-ins may share a loop, so that
// one process can run many of them.
class StandinLoop {
 public:
  StandinLoop();
  ~StandinLoop();

  boost::asio::io_context& context() { return context_; }

  // Stops the thread, and with it all stand-ins on this loop. May be called
  // more than once.
  void Stop();

 private:
  boost::asio::io_context context_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  std::thread thread_;
};

}  // namespace damasktack

#endif  // STANDIN_STANDIN_LOOP_H_
