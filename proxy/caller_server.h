#ifndef PROXY_CALLER_SERVER_H_
#define PROXY_CALLER_SERVER_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "core/error.h"
#include "core/heap.h"
#include "proxy/call_origin.h"
#include "proxy/proxy_loop.h"
#include "proxy/proxy_state.h"

namespace damasktack {

class CallerSession;

// Accepts callers' connections and runs the I/O threads. Each thread has its
// own event loop and its own pool of endpoint connections, so that a call stays
// on one thread from start to end.
class CallerServer {
 public:
  explicit CallerServer(ProxyState& state);
  ~CallerServer();

  // Binds the listening socket and serves on the I/O threads until Stop.
  leaf::result<void> Start();
  // Announces that Stop will be called at `end`: from now on no request is
  // accepted that could not be finished by then, and every connection is closed
  // shortly before.
  void AnnounceStop(TimePoint end);
  // Begins a graceful shutdown: requests that have arrived are served, their
  // answers close the connections, and idle connections are closed. Complete
  // when connections() is 0.
  void BeginStopping();
  // Closes the listening socket; open connections continue.
  void StopAccepting();
  // Stops the threads, and logs and aborts all calls in flight. Returns their
  // number.
  std::int64_t Stop();
  std::uint16_t port() const { return port_; }
  // Returns the port for relayed calls; 0 if this host takes none.
  std::uint16_t relay_port() const { return relay_port_; }
  // Returns the number of open caller connections on all threads.
  std::int64_t connections() const { return state_.counters().connections(); }

 private:
  asio::awaitable<void> Accept(Tcp::acceptor& acceptor, CallOrigin origin);
  void Admit(Tcp::socket socket, ProxyLoop& loop, CallOrigin origin);
  // Calls `notify` for each open connection, on the connection's thread.
  void ForEachSession(void (CallerSession::*notify)());
  asio::awaitable<void> TickLoop();
  // Called when calls have begun to wait: sends the probes that they need and
  // switches to the short tick interval.
  void OnWaiting();
  asio::awaitable<void> ExpireLoop(ProxyLoop& loop);
  asio::awaitable<void> TrimHeapLoop();
  asio::awaitable<void> Probe(std::shared_ptr<ServiceDispatcher> dispatcher,
                              ProbeRequest probe);
  // Ticks all services. Returns true if any call is waiting.
  bool TickServices(TimePoint now);
  Duration QuietTickInterval() const;
  void StartProbes(const std::shared_ptr<ServiceDispatcher>& dispatcher,
                   TimePoint now);

  ProxyState& state_;
  std::vector<std::unique_ptr<ProxyLoop>> loops_;
  std::unique_ptr<Tcp::acceptor> acceptor_;
  // Null if this host takes no relayed calls.
  std::unique_ptr<Tcp::acceptor> relay_acceptor_;
  // Runs on the first loop.
  std::unique_ptr<asio::steady_timer> tick_timer_;
  bool is_quiet_ = false;
  HeapTrimSchedule heap_trims_;
  std::uint16_t port_ = 0;
  std::uint16_t relay_port_ = 0;
  std::size_t next_loop_ = 0;
  // Number of connections over the limit that are being answered with a
  // refusal.
  std::shared_ptr<std::atomic<std::int64_t>> refusals_ =
      std::make_shared<std::atomic<std::int64_t>>(0);
};

}  // namespace damasktack

#endif  // PROXY_CALLER_SERVER_H_
