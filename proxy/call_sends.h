#ifndef PROXY_CALL_SENDS_H_
#define PROXY_CALL_SENDS_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "policy/call_offer.h"
#include "policy/call_outcome.h"
#include "proxy/call_origin.h"
#include "proxy/call_quarantine_check.h"
#include "proxy/call_relay.h"
#include "proxy/call_result.h"
#include "proxy/claim_guard.h"
#include "proxy/http_types.h"
#include "proxy/losing_sends.h"
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
  // Whether the call may get a second send while the first is in flight.
  bool may_be_hedged = false;
  // Receives a send that runs on after the call's answer; must be set if
  // `may_be_hedged` is.
  std::shared_ptr<LosingSends> losing_sends;
};

// Makes the sends of one call: waits for a placement, sends the request to the
// endpoint, makes a second send while the first is in flight (a hedge),
// retries, and relays the call to a peer while no endpoint can be reached.
//
// At most two sends are in flight, the first one and its hedge. The first
// complete answer without a server error ends the call, whichever send it
// belongs to; a send that fails leaves the call to the other one. When the call
// has been answered, the other send is the losing send: its answer is
// discarded, and it is cancelled or runs on until its deadline at the latest.
// Used on one I/O thread only; must be owned by a shared_ptr.
class CallSends : public std::enable_shared_from_this<CallSends> {
 public:
  CallSends(ProxyState& state, ProxyLoop& loop, AdmittedCall call);

  // Sends `request` and returns what the caller is told. Must be called once.
  asio::awaitable<CallResult> Run(std::shared_ptr<HttpRequest> request);

  // Called when the caller has disconnected: stops waiting for an endpoint, or
  // cancels the sends in flight.
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
  // One send to an endpoint.
  struct Send {
    Placement placement;
    // The call's offer, with the token of this send.
    CallOffer offer;
    std::shared_ptr<const HttpRequest> request;
    std::shared_ptr<EndpointExchange> exchange;
    TimePoint began_at;
    std::string expected_call;
    // Null while the send is in flight.
    std::optional<ExchangeResult> result;
    bool is_reported = false;
    // The call has been answered by the other send.
    bool is_losing = false;

    bool IsAnswered() const {
      return result && result->result == SendResult::kAnswered;
    }
    bool HasAnswerForCaller() const {
      return IsAnswered() || (result && result->result == SendResult::kFailed);
    }
  };
  using SendPtr = std::shared_ptr<Send>;

  // Prepares a send; `request` must not be used by another send in flight.
  SendPtr MakeSend(std::shared_ptr<HttpRequest> request,
                   const Placement& placement,
                   const CallOffer& offer);
  // Runs the sends that begin with `first_` until one is answered or all have
  // ended.
  asio::awaitable<void> AwaitAnswer();
  // Runs a send without waiting for it.
  void Start(const SendPtr& send);
  void OnStartedSendEnd(const SendPtr& send);
  // Makes the second send if the balancer decides so. Returns the time at which
  // to ask again; null if the call gets no further send.
  std::optional<TimePoint> TryHedge();
  bool IsDecided() const;
  // Reports the end of a send to the quarantine and to the balancer.
  AfterSend Report(Send& send, const CallOffer& offer);
  SendEnd EndOf(const Send& send) const;
  // Reports sends that ended while the other one is in flight: the call is not
  // retried before both have ended.
  void ReportEarlyEnd();
  // Records how the sends ended. `other` is null without a hedge; it may be in
  // flight if `last` was answered.
  void RecordEnd(const Send& last, const Send* other, CallOutcome& outcome);
  // Lets the send run on without the call, or cancels it.
  void Leave(const SendPtr& send);
  // Returns the send whose end decides about the call, once IsDecided.
  SendPtr LastSend() const;
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
  AdmittedCall call_;
  asio::steady_timer wake_;
  CallQuarantineCheck quarantine_check_;
  CallRelay relay_;
  std::optional<Placement> placement_;
  DecisionBasis basis_;
  // The sends in flight, and those that ended while the other one was; null if
  // none is in flight.
  SendPtr first_;
  SendPtr hedge_;
  // The connections of the sends that have ended; no later send may use them,
  // because late copies of their answers name the same call.
  std::vector<ConnectionId> connections_;
  Duration at_endpoints_{};
  int count_ = 0;
  EndpointId last_endpoint_;
  std::int64_t attempt_;
  bool was_relayed_ = false;
  bool has_hedged_ = false;
  bool caller_gone_ = false;
};

}  // namespace damasktack

#endif  // PROXY_CALL_SENDS_H_
