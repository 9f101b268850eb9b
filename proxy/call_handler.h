#ifndef PROXY_CALL_HANDLER_H_
#define PROXY_CALL_HANDLER_H_

#include <memory>
#include <optional>
#include <string_view>

#include "policy/call_outcome.h"
#include "proxy/call_origin.h"
#include "proxy/call_quarantine_check.h"
#include "proxy/call_relay.h"
#include "proxy/claim_guard.h"
#include "proxy/failure.h"
#include "proxy/http_types.h"
#include "proxy/proxy_loop.h"
#include "proxy/proxy_state.h"

namespace damasktack {

// Handles one complete request: admits it, routes it, sends it to an endpoint
// with retries, or relays it to a peer while no endpoint can be reached, and
// returns the answer. Used on one I/O thread only; must be owned by a
// shared_ptr until Handle has returned.
class CallHandler : public std::enable_shared_from_this<CallHandler> {
 public:
  CallHandler(ProxyState& state, ProxyLoop& loop, CallOrigin origin);

  asio::awaitable<HttpResponse> Handle(HttpRequest request);

  // Called when the caller has disconnected: stops waiting for an endpoint, or
  // cancels the send in progress. Must be called on the handler's thread.
  void OnCallerGone();

 private:
  struct CallResult;
  struct ClaimOutcome;

  asio::awaitable<bool> AwaitCurrentState(const HttpRequest& request);
  asio::awaitable<CallResult> Admit(HttpRequest& request);
  // Like Admit, for a call that a peer relays to this host.
  asio::awaitable<CallResult> AdmitRelayed(HttpRequest& request);
  asio::awaitable<CallResult> RouteByContract(HttpRequest& request);
  asio::awaitable<CallResult> RouteByHost(HttpRequest& request);
  asio::awaitable<CallResult> SendUnderClaim(HttpRequest& request);
  asio::awaitable<std::shared_ptr<ClaimOutcome>> AwaitClaim(ClaimRequest claim);
  asio::awaitable<CallResult> SendWithRetries(HttpRequest& request);
  asio::awaitable<ExchangeResult> SendOnce(HttpRequest& request,
                                           const Placement& placement);
  // Relays a call for which this host reaches no endpoint. Returns null if no
  // peer took it.
  asio::awaitable<std::optional<CallResult>> Relay(HttpRequest& request,
                                                   const CallOutcome& before);
  asio::awaitable<Placement> AwaitPlacement();
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
  // Removes the headers of a relayed call, and applies what they state.
  void TakeRelayHeaders(HttpRequest& request);
  HttpResponse Render(const HttpRequest& request, CallResult result);
  // Returns an identifier of the caller that is the same on every host.
  std::string_view CallerOf(const HttpRequest& request) const;
  // Logs the call if it was refused, failed, retried or late.
  void Log(const HttpRequest& request, const CallResult& result, TimePoint now);
  const ProtocolNames& names() const { return state_.options().names; }

  ProxyState& state_;
  ProxyLoop& loop_;
  const CallOrigin origin_;
  asio::steady_timer wake_;
  CallQuarantineCheck quarantine_check_;
  RoutingTablePtr routing_;
  const Contract* contract_ = nullptr;
  const ServiceSpec* service_ = nullptr;
  std::shared_ptr<ServiceDispatcher> dispatcher_;
  CallOffer offer_;
  // Chosen by the caller if the protocol lets callers assign call ids.
  CallId call_id_;
  std::optional<Placement> placement_;
  // What the last placement or refusal was based on.
  DecisionBasis basis_;
  std::shared_ptr<ClaimOutcome> claim_outcome_;
  std::shared_ptr<ClaimGuard> claim_;
  std::shared_ptr<EndpointExchange> exchange_;
  // The connections of the sends so far; no later send may use them.
  std::vector<ConnectionId> connections_;
  CallRelay relay_;
  Duration at_endpoints_{};
  int sends_ = 0;
  // Sends to endpoints by the peer that relays the call.
  int earlier_sends_ = 0;
  bool was_relayed_ = false;
  EndpointId last_endpoint_;
  std::int64_t attempt_ = 0;
  bool awaits_claim_ = false;
  bool caller_gone_ = false;
};

}  // namespace damasktack

#endif  // PROXY_CALL_HANDLER_H_
