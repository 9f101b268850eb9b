#ifndef PROXY_CALL_RELAY_H_
#define PROXY_CALL_RELAY_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "policy/call.h"
#include "proxy/endpoint_exchange.h"
#include "proxy/http_types.h"
#include "proxy/proxy_loop.h"
#include "proxy/proxy_state.h"

namespace damasktack {

// Relays one call to a peer that reaches the endpoints of its service, with one
// hop and without repeats: a call is passed to another peer only if the one
// before certainly did not take it. Used on one I/O thread only.
class CallRelay {
 public:
  // Maximum number of peers that a call is offered to.
  static constexpr int kMaxPeers = 4;

  struct Call {
    // May be empty only if answers do not repeat it.
    CallId id;
    ServiceId service;
    TimePoint deadline;
    bool idempotent = false;
    // Sends to endpoints before.
    int sends = 0;
    // Regions in which the call may be handled; empty means any region.
    std::vector<RegionId> allowed_regions;
    // How long this host has reached no endpoint of the service.
    Duration unreachable_for{};
  };

  struct Result {
    // kNotRun without an answer: no peer took the call.
    Outcome outcome = Outcome::kNotRun;
    // The endpoint's answer, or the peer's failure for the caller.
    std::optional<HttpResponse> answer;
    // What the answer holds.
    MemoryAccount memory = {};
    // How the exchange with the last peer ended; only of use without an answer.
    SendResult last = SendResult::kNotConnected;
    // Time spent on peers.
    Duration took{};
  };

  CallRelay(ProxyState& state, ProxyLoop& loop) : state_(state), loop_(loop) {}

  // Relays `request`, which is prepared for an endpoint.
  asio::awaitable<Result> Run(HttpRequest& request, const Call& call);
  // Aborts the exchange with the peer, which cancels the call there.
  void Cancel();

 private:
  asio::awaitable<ExchangeResult> SendTo(const RelayHost& peer,
                                         HttpRequest& request,
                                         const Call& call);
  // Returns the outcome stated by the peer; null if its answer does not say.
  std::optional<Outcome> ReadOutcome(const HttpResponse& answer) const;

  ProxyState& state_;
  ProxyLoop& loop_;
  std::shared_ptr<EndpointExchange> exchange_;
  bool is_cancelled_ = false;
};

}  // namespace damasktack

#endif  // PROXY_CALL_RELAY_H_
