#include "proxy/caller_server.h"

#include <algorithm>
#include <utility>

#include "proxy/caller_session.h"
#include "proxy/endpoint_report_codec.h"

namespace damasktack {

namespace {

// When file descriptors run out, every accept fails immediately; without a
// delay the accept loop would use a whole core while callers wait.
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(10);
// Further connections over the limit are closed without an answer.
constexpr std::int64_t kMaxConcurrentRefusals = 64;
constexpr Duration kExpireInterval = std::chrono::seconds(1);
constexpr Duration kTrimInterval = std::chrono::seconds(1);
// Tick interval while no call is waiting.
constexpr Duration kQuietTick = std::chrono::milliseconds(10);
// Tick interval while no call is waiting and no service probes its endpoints
// when idle.
constexpr Duration kIdleTick = std::chrono::milliseconds(500);

leaf::result<std::unique_ptr<Tcp::acceptor>> Listen(
    asio::io_context& context,
    const SocketAddress& address,
    const std::string& setting) {
  auto acceptor = std::make_unique<Tcp::acceptor>(context);
  boost::system::error_code ec;
  const Tcp::endpoint local(asio::ip::make_address(address.ip, ec),
                            address.port);
  acceptor->open(local.protocol(), ec);
  acceptor->set_option(Tcp::acceptor::reuse_address(true), ec);
  acceptor->bind(local, ec);
  if (!ec) {
    acceptor->listen(asio::socket_base::max_listen_connections, ec);
  }
  if (ec) {
    return Fail(ErrorKind::kInvalidAddress, setting,
                ToString(address) + ": " + ec.message(),
                "choose an address of this host with a free port");
  }
  return acceptor;
}

}  // namespace

CallerServer::CallerServer(ProxyState& state) : state_(state) {}

CallerServer::~CallerServer() {
  Stop();
}

leaf::result<void> CallerServer::Start() {
  const ProxyOptions& options = state_.options();
  for (std::int64_t n = 0; n < options.threads; ++n) {
    loops_.push_back(
        std::make_unique<ProxyLoop>(options.endpoint_idle, state_.memory()));
  }
  asio::io_context& first = loops_.front()->context();
  BOOST_LEAF_ASSIGN(acceptor_, Listen(first, options.listen, "proxy.listen"));
  port_ = acceptor_->local_endpoint().port();
  if (options.relay.enabled()) {
    BOOST_LEAF_ASSIGN(relay_acceptor_, Listen(first, options.relay.listen,
                                              "proxy.relay_listen"));
    relay_port_ = relay_acceptor_->local_endpoint().port();
    asio::co_spawn(first, Accept(*relay_acceptor_, CallOrigin::kPeer),
                   asio::detached);
  }
  tick_timer_ = std::make_unique<asio::steady_timer>(first);
  state_.SetOnWaiting([this] { OnWaiting(); });
  asio::co_spawn(first, Accept(*acceptor_, CallOrigin::kCaller),
                 asio::detached);
  asio::co_spawn(first, TickLoop(), asio::detached);
  asio::co_spawn(first, TrimHeapLoop(), asio::detached);
  for (const auto& it : loops_) {
    asio::co_spawn(it->context(), ExpireLoop(*it), asio::detached);
    it->Start();
  }
  return {};
}

asio::awaitable<void> CallerServer::Accept(Tcp::acceptor& acceptor,
                                           CallOrigin origin) {
  while (acceptor.is_open()) {
    ProxyLoop& loop = *loops_[next_loop_++ % loops_.size()];
    boost::system::error_code ec;
    Tcp::socket socket = co_await acceptor.async_accept(
        loop.context(), asio::redirect_error(asio::use_awaitable, ec));
    if (!ec) {
      Admit(std::move(socket), loop, origin);
      continue;
    }
    if (!acceptor.is_open()) {
      co_return;
    }
    asio::steady_timer pause(loops_.front()->context(), kAcceptRetryDelay);
    co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  }
}

void CallerServer::Admit(Tcp::socket socket,
                         ProxyLoop& loop,
                         CallOrigin origin) {
  boost::system::error_code ec;
  socket.set_option(Tcp::no_delay(true), ec);
  std::atomic<std::int64_t>& open = state_.counters().connections();
  const bool is_full = open >= state_.options().connections;
  if (is_full) {
    // So that the caller finds room when it comes back.
    loop.poster()->Post(
        [&loop] { CallerSession::CloseSilent(loop, Clock::now()); });
  }
  if (is_full && *refusals_ >= kMaxConcurrentRefusals) {
    return;
  }
  auto session =
      std::make_shared<CallerSession>(std::move(socket), state_, loop, origin);
  if (is_full) {
    ++*refusals_;
    asio::co_spawn(
        loop.context(), session->RunRefusal(),
        [session, count = refusals_](const std::exception_ptr&) { --*count; });
    return;
  }
  ++open;
  asio::co_spawn(loop.context(), session->Run(),
                 [session, &open](const std::exception_ptr&) { --open; });
}

asio::awaitable<void> CallerServer::ExpireLoop(ProxyLoop& loop) {
  asio::steady_timer timer(loop.context());
  while (true) {
    boost::system::error_code ec;
    timer.expires_after(kExpireInterval);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    loop.pool().Expire(Clock::now());
  }
}

// Many small messages leave free memory between other blocks, which the
// allocator keeps.
asio::awaitable<void> CallerServer::TrimHeapLoop() {
  asio::steady_timer timer(loops_.front()->context());
  MemoryBudget& memory = state_.memory();
  while (true) {
    boost::system::error_code ec;
    timer.expires_after(kTrimInterval);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    const std::size_t peak = memory.TakeRecentPeak();
    if (heap_trims_.ShouldTrim(memory.used(), peak)) {
      ReturnFreeMemory();
    }
  }
}

asio::awaitable<void> CallerServer::TickLoop() {
  while (true) {
    boost::system::error_code ec;
    // With the short interval, an idle host would spend most of its control
    // overhead on waking up for empty queues.
    tick_timer_->expires_after(is_quiet_ ? QuietTickInterval()
                                         : state_.options().tick);
    co_await tick_timer_->async_wait(
        asio::redirect_error(asio::use_awaitable, ec));
    is_quiet_ = !TickServices(Clock::now());
  }
}

Duration CallerServer::QuietTickInterval() const {
  const auto dispatchers = state_.dispatchers();
  const bool probes = std::ranges::any_of(dispatchers, [](const auto& it) {
    return it.second->probes_while_idle();
  });
  const bool all_reachable = std::ranges::all_of(
      dispatchers, [](const auto& it) { return it.second->IsReachable(); });
  const Duration idle =
      all_reachable ? kIdleTick : EndpointReach::kProbeInterval;
  return std::max(state_.options().tick, probes ? kQuietTick : idle);
}

void CallerServer::OnWaiting() {
  loops_.front()->poster()->Post([this] {
    for (const auto& [id, dispatcher] : state_.dispatchers()) {
      if (!dispatcher->probes_while_idle()) {
        StartProbes(dispatcher, Clock::now());
      }
    }
    if (std::exchange(is_quiet_, false)) {
      tick_timer_->cancel();
    }
  });
}

bool CallerServer::TickServices(TimePoint now) {
  bool waiting = false;
  for (const auto& [id, dispatcher] : state_.dispatchers()) {
    waiting = dispatcher->Tick(now) || waiting;
    StartProbes(dispatcher, now);
  }
  return waiting;
}

void CallerServer::StartProbes(
    const std::shared_ptr<ServiceDispatcher>& dispatcher,
    TimePoint now) {
  while (const std::optional<ProbeRequest> probe = dispatcher->NextProbe(now)) {
    asio::co_spawn(loops_.front()->context(), Probe(dispatcher, *probe),
                   asio::detached);
  }
}

asio::awaitable<void> CallerServer::Probe(
    std::shared_ptr<ServiceDispatcher> dispatcher,
    ProbeRequest probe) {
  ProxyLoop& loop = *loops_.front();
  HttpRequest request(http::verb::get, ToBeast(probe.target.health_path), 11);
  request.set(http::field::host, ToString(probe.target.address));
  const auto exchange = std::make_shared<EndpointExchange>(
      loop.context().get_executor(), loop.pool(), probe.target,
      state_.options().exchange, state_.options().names);
  exchange->MarkAsProbe();
  if (probe.needs_new_connection) {
    exchange->RequireNewConnection();
  }
  const TimePoint began_at = Clock::now();
  const TimePoint deadline =
      began_at + state_.options().exchange.connect_timeout;
  const ExchangeResult result = co_await exchange->Run(request, deadline, "");
  dispatcher->CountProbe(result.bytes);
  state_.RecordStrayAnswers({}, probe.target.id, result);
  if (result.signals) {
    dispatcher->OnProbeSignals(probe, *result.signals, Clock::now());
  }
  if (result.report) {
    dispatcher->Report(probe, *result.report, Clock::now());
  } else {
    dispatcher->ProbeFailed(probe, result.result, began_at, Clock::now());
  }
}

void CallerServer::ForEachSession(void (CallerSession::*notify)()) {
  for (const auto& it : loops_) {
    it->poster()->Post([&loop = *it, notify] {
      for (CallerSession* session : loop.sessions()) {
        (session->*notify)();
      }
    });
  }
}

void CallerServer::AnnounceStop(TimePoint end) {
  state_.SetStopEnd(end, Clock::now());
  ForEachSession(&CallerSession::OnStopAnnounced);
}

void CallerServer::BeginStopping() {
  state_.SetStopping();
  ForEachSession(&CallerSession::OnStopping);
}

void CallerServer::StopAccepting() {
  loops_.front()->poster()->Post([this] {
    boost::system::error_code ec;
    acceptor_->close(ec);
    if (relay_acceptor_) {
      relay_acceptor_->close(ec);
    }
  });
}

std::int64_t CallerServer::Stop() {
  std::int64_t aborted = 0;
  for (const auto& it : loops_) {
    it->Stop();
    for (const CallerSession* session : it->sessions()) {
      aborted += session->LogCutCalls(Clock::now());
    }
  }
  // The acceptors belong to the first loop. Destroying the loops destroys the
  // aborted calls, which settle their claims while the gate still exists.
  acceptor_.reset();
  relay_acceptor_.reset();
  tick_timer_.reset();
  loops_.clear();
  return aborted;
}

}  // namespace damasktack
