// Measures the costs that damasktack adds to a call on loopback. Each process
// of a run is this program in another role; misc/scripts/measure_proxy.sh
// starts them.
//
//   proxy_bench endpoint            answers every request immediately
//   proxy_bench httplib THREADS     the same with the cpp-httplib server
//   proxy_bench proxy PORT THREADS  damasktack's proxy in front of the
//                                   endpoint on PORT
//   proxy_bench load PORT RATE SECONDS CONNECTIONS
//                                   prints calls/s and quantiles in us
//   proxy_bench hold PORT CONNECTIONS
//                                   opens connections, sends one call on
//                                   each, and holds them until killed
//
// Servers print "port N" and run until they are killed.
#include <httplib.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <deque>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "fleet/claim_gate.h"
#include "fleet/limit_gate.h"
#include "proxy/caller_server.h"

namespace damasktack {
namespace {

using std::chrono::microseconds;
using std::chrono::seconds;

constexpr std::string_view kAnswer =
    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 3\r\n"
    "Endpoint-Load: in_flight=0, queued=0, slots=64, mode=serving\r\n\r\nok\n";
constexpr std::string_view kRequest =
    "GET /bench/status HTTP/1.1\r\nHost: h\r\nDamasktack-Key: key\r\n\r\n";
constexpr std::size_t kLoadThreads = 2;

void AnnounceAndWait(std::uint16_t port) {
  std::cout << "port " << port << std::endl;
  while (true) {
    std::this_thread::sleep_for(seconds(3600));
  }
}

asio::awaitable<void> Answer(Tcp::socket socket) {
  boost::system::error_code ec;
  socket.set_option(Tcp::no_delay(true), ec);
  beast::flat_buffer buf;
  while (!ec) {
    http::request<http::string_body> request;
    co_await http::async_read(socket, buf, request,
                              asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
      co_return;
    }
    co_await asio::async_write(socket, asio::buffer(kAnswer),
                               asio::redirect_error(asio::use_awaitable, ec));
  }
}

asio::awaitable<void> AcceptAll(Tcp::acceptor& acceptor) {
  while (true) {
    boost::system::error_code ec;
    Tcp::socket socket = co_await acceptor.async_accept(
        asio::redirect_error(asio::use_awaitable, ec));
    if (!ec) {
      asio::co_spawn(acceptor.get_executor(), Answer(std::move(socket)),
                     asio::detached);
    }
  }
}

void RunEndpoint() {
  asio::io_context context(1);
  Tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
  acceptor.listen(asio::socket_base::max_listen_connections);
  asio::co_spawn(context, AcceptAll(acceptor), asio::detached);
  std::thread thread([&] { context.run(); });
  AnnounceAndWait(acceptor.local_endpoint().port());
}

void RunHttplib(std::size_t threads) {
  httplib::Server server;
  server.new_task_queue = [=] { return new httplib::ThreadPool(threads); };
  server.set_tcp_nodelay(true);
  server.set_keep_alive_max_count(1'000'000'000);
  server.set_keep_alive_timeout(600);
  server.Get("/bench/status",
             [](const httplib::Request&, httplib::Response& res) {
               res.set_content("ok\n", "text/plain");
             });
  const int port = server.bind_to_any_port("127.0.0.1");
  std::thread thread([&] { server.listen_after_bind(); });
  AnnounceAndWait(static_cast<std::uint16_t>(port));
}

RoutingTablePtr RoutesTo(std::uint16_t endpoint_port) {
  Contract contract;
  contract.customer = CustomerId("bench");
  contract.key_sha256 = {Sha256Hex("key")};
  RequestRule rule;
  rule.service = ServiceId("bench");
  rule.idempotent = true;
  contract.requests = {rule};
  ServiceSpec service;
  service.id = ServiceId("bench");
  service.prefix = "/bench";
  for (int n = 0; n < 4; ++n) {
    EndpointSpec endpoint;
    endpoint.id = EndpointId("e" + std::to_string(n));
    endpoint.address = SocketAddress{"127.0.0.1", endpoint_port};
    endpoint.slots = 64;
    service.endpoints.push_back(endpoint);
  }
  return std::make_shared<RoutingTable>(ContractList{1, {contract}},
                                        ServiceList{1, {service}});
}

void RunProxy(std::uint16_t endpoint_port, std::int64_t threads) {
  OpenLimitGate limits;
  OpenClaimGate claims;
  ProxyOptions options;
  options.listen = SocketAddress{"127.0.0.1", 0};
  options.threads = threads;
  options.idle_per_endpoint = 64;
  options.idle_timeout = seconds(600);
  ProxyState state(options, limits, claims);
  state.SetRouting(RoutesTo(endpoint_port), 1, Clock::now());
  CallerServer server(state);
  Try([&] { return server.Start(); },
      [](const Error& error) {
        std::cerr << error << std::endl;
        std::exit(1);
      });
  AnnounceAndWait(server.port());
}

// Sends one call, which also ensures that the server accepted the connection.
void CallOnce(Tcp::socket& socket) {
  asio::write(socket, asio::buffer(kRequest));
  beast::flat_buffer buf;
  http::response<http::string_body> answer;
  http::read(socket, buf, answer);
}

// Open-loop load generator of one thread. Calls are due at fixed times,
// independent of earlier calls, and latency is measured from the due time, so
// that waiting for a slow server counts (no coordinated omission).
class OpenLoopLoad {
 public:
  OpenLoopLoad(std::uint16_t port,
               double rate,
               seconds time,
               std::size_t connection_count)
      : interval_(static_cast<std::int64_t>(1e9 / rate)), due_timer_(context_) {
    for (std::size_t n = 0; n < connection_count; ++n) {
      connections_.push_back(std::make_unique<Tcp::socket>(context_));
      connections_.back()->connect({asio::ip::address_v4::loopback(), port});
      connections_.back()->set_option(Tcp::no_delay(true));
      idle_.push_back(connections_.back().get());
      CallOnce(*connections_.back());
    }
    start_ = Clock::now();
    end_ = start_ + time;
  }

  void Run() {
    asio::co_spawn(context_, Schedule(), asio::detached);
    context_.run();
  }

  std::vector<Duration> times;
  std::size_t errors = 0;

 private:
  asio::awaitable<void> Schedule() {
    for (TimePoint next = start_; next < end_; next += interval_) {
      if (next > Clock::now()) {
        boost::system::error_code ec;
        due_timer_.expires_at(next);
        co_await due_timer_.async_wait(
            asio::redirect_error(asio::use_awaitable, ec));
      }
      waiting_.push_back(next);
      SendNext();
    }
  }

  void SendNext() {
    if (waiting_.empty() || idle_.empty()) {
      return;
    }
    Tcp::socket* socket = idle_.back();
    idle_.pop_back();
    const TimePoint due = waiting_.front();
    waiting_.pop_front();
    asio::co_spawn(context_, Call(*socket, due), asio::detached);
  }

  asio::awaitable<void> Call(Tcp::socket& socket, TimePoint due) {
    boost::system::error_code ec;
    co_await asio::async_write(socket, asio::buffer(kRequest),
                               asio::redirect_error(asio::use_awaitable, ec));
    beast::flat_buffer buf;
    http::response<http::string_body> answer;
    if (!ec) {
      co_await http::async_read(socket, buf, answer,
                                asio::redirect_error(asio::use_awaitable, ec));
    }
    times.push_back(Clock::now() - due);
    if (ec || answer.result() != http::status::ok) {
      ++errors;
    }
    if (!ec) {
      idle_.push_back(&socket);
    }
    SendNext();
  }

  const Duration interval_;
  TimePoint start_;
  TimePoint end_;
  asio::io_context context_{1};
  asio::steady_timer due_timer_;
  std::vector<std::unique_ptr<Tcp::socket>> connections_;
  std::vector<Tcp::socket*> idle_;
  std::deque<TimePoint> waiting_;
};

std::int64_t Quantile(const std::vector<Duration>& sorted, double quantile) {
  if (sorted.empty()) {
    return 0;
  }
  const auto at = static_cast<std::size_t>(
      quantile * static_cast<double>(sorted.size() - 1));
  return std::chrono::duration_cast<microseconds>(sorted[at]).count();
}

void RunLoad(std::uint16_t port,
             double rate,
             seconds time,
             std::size_t connection_count) {
  std::vector<std::unique_ptr<OpenLoopLoad>> loads;
  for (std::size_t n = 0; n < kLoadThreads; ++n) {
    loads.push_back(std::make_unique<OpenLoopLoad>(
        port, rate / kLoadThreads, time, connection_count / kLoadThreads));
  }
  const TimePoint start = Clock::now();
  std::vector<std::thread> threads;
  for (auto& it : loads) {
    threads.emplace_back([&load = *it] { load.Run(); });
  }
  std::vector<Duration> times;
  std::size_t errors = 0;
  for (std::size_t n = 0; n < kLoadThreads; ++n) {
    threads[n].join();
    times.insert(times.end(), loads[n]->times.begin(), loads[n]->times.end());
    errors += loads[n]->errors;
  }
  const double took =
      std::chrono::duration<double>(Clock::now() - start).count();
  std::ranges::sort(times);
  std::cout << static_cast<std::int64_t>(static_cast<double>(times.size()) /
                                         took)
            << " " << Quantile(times, 0.5) << " " << Quantile(times, 0.99)
            << " " << Quantile(times, 0.999) << " " << errors << std::endl;
}

void HoldConnections(std::uint16_t port, int count) {
  asio::io_context context(1);
  std::vector<Tcp::socket> sockets;
  for (int n = 0; n < count; ++n) {
    sockets.emplace_back(context);
    sockets.back().connect({asio::ip::address_v4::loopback(), port});
    CallOnce(sockets.back());
  }
  AnnounceAndWait(port);
}

int Main(const std::vector<std::string>& args) {
  const auto number = [&](std::size_t at) {
    return at < args.size() ? std::atol(args[at].c_str()) : 0;
  };
  const std::string role = args.empty() ? "" : args[0];
  const auto port = static_cast<std::uint16_t>(number(1));
  if (role == "endpoint") {
    RunEndpoint();
  } else if (role == "httplib") {
    RunHttplib(static_cast<std::size_t>(number(1)));
  } else if (role == "proxy") {
    RunProxy(port, number(2));
  } else if (role == "load") {
    RunLoad(port, static_cast<double>(number(2)), seconds(number(3)),
            static_cast<std::size_t>(number(4)));
  } else if (role == "hold") {
    HoldConnections(port, static_cast<int>(number(2)));
  } else {
    std::cerr << "roles: endpoint, httplib, proxy, load, hold\n";
    return 1;
  }
  return 0;
}

}  // namespace
}  // namespace damasktack

int main(int argc, char** argv) {
  return damasktack::Main({argv + 1, argv + argc});
}
