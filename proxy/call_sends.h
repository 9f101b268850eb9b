#ifndef PROXY_CALL_SENDS_H_
#define PROXY_CALL_SENDS_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "policy/call_offer.h"
#include "policy/call_outcome.h"
#include "proxy/call_origin.h"
#include "proxy/call_quarantine_check.h"
#include "proxy/call_relay.h"
#include "proxy/call_result.h"
#include "proxy/claim_guard.h"
#include "proxy/http_types.h"
#include "proxy/proxy_loop.h"
#include "proxy/proxy_state.h"

namespace damasktack {

// A call that has been admitted and routed.
struct AdmittedCall {
  CallOrigin origin = CallOrigin::kCaller;
  CallOffer offer;
  // May be empty only if answers do not repeat it.
  CallId id;
  RoutingTablePtr routing;
  // Points into `routing`.
  const ServiceSpec* service = nullptr;
  std::shared_ptr<ServiceDispatcher> dispatcher;
  // Identifies the caller for the quarantine; the same on every host.
  std::string caller;
  // Attempts that earlier hops have made.
  std::int64_t attempts = 0;
  // Null unless the call has a claim.
  std::shared_ptr<ClaimGuard> claim;
};

// Makes the sends of one call: waits for a placement, sends the request to the
// endpoint, retries, and relays the call to a peer while no endpoint can be
// reached. Used on one I/O thread only; must be owned by a shared_ptr.
class CallSends : public std::enable_shared_from_this<CallSends> {
 public:
  CallSends(ProxyState& state, ProxyLoop& loop, AdmittedCall call);

  // Sends `request` and returns what the caller is told. Must be called once.
  asio::awaitable<CallResult> Run(HttpRequest& request);

  // Called when the caller has disconnected: stops waiting for an endpoint, or
  // cancels the send in progress.
  void OnCallerGone();

  // Sends to endpoints so far.
  int count() const { return count_; }
  // Time spent at endpoints and peers.
  Duration at_endpoints() const { return at_endpoints_; }
  const EndpointId& last_endpoint() const { return last_endpoint_; }
  bool was_relayed() const { return was_relayed_; }
  // What the last placement or refusal was based on.
  const DecisionBasis& basis() const { return basis_; }

 private:
  asio::awaitable<Placement> AwaitPlacement();
  asio::awaitable<ExchangeResult> SendOnce(HttpRequest& request,
                                           const Placement& placement);
  // Relays a call for which this host reaches no endpoint. Returns null if no
  // peer took it.
  asio::awaitable<std::optional<CallResult>> Relay(HttpRequest& request,
                                                   const CallOutcome& before);
  // Waits until `wake_` is cancelled or `until` is reached.
  asio::awaitable<void> Sleep(TimePoint until);
  ServiceDispatcher::OnPlaced MakeOnPlaced();
  bool HasTimeToSend() const;
  // Returns the reason why the request must not be sent now, or null if it may
  // be sent.
  std::optional<FailureKind> FindSendObstacle(const HttpRequest& request);
  // Returns a placement unused. False if the call has already been placed
  // again.
  bool ReturnPlacement(const Placement& placement);
  const ProtocolNames& names() const { return state_.options().names; }

  ProxyState& state_;
  ProxyLoop& loop_;
  const AdmittedCall call_;
  asio::steady_timer wake_;
  CallQuarantineCheck quarantine_check_;
  CallRelay relay_;
  std::optional<Placement> placement_;
  DecisionBasis basis_;
  std::shared_ptr<EndpointExchange> exchange_;
  Duration at_endpoints_{};
  int count_ = 0;
  EndpointId last_endpoint_;
  std::int64_t attempt_;
  bool was_relayed_ = false;
  bool caller_gone_ = false;
};

}  // namespace damasktack

#endif  // PROXY_CALL_SENDS_H_
