#include <doctest/doctest.h>

#include <array>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cstdlib>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "tests/support/daemon_fleets.h"
#include "tests/support/slotted_endpoints.h"

namespace damasktack {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kCall(140);
constexpr milliseconds kObjective(400);
constexpr auto kRoutes = R"({"version":3,"routes":{"columns":["name","host",
"prefix","kind","timeout_ms","target_latency_ms","priority","max_attempts",
"service"],"rows":[["u","a.example","/u/","safe",1200,400,0,2,"s"],
["b","a.example","/b/","safe",1200,400,2,2,"s"]]},
"services":{"columns":["name"],"rows":[["s"]]}})";
constexpr auto kRequests = R"([{"service": "dispatch", "path_prefix": "/u",
"idempotent": true, "urgency": "urgent", "deadline": "400ms"},
{"service": "dispatch", "path_prefix": "/b", "idempotent": true,
"urgency": "bulk", "deadline": "400ms"}])";

struct Figures {
  // Urgent, then bulk.
  std::array<int, 2> offered{};
  std::array<int, 2> on_time{};

  double Served(std::size_t n) const {
    return static_cast<double>(on_time[n]) / std::max(offered[n], 1);
  }
};

// Sends calls to random hosts as a Poisson process, each on a connection of its
// own; a quarter of them is urgent. Callers do not retry.
class OpenCallers {
 public:
  OpenCallers(std::vector<std::uint16_t> hosts, std::string prefix)
      : hosts_(std::move(hosts)), prefix_(std::move(prefix)) {}

  // Counts the calls that begin after `warm_up`.
  Figures Run(double per_second, Duration warm_up, Duration time) {
    counted_from_ = Clock::now() + warm_up;
    asio::co_spawn(context_, Begin(per_second, counted_from_ + time),
                   asio::detached);
    context_.run();
    context_.restart();
    return std::exchange(figures_, {});
  }

 private:
  using Tcp = asio::ip::tcp;

  asio::awaitable<void> Begin(double per_second, TimePoint end) {
    asio::steady_timer timer(context_);
    std::exponential_distribution<double> gap(per_second);
    TimePoint next = Clock::now();
    while (next < end) {
      next += std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(gap(random_)));
      timer.expires_at(next);
      boost::system::error_code ec;
      co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
      const std::size_t urgency = random_() % 4 == 0 ? 0 : 1;
      asio::co_spawn(context_,
                     Call(hosts_[random_() % hosts_.size()], urgency, ++calls_),
                     asio::detached);
    }
  }

  asio::awaitable<void> Call(std::uint16_t host, std::size_t urgency, int id) {
    const TimePoint began_at = Clock::now();
    const bool is_counted = began_at >= counted_from_;
    figures_.offered[urgency] += is_counted ? 1 : 0;
    boost::system::error_code ec;
    Tcp::socket socket(context_);
    const Tcp::endpoint peer(asio::ip::address_v4::loopback(), host);
    co_await socket.async_connect(
        peer, asio::redirect_error(asio::use_awaitable, ec));
    http::request<http::empty_body> request(
        http::verb::get, prefix_ + (urgency == 0 ? "/u/c" : "/b/c"), 11);
    request.set(http::field::host, "a.example");
    request.set("Damasktack-Key", "key");
    request.set(StoreFleet::kCall, "c-" + std::to_string(id));
    co_await http::async_write(socket, request,
                               asio::redirect_error(asio::use_awaitable, ec));
    boost::beast::flat_buffer buf;
    http::response<http::string_body> answer;
    co_await http::async_read(socket, buf, answer,
                              asio::redirect_error(asio::use_awaitable, ec));
    const bool is_on_time = !ec && answer.result() == http::status::ok &&
                            Clock::now() - began_at <= kObjective;
    figures_.on_time[urgency] += is_counted && is_on_time ? 1 : 0;
  }

  const std::vector<std::uint16_t> hosts_;
  const std::string prefix_;
  asio::io_context context_;
  std::mt19937_64 random_{5};
  TimePoint counted_from_;
  Figures figures_;
  int calls_ = 0;
};

AdjustSettings Enable(bool is_enabled, bool measures) {
  return [=](Settings& settings) {
    settings.proxy.urgency_admission = is_enabled;
    settings.proxy.measures_before_sending = measures;
    settings.proxy.threads = 1;
  };
}

double ReadMetric(const std::string& page, const std::string& name) {
  double sum = 0;
  for (std::size_t at = page.find("\n" + name); at != std::string::npos;
       at = page.find("\n" + name, at + 1)) {
    const std::size_t end = page.find('\n', at + 1);
    sum += std::strtod(page.c_str() + page.rfind(' ', end), nullptr);
  }
  return sum;
}

// Guards against a part that is not wired: hosts that neither limit less urgent
// calls nor hear each other during a shortage.
template <typename Fleet>
void CheckWired(const Fleet& fleet, const std::string& prefix) {
  OpenCallers callers(fleet.ports(), prefix);
  const auto is_wired = [&] {
    callers.Run(300, Duration::zero(), milliseconds(500));
    const std::string page = fleet.daemon(1).Metrics();
    return ReadMetric(page, "damasktack_urgency_refused_total") > 0 &&
           ReadMetric(page, "damasktack_overload_statements_received_total") >
               0;
  };
  bool done = false;
  for (int n = 0; n < 40 && !done; ++n) {
    done = is_wired();
  }
  CHECK(done);
}

TEST_CASE("hosts of a star limit less urgent calls together") {
  const SlottedEndpoints endpoints(2, kCall);
  const StoreFleet fleet(3, endpoints.ports(), kRoutes, Enable(true, true));
  CheckWired(fleet, "");
}

TEST_CASE("hosts of a full mesh limit less urgent calls together") {
  const SlottedEndpoints endpoints(2, kCall);
  const DocumentFleet fleet(3, endpoints.ports(), kRequests,
                            Enable(true, true));
  CheckWired(fleet, "/dispatch");
}

// By hand, because the figures depend on the machine; see
// docs/design/urgency-admission.md.
TEST_CASE("urgent calls are served above the capacity" * doctest::skip()) {
  constexpr std::size_t kEndpoints = 6;
  const double capacity = kEndpoints * SlottedEndpoints::kSlots /
                          std::chrono::duration<double>(kCall).count();
  for (const bool measures : {true, false}) {
    for (const std::size_t hosts : {5, 24}) {
      for (const bool is_enabled : {false, true}) {
        for (const double load : {0.7, 1.5}) {
          const SlottedEndpoints endpoints(kEndpoints, kCall);
          const StoreFleet fleet(hosts, endpoints.ports(), kRoutes,
                                 Enable(is_enabled, measures));
          const Figures it = OpenCallers(fleet.ports(), "")
                                 .Run(load * capacity, seconds(4), seconds(12));
          MESSAGE(std::string(measures ? "measured" : "service")
                  << " hosts " << hosts << " enabled " << is_enabled << " load "
                  << load << ": urgent " << it.Served(0) << ", bulk "
                  << it.Served(1) << ", on time in 12 s "
                  << it.on_time[0] + it.on_time[1]);
        }
      }
    }
  }
}

}  // namespace
}  // namespace damasktack
