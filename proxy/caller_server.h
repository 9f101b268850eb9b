#ifndef PROXY_CALLER_SERVER_H_
#define PROXY_CALLER_SERVER_H_

#include <memory>
#include <vector>

#include "core/error.h"
#include "proxy/proxy_loop.h"
#include "proxy/proxy_state.h"

namespace damasktack {

// Accepts callers and runs the I/O threads. Each thread has an event loop and
// a pool of endpoint connections of its own, so that a call stays on one
// thread from its first byte to its last.
class CallerServer {
 public:
  explicit CallerServer(ProxyState& state);
  ~CallerServer();

  // Binds, then serves on its own threads until Stop.
  leaf::result<void> Start();
  // Begins a graceful stop: what has arrived is served, answers close their
  // connections, idle connections end. Done when connections() is 0.
  void BeginStopping();
  // Closes the listening socket; connections that are open go on.
  void StopAccepting();
  // Ends the threads; what is still in flight is cut.
  void Stop();
  std::uint16_t port() const { return port_; }
  // Callers' connections that are open, in all threads.
  std::int64_t connections() const { return state_.counters().connections(); }

 private:
  leaf::result<void> Listen();
  asio::awaitable<void> Accept();
  void Admit(Tcp::socket socket, ProxyLoop& loop);
  asio::awaitable<void> TickLoop();
  // Calls have begun to wait: sends the probes that they need, and looks after
  // them more often.
  void OnWaiting();
  asio::awaitable<void> ExpireLoop(ProxyLoop& loop);
  asio::awaitable<void> Probe(std::shared_ptr<ServiceDispatcher> dispatcher,
                              ProbeOrder order);
  // Whether any call waits.
  bool TickServices(TimePoint now);
  Duration QuietPause() const;
  void StartProbes(const std::shared_ptr<ServiceDispatcher>& dispatcher,
                   TimePoint now);

  ProxyState& state_;
  std::vector<std::unique_ptr<ProxyLoop>> loops_;
  std::unique_ptr<Tcp::acceptor> acceptor_;
  // Of the first loop.
  std::unique_ptr<asio::steady_timer> tick_timer_;
  bool is_quiet_ = false;
  std::uint16_t port_ = 0;
  std::size_t next_loop_ = 0;
  // Connections that only learn that there are too many.
  std::shared_ptr<std::atomic<std::int64_t>> refusals_ =
      std::make_shared<std::atomic<std::int64_t>>(0);
};

}  // namespace damasktack

#endif  // PROXY_CALLER_SERVER_H_
