#ifndef PROXY_CALL_HANDLER_H_
#define PROXY_CALL_HANDLER_H_

#include <memory>
#include <string_view>
#include <utility>

#include "core/memory_account.h"
#include "proxy/call_log.h"
#include "proxy/call_origin.h"
#include "proxy/call_result.h"
#include "proxy/call_sends.h"
#include "proxy/claim_guard.h"
#include "proxy/http_types.h"
#include "proxy/proxy_loop.h"
#include "proxy/proxy_state.h"

namespace damasktack {

// Handles one complete request: admits it, routes it, has it sent (CallSends),
// and returns the answer. Used on one I/O thread only; must be owned by a
// shared_ptr until Handle has returned.
class CallHandler : public std::enable_shared_from_this<CallHandler> {
 public:
  // `losing_sends` are those of the caller's connection; without it no call is
  // hedged.
  CallHandler(ProxyState& state,
              ProxyLoop& loop,
              CallOrigin origin,
              std::shared_ptr<LosingSends> losing_sends = nullptr);

  // `memory` is what the request holds.
  asio::awaitable<HttpResponse> Handle(HttpRequest request,
                                       MemoryAccount memory = {});
  // Returns what the answer holds; to be called once Handle has returned.
  MemoryAccount TakeAnswerMemory() { return std::move(answer_memory_); }

  // Called when the caller has disconnected: stops waiting for an endpoint, or
  // cancels the send in progress. Must be called on the handler's thread.
  void OnCallerGone();

  // Describes the call for the log if it is aborted at `now`.
  CutCallRecord DescribeCut(TimePoint now) const;

  // The call's deadline and the longest time that its route or contract allows;
  // both are zero until the request has been matched.
  TimePoint deadline() const { return offer_.deadline; }
  Duration time_limit() const { return time_limit_; }

 private:
  struct ClaimOutcome;

  asio::awaitable<bool> AwaitCurrentState(const HttpRequest& request);
  asio::awaitable<CallResult> Admit(HttpRequest& request);
  // Like Admit, for a call that a peer relays to this host.
  asio::awaitable<CallResult> AdmitRelayed(HttpRequest& request);
  asio::awaitable<CallResult> RouteByContract(HttpRequest& request);
  asio::awaitable<CallResult> RouteByHost(HttpRequest& request);
  asio::awaitable<CallResult> SendUnderClaim(HttpRequest& request);
  asio::awaitable<std::shared_ptr<ClaimOutcome>> AwaitClaim(ClaimRequest claim);
  asio::awaitable<CallResult> Send();
  // Waits until `wake_` is cancelled or `until` is reached.
  asio::awaitable<void> Sleep(TimePoint until);
  // Whether the call can be finished before a stopping host aborts calls.
  bool CanFinish() const {
    return state_.stop_schedule().CanFinish(offer_.deadline);
  }
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
  RoutingTablePtr routing_;
  const Contract* contract_ = nullptr;
  const ServiceSpec* service_ = nullptr;
  std::shared_ptr<ServiceDispatcher> dispatcher_;
  std::shared_ptr<HttpRequest> request_;
  MemoryAccount answer_memory_;
  const std::shared_ptr<LosingSends> losing_sends_;
  bool may_be_hedged_ = false;
  CallOffer offer_;
  // Chosen by the caller if the protocol lets callers assign call ids.
  CallId call_id_;
  std::shared_ptr<ClaimOutcome> claim_outcome_;
  std::shared_ptr<ClaimGuard> claim_;
  // Null until the call is admitted.
  std::shared_ptr<CallSends> sends_;
  Duration time_limit_{};
  // Sends to endpoints by the peer that relays the call.
  int earlier_sends_ = 0;
  std::int64_t attempt_ = 0;
  bool awaits_claim_ = false;
  bool caller_gone_ = false;
};

}  // namespace damasktack

#endif  // PROXY_CALL_HANDLER_H_
