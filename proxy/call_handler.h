#ifndef PROXY_CALL_HANDLER_H_
#define PROXY_CALL_HANDLER_H_

#include <memory>
#include <optional>
#include <string_view>

#include "proxy/call_suspicion.h"
#include "proxy/claim_hold.h"
#include "proxy/failure.h"
#include "proxy/http_types.h"
#include "proxy/proxy_loop.h"
#include "proxy/proxy_state.h"

namespace damasktack {

// Takes one whole request from its caller to an endpoint and back. Lives on
// one I/O thread; must be owned by a shared_ptr until Handle has ended.
class CallHandler : public std::enable_shared_from_this<CallHandler> {
 public:
  CallHandler(ProxyState& state, ProxyLoop& loop);

  asio::awaitable<HttpResponse> Handle(HttpRequest request);

  // The caller is gone: gives up the wait or cancels the send. Thread of the
  // handler only.
  void CallerGone();

 private:
  struct Ending;
  struct ClaimEnd;

  asio::awaitable<bool> AwaitCurrent(const HttpRequest& request);
  asio::awaitable<Ending> Admit(HttpRequest& request);
  asio::awaitable<Ending> RouteByContract(HttpRequest& request);
  asio::awaitable<Ending> RouteByHost(HttpRequest& request);
  asio::awaitable<Ending> Claimed(HttpRequest& request);
  asio::awaitable<std::shared_ptr<ClaimEnd>> AwaitClaim(ClaimRequest claim);
  asio::awaitable<Ending> SendUntilDone(HttpRequest& request);
  asio::awaitable<ExchangeResult> SendOnce(HttpRequest& request,
                                           const Placement& placement);
  asio::awaitable<Placement> AwaitPlacement();
  // Until somebody cancels `wake_`, or `until`.
  asio::awaitable<void> Sleep(TimePoint until);
  ServiceDispatcher::OnPlaced MakeOnPlaced();
  bool MaySend() const;
  // Why the request is not to be sent now; null where nothing speaks against
  // it.
  std::optional<FailureKind> ObstacleToSend(const HttpRequest& request);
  // Hands a placement back without a send. False where the call is placed
  // again.
  bool GiveBack(const Placement& placement);
  HttpResponse Render(const HttpRequest& request, Ending ending);
  // Whose request it is, the same at each host.
  std::string_view CallerOf(const HttpRequest& request) const;
  // Leaves a line where the call did not simply succeed.
  void Log(const HttpRequest& request, const Ending& ending, TimePoint now);
  const ProtocolNames& names() const { return state_.options().names; }

  ProxyState& state_;
  ProxyLoop& loop_;
  asio::steady_timer wake_;
  CallSuspicion suspicion_;
  RoutingTablePtr routing_;
  const Contract* contract_ = nullptr;
  const ServiceSpec* service_ = nullptr;
  std::shared_ptr<ServiceDispatcher> dispatcher_;
  CallOffer offer_;
  // The caller's own name of the call, where callers name their calls.
  CallId call_id_;
  std::optional<Placement> placement_;
  // Of the last placement or refusal.
  DecisionBasis basis_;
  std::shared_ptr<ClaimEnd> claim_end_;
  std::shared_ptr<ClaimHold> claim_;
  std::shared_ptr<EndpointExchange> exchange_;
  Duration at_endpoints_{};
  int sends_ = 0;
  EndpointId last_endpoint_;
  std::int64_t attempt_ = 0;
  bool awaits_claim_ = false;
  bool caller_gone_ = false;
};

}  // namespace damasktack

#endif  // PROXY_CALL_HANDLER_H_
