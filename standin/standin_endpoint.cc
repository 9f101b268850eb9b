#include "standin/standin_endpoint.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <deque>
#include <set>
#include <utility>

#include "standin/load_reporter.h"
#include "standin/standin_listener.h"

namespace damasktack {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

constexpr Duration kStrayResponseDelay = std::chrono::milliseconds(20);

bool IsClosedByPeer(Tcp::socket& socket) {
  char byte = 0;
  const ssize_t n =
      recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

TimePoint DeadlineOf(const Request& request) {
  const auto text = request["Damasktack-Deadline-Ms"];
  std::int64_t remaining = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), remaining);
  if (text.empty() || parsed.ec != std::errc()) {
    return TimePoint::max();
  }
  return Clock::now() + std::chrono::milliseconds(remaining);
}

}  // namespace

// Endpoint state and coroutines. Runs only on the event loop's thread.
struct StandinEndpoint::Backend {
  // A call in progress. Cancelling `wake` ends its wait for a slot or its
  // service time.
  struct PendingCall {
    explicit PendingCall(asio::io_context& context) : wake(context) {}

    asio::steady_timer wake;
    bool granted = false;
    bool cancelled = false;
  };
  using PendingCallPtr = std::shared_ptr<PendingCall>;

  struct Connection {
    explicit Connection(Tcp::socket it) : socket(std::move(it)) {}

    Tcp::socket socket;
    bool busy = false;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  // The response to a call, and the fault to apply when it is sent.
  struct Outcome {
    Response response{http::status::ok, 11};
    AnswerFault fault = AnswerFault::kNone;
  };

  enum class SlotResult : std::uint8_t { kGranted, kCancelled, kExpired };

  explicit Backend(StandinEndpoint& owner)
      : self(owner),
        listener(
            *owner.loop_,
            [this](Tcp::socket socket) {
              return Serve(std::make_shared<Connection>(std::move(socket)));
            }),
        drain_timer(owner.loop_->context()),
        faults_timer(owner.loop_->context()),
        random(owner.options_.seed) {}

  asio::awaitable<void> Serve(ConnectionPtr connection);
  asio::awaitable<Outcome> Handle(const Request& request, PendingCallPtr call);
  asio::awaitable<SlotResult> AcquireSlot(PendingCallPtr call,
                                          TimePoint deadline);
  asio::awaitable<void> Run(const Request& request, PendingCallPtr call);
  asio::awaitable<bool> Send(Connection& connection, Outcome& outcome);
  asio::awaitable<void> Sleep(Duration time);
  void FreeSlot();
  void WatchPeer(ConnectionPtr connection, PendingCallPtr call);
  void ApplyDrain();
  void CloseListenerAndIdleConnections();
  Duration NextServiceTime();
  bool IsColdStarting() const;
  EndpointLoad Load() const;
  void Observe() { reporter.Observe(Load(), Clock::now()); }
  void Count(std::uint64_t StandinEndpointCounts::*counter);

  StandinEndpoint& self;
  StandinListener listener;
  asio::steady_timer drain_timer;
  asio::steady_timer faults_timer;
  Random random;
  LoadReporter reporter;
  TimePoint started = Clock::now();
  std::int32_t in_flight = 0;
  std::deque<PendingCallPtr> queue;
  std::set<ConnectionPtr> connections;
  // While set, new connections are refused, and existing ones are closed once
  // they are idle.
  bool closing = false;
};

void StandinEndpoint::Backend::Count(
    std::uint64_t StandinEndpointCounts::*counter) {
  const std::lock_guard lock(self.mutex_);
  ++(self.counts_.*counter);
}

bool StandinEndpoint::Backend::IsColdStarting() const {
  return Clock::now() < started + self.options_.cold_start;
}

EndpointLoad StandinEndpoint::Backend::Load() const {
  const DrainMode drain = self.faults().drain;
  EndpointLoad load{in_flight, static_cast<std::int32_t>(queue.size()),
                    self.options_.slots, "serving"};
  if (drain == DrainMode::kReported || drain == DrainMode::kAnnounced) {
    load.mode = "draining";
  } else if (IsColdStarting()) {
    load.mode = "starting";
  }
  return load;
}

Duration StandinEndpoint::Backend::NextServiceTime() {
  ServiceTime time;
  time.usual = self.options_.service_time;
  const Duration drawn =
      DrawServiceTime(self.options_.shape.value_or(time), random);
  const double factor = self.faults().slowdown *
                        (IsColdStarting() ? self.options_.cold_slowdown : 1.0);
  return Duration(
      static_cast<std::int64_t>(static_cast<double>(drawn.count()) * factor));
}

asio::awaitable<void> StandinEndpoint::Backend::Sleep(Duration time) {
  if (time <= Duration::zero()) {
    co_return;
  }
  asio::steady_timer timer(self.loop_->context(), time);
  boost::system::error_code ec;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

asio::awaitable<StandinEndpoint::Backend::SlotResult>
StandinEndpoint::Backend::AcquireSlot(PendingCallPtr call, TimePoint deadline) {
  if (in_flight < self.options_.slots) {
    ++in_flight;
    Observe();
    co_return SlotResult::kGranted;
  }
  queue.push_back(call);
  Observe();
  boost::system::error_code ec;
  call->wake.expires_at(deadline);
  co_await call->wake.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  // FreeSlot passes the slot on to this call, so in_flight does not change.
  if (call->granted) {
    co_return SlotResult::kGranted;
  }
  std::erase(queue, call);
  Observe();
  co_return call->cancelled ? SlotResult::kCancelled : SlotResult::kExpired;
}

void StandinEndpoint::Backend::FreeSlot() {
  if (queue.empty()) {
    --in_flight;
    Observe();
    return;
  }
  queue.front()->granted = true;
  queue.front()->wake.cancel();
  queue.pop_front();
  Observe();
}

asio::awaitable<void> StandinEndpoint::Backend::Run(const Request& request,
                                                    PendingCallPtr call) {
  Count(&StandinEndpointCounts::executions);
  self.log_->Add(std::string(request["Idempotency-Key"]),
                 std::string(request["Damasktack-Call"]));
  if (!call->cancelled) {
    boost::system::error_code ec;
    call->wake.expires_after(NextServiceTime());
    co_await call->wake.async_wait(
        asio::redirect_error(asio::use_awaitable, ec));
  }
  if (call->cancelled) {
    Count(&StandinEndpointCounts::cancelled_running);
  }
  FreeSlot();
}

asio::awaitable<StandinEndpoint::Backend::Outcome>
StandinEndpoint::Backend::Handle(const Request& request, PendingCallPtr call) {
  const EndpointFaults faults = self.faults();
  const TimePoint deadline = DeadlineOf(request);
  Outcome outcome;
  if (request.target() == "/load") {
    Count(&StandinEndpointCounts::probes);
    co_return outcome;
  }
  if (std::bernoulli_distribution(faults.failing_share)(random)) {
    Count(&StandinEndpointCounts::failed);
    outcome.response.result(http::status::internal_server_error);
    co_return outcome;
  }
  if (std::bernoulli_distribution(faults.answer_share)(random)) {
    outcome.fault = faults.answer;
  }
  if (outcome.fault == AnswerFault::kCloseUnrun) {
    co_return outcome;
  }
  if (in_flight >= self.options_.slots &&
      queue.size() >= static_cast<std::size_t>(self.options_.queue)) {
    Count(&StandinEndpointCounts::shed);
    outcome.response.result(http::status::service_unavailable);
    outcome.response.set("Endpoint-Shed", "1");
    co_return outcome;
  }
  const SlotResult slot_result = co_await AcquireSlot(call, deadline);
  if (slot_result == SlotResult::kGranted) {
    co_await Run(request, call);
    outcome.response.body() = "served " + std::string(request.target()) + "\n";
    co_return outcome;
  }
  Count(slot_result == SlotResult::kCancelled
            ? &StandinEndpointCounts::cancelled_queued
            : &StandinEndpointCounts::expired_queued);
  outcome.response.result(http::status::gateway_timeout);
  outcome.response.set("Endpoint-Shed", "1");
  co_return outcome;
}

asio::awaitable<bool> StandinEndpoint::Backend::Send(Connection& connection,
                                                     Outcome& outcome) {
  boost::system::error_code ec;
  switch (outcome.fault) {
    case AnswerFault::kClose:
    case AnswerFault::kCloseUnrun:
      co_return false;
    case AnswerFault::kNever: {
      // Waits until the peer closes the connection or sends more data.
      co_await connection.socket.async_wait(
          Tcp::socket::wait_read,
          asio::redirect_error(asio::use_awaitable, ec));
      co_return false;
    }
    case AnswerFault::kHalf: {
      std::ostringstream text;
      text << outcome.response.base() << outcome.response.body();
      std::string bytes = text.str();
      bytes.resize(bytes.size() - (outcome.response.body().size() / 2));
      co_await asio::async_write(connection.socket, asio::buffer(bytes),
                                 asio::redirect_error(asio::use_awaitable, ec));
      co_return false;
    }
    case AnswerFault::kNone:
    case AnswerFault::kStray:
      break;
  }
  co_await http::async_write(connection.socket, outcome.response,
                             asio::redirect_error(asio::use_awaitable, ec));
  if (!ec && outcome.fault == AnswerFault::kStray) {
    co_await Sleep(kStrayResponseDelay);
    outcome.response.body() = "stray\n";
    outcome.response.prepare_payload();
    co_await http::async_write(connection.socket, outcome.response,
                               asio::redirect_error(asio::use_awaitable, ec));
  }
  co_return !ec && outcome.response.keep_alive();
}

void StandinEndpoint::Backend::WatchPeer(ConnectionPtr connection,
                                         PendingCallPtr call) {
  Tcp::socket& socket = connection->socket;
  socket.async_wait(Tcp::socket::wait_read,
                    [connection = std::move(connection),
                     call = std::move(call)](boost::system::error_code ec) {
                      if (!ec && IsClosedByPeer(connection->socket)) {
                        call->cancelled = true;
                        call->wake.cancel();
                      }
                    });
}

asio::awaitable<void> StandinEndpoint::Backend::Serve(
    ConnectionPtr connection) {
  Count(&StandinEndpointCounts::connections);
  connections.insert(connection);
  beast::flat_buffer buf;
  boost::system::error_code ec;
  while (true) {
    Request request;
    co_await http::async_read(connection->socket, buf, request,
                              asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
      break;
    }
    connection->busy = true;
    const TimePoint arrived = Clock::now();
    const Duration delay = self.faults().one_way_delay;
    co_await Sleep(delay);
    auto call = std::make_shared<PendingCall>(self.loop_->context());
    WatchPeer(connection, call);
    Outcome outcome = co_await Handle(request, call);
    connection->socket.cancel(ec);
    Response& response = outcome.response;
    const auto report = reporter.Report(Load(), self.faults(), Clock::now());
    if (report) {
      response.set("Endpoint-Load", *report);
    }
    if (request.count("Damasktack-Call") > 0) {
      response.set("Damasktack-Call", request["Damasktack-Call"]);
    }
    const auto elapsed = std::chrono::duration_cast<std::chrono::microseconds>(
        Clock::now() - arrived + delay);
    response.set("Endpoint-Time-Us", std::to_string(elapsed.count()));
    response.keep_alive(request.keep_alive() && !closing);
    response.prepare_payload();
    co_await Sleep(delay);
    const bool keep_open = co_await Send(*connection, outcome);
    connection->busy = false;
    if (!keep_open || closing) {
      break;
    }
  }
  connection->socket.shutdown(Tcp::socket::shutdown_both, ec);
  connections.erase(connection);
}

void StandinEndpoint::Backend::CloseListenerAndIdleConnections() {
  closing = true;
  listener.Close();
  for (const ConnectionPtr& it : connections) {
    if (!it->busy) {
      boost::system::error_code ec;
      it->socket.close(ec);
    }
  }
}

void StandinEndpoint::Backend::ApplyDrain() {
  const EndpointFaults faults = self.faults();
  drain_timer.cancel();
  switch (faults.drain) {
    case DrainMode::kNone:
    case DrainMode::kReported:
      if (std::exchange(closing, false)) {
        started = Clock::now();
        listener.Reopen();
      }
      return;
    case DrainMode::kSilent:
      CloseListenerAndIdleConnections();
      return;
    case DrainMode::kAnnounced:
      drain_timer.expires_after(faults.drain_grace);
      drain_timer.async_wait([this](boost::system::error_code ec) {
        if (!ec) {
          CloseListenerAndIdleConnections();
        }
      });
      return;
  }
}

StandinEndpoint::StandinEndpoint(StandinEndpointOptions options)
    : StandinEndpoint(std::move(options),
                      std::make_shared<StandinLoop>(),
                      std::make_shared<ExecutionLog>()) {}

StandinEndpoint::StandinEndpoint(StandinEndpointOptions options,
                                 std::shared_ptr<StandinLoop> loop,
                                 std::shared_ptr<ExecutionLog> log)
    : options_(std::move(options)),
      loop_(std::move(loop)),
      log_(std::move(log)),
      backend_(std::make_unique<Backend>(*this)) {}

StandinEndpoint::~StandinEndpoint() {
  Stop();
}

std::uint16_t StandinEndpoint::Start(std::uint16_t port) {
  backend_->started = Clock::now();
  return backend_->listener.Open(port);
}

void StandinEndpoint::Stop() {
  loop_->Stop();
}

void StandinEndpoint::ChangeFaults(
    const std::function<void(EndpointFaults&)>& change) {
  {
    const std::lock_guard lock(mutex_);
    change(faults_);
  }
  asio::post(loop_->context(), [this] { backend_->ApplyDrain(); });
}

void StandinEndpoint::SetFaults(const EndpointFaults& faults) {
  ChangeFaults([&](EndpointFaults& it) { it = faults; });
}

void StandinEndpoint::SetFaultsFor(const EndpointFaults& faults,
                                   Duration time) {
  SetFaults(faults);
  asio::post(loop_->context(), [this, time] {
    backend_->faults_timer.expires_after(time);
    backend_->faults_timer.async_wait([this](boost::system::error_code ec) {
      if (!ec) {
        SetFaults({});
      }
    });
  });
}

EndpointFaults StandinEndpoint::faults() const {
  const std::lock_guard lock(mutex_);
  return faults_;
}

void StandinEndpoint::SetSlowdown(double factor) {
  ChangeFaults([&](EndpointFaults& it) { it.slowdown = factor; });
}

void StandinEndpoint::SetFailing(bool failing) {
  ChangeFaults([&](EndpointFaults& it) { it.failing_share = failing ? 1 : 0; });
}

void StandinEndpoint::SetDraining(bool draining) {
  ChangeFaults([&](EndpointFaults& it) {
    it.drain = draining ? DrainMode::kReported : DrainMode::kNone;
  });
}

std::uint64_t StandinEndpoint::ExecutionsOf(const std::string& key) const {
  return log_->OfKey(key);
}

StandinEndpointCounts StandinEndpoint::counts() const {
  const std::lock_guard lock(mutex_);
  return counts_;
}

}  // namespace damasktack
