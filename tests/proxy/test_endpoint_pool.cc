#include "proxy/endpoint_pool.h"

#include <doctest/doctest.h>

#include <optional>
#include <utility>

#include "policy/service_balancer.h"
#include "proxy/service_dispatcher.h"
#include "raw_peer.h"

namespace damasktack {
namespace {

using std::chrono::seconds;

class PoolFixture {
 public:
  PoolFixture() : endpoint_([](RawConnection& it) { it.WaitForHangUp(); }) {}

  EndpointTarget Target(std::size_t connections) const {
    return {SocketAddress{"127.0.0.1", endpoint_.port()}, connections};
  }
  EndpointConnection Open() {
    Tcp::socket socket(context_);
    socket.connect({asio::ip::address_v4::loopback(), endpoint_.port()});
    return EndpointConnection(std::move(socket));
  }

 private:
  RawEndpoint endpoint_;
  asio::io_context context_;
};

TEST_CASE("idle and used connections together stay within the pool's share") {
  PoolFixture fixture;
  const EndpointTarget target = fixture.Target(2);
  EndpointPool pool(seconds(4));
  const TimePoint now = Clock::now();
  for (int n = 0; n < 3; ++n) {
    CHECK(!pool.Take(target, now));
  }
  pool.Put(target, fixture.Open(), now);
  CHECK(pool.idle(target.address) == 0);
  pool.Put(target, fixture.Open(), now);
  CHECK(pool.idle(target.address) == 1);
  pool.Put(target, fixture.Open(), now);
  CHECK(pool.idle(target.address) == 2);
  CHECK(pool.Take(target, now));
  CHECK(pool.idle(target.address) == 1);
}

// The endpoint closes connections that have been idle for five seconds. The
// pool must drop them earlier, because a call sent during the close has an
// unknown outcome.
TEST_CASE("a connection that has been idle for too long is not used") {
  PoolFixture fixture;
  const EndpointTarget target = fixture.Target(2);
  EndpointPool pool(seconds(4));
  const TimePoint now = Clock::now();
  pool.Take(target, now);
  pool.Put(target, fixture.Open(), now);
  CHECK(!pool.Take(target, now + seconds(4)));
  pool.Put(target, fixture.Open(), now + seconds(4));
  pool.Expire(now + seconds(7));
  CHECK(pool.idle(target.address) == 1);
  pool.Expire(now + seconds(8));
  CHECK(pool.idle(target.address) == 0);
}

// An endpoint loses power and restarts at the same address. The connection to
// the old process has no input, so it looks idle; a call sent on it would wait
// until its deadline with an unknown outcome.
TEST_CASE("connections to a process are not used for its successor") {
  PoolFixture fixture;
  EndpointTarget target = fixture.Target(4);
  target.id = EndpointId("e1");
  EndpointPool pool(seconds(4));
  const TimePoint now = Clock::now();
  pool.Take(target, now);
  pool.Take(target, now);
  pool.Put(target, fixture.Open(), now);
  CHECK(pool.idle(target.address) == 1);
  EndpointTarget restarted = target;
  restarted.started_at += std::chrono::milliseconds(1);
  CHECK(!pool.Take(restarted, now));
  CHECK(pool.idle(target.address) == 0);
  // A call that was sent before the restart and ends now.
  pool.Put(target, fixture.Open(), now);
  CHECK(pool.idle(target.address) == 0);
  pool.Put(restarted, fixture.Open(), now);
  CHECK(pool.Take(restarted, now));
}

TEST_CASE("an endpoint's connections are divided among hosts and threads") {
  ServiceSpec service;
  service.id = ServiceId("dispatch");
  EndpointSpec endpoint;
  endpoint.id = EndpointId("e1");
  endpoint.slots = 6;
  endpoint.connections = 250;
  service.endpoints = {endpoint};
  EndpointRates rates;
  ServiceDispatcher dispatcher(
      std::make_unique<ServiceBalancer>(BalancerOptions{}, 1),
      ConnectionShare{2, 16}, rates, {});
  const TimePoint now = Clock::now();
  const auto connections_with = [&](std::int64_t hosts, CallToken token) {
    dispatcher.SetService(service, hosts, now);
    std::optional<Placement> placed;
    CallOffer offer;
    offer.token = token;
    offer.arrival = now;
    offer.deadline = now + seconds(10);
    dispatcher.Offer(
        offer, [&](const Placement& it) { placed = it; }, now);
    REQUIRE(placed);
    SendEnd end;
    end.token = token;
    end.endpoint = placed->endpoint;
    dispatcher.Finish(
        offer, end, [](const Placement&) {}, now);
    return placed->target.connections;
  };
  CHECK(connections_with(1, 1) == 16);
  CHECK(connections_with(17, 2) == 7);
  CHECK(connections_with(1000, 3) == 1);
}

}  // namespace
}  // namespace damasktack
