#include "proxy/call_handler.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <random>
#include <utility>

#include "policy/target_choice.h"
#include "proxy/call_guards.h"
#include "proxy/call_parameters.h"
#include "proxy/claim_answers.h"
#include "proxy/header_rewrite.h"
#include "proxy/request_check.h"
#include "proxy/request_digest.h"
#include "wire/link_auth.h"

namespace damasktack {

namespace {

constexpr std::int64_t kMaxCallDepth = 32;
constexpr std::chrono::milliseconds kMinTimeToSend(1);
// A host that has just started or resumed is normally ready within this time.
constexpr std::chrono::milliseconds kNotCurrentRetryAfter(150);
// How often a call that waits for a starting host checks again.
constexpr std::chrono::milliseconds kCurrentPollInterval(5);
// Such a wait may take at most this fraction (1/n) of the caller's timeout, so
// that enough time is left to try another host.
constexpr int kCurrentWaitDivisor = 3;
// Bounds what a peer states.
constexpr std::int64_t kMaxEarlierSends = 1000;

// Whether a refusal of a relayed call is due to this host, so that another peer
// may take the call.
bool MayAnotherPeerTake(FailureKind kind) {
  return kind == FailureKind::kUnreachable ||
         kind == FailureKind::kRelayRefused || kind == FailureKind::kNoRoute ||
         kind == FailureKind::kNoEndpoint || kind == FailureKind::kNotCurrent ||
         kind == FailureKind::kStopping;
}

std::string MakeCallId() {
  thread_local Random random(std::random_device{}());
  std::array<char, 16> buf{};
  const auto end =
      std::to_chars(buf.data(), buf.data() + buf.size(), random(), 16).ptr;
  return {buf.data(), end};
}

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

// Whether another damasktack, nearer to the failure, has already handled this
// call and answered it.
bool WasHandledByAnotherHop(const ExchangeResult& sent,
                            const ProtocolNames& names) {
  return sent.answer && sent.answer->count(names.outcome) > 0;
}

// Returns the result that counts for the call's outcome: a send that ended
// before its first byte had no effect, even if the caller or the deadline ended
// it.
SendResult EffectiveResult(const ExchangeResult& sent) {
  return sent.wrote ? sent.result : SendResult::kNotConnected;
}

FailureKind FailureKindOf(const ExchangeResult& sent) {
  const bool is_late = !sent.wrote && sent.result == SendResult::kTimedOut;
  return is_late ? FailureKind::kDeadline : KindOf(EffectiveResult(sent));
}

// Returns the path that the contract's rules are matched against. Always starts
// with '/', also if the path is the service's prefix itself.
std::string PathAfterPrefix(std::string_view prefix, std::string_view path) {
  const std::string_view rest = path.substr(prefix.size());
  return rest.starts_with('/') ? std::string(rest) : "/" + std::string(rest);
}

}  // namespace

struct CallHandler::CallResult {
  Outcome outcome = Outcome::kNotRun;
  std::optional<HttpResponse> answer;
  // Only used without an answer.
  Failure failure;

  static CallResult NotRun(Failure failure) {
    return {Outcome::kNotRun, std::nullopt, std::move(failure)};
  }
  static CallResult Complete(HttpResponse answer) {
    return {Outcome::kComplete, std::move(answer), {}};
  }
};

struct CallHandler::ClaimOutcome {
  ClaimReply reply;
  // Null unless the claim was granted.
  std::shared_ptr<ClaimGuard> hold;
};

CallHandler::CallHandler(ProxyState& state, ProxyLoop& loop, CallOrigin origin)
    : state_(state),
      loop_(loop),
      origin_(origin),
      wake_(loop.context()),
      quarantine_check_(state.quarantine(), loop.context()),
      call_id_(names().callers_assign_call_ids ? std::string() : MakeCallId()),
      relay_(state, loop) {}

void CallHandler::OnCallerGone() {
  caller_gone_ = true;
  relay_.Cancel();
  if (exchange_) {
    exchange_->Cancel();
    return;
  }
  if (dispatcher_ && dispatcher_->Withdraw(offer_.token, Clock::now())) {
    placement_ = Placement{Refusal::kDeadline, 0, {}, {}};
    wake_.cancel();
  }
}

asio::awaitable<void> CallHandler::Sleep(TimePoint until) {
  boost::system::error_code ec;
  wake_.expires_at(until);
  co_await wake_.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

// The balancer may outlive the loop, so the callback must not own sockets or
// timers.
ServiceDispatcher::OnPlaced CallHandler::MakeOnPlaced() {
  return [weak = weak_from_this(),
          poster = loop_.poster()](const Placement& placement) {
    poster->Post([weak, placement] {
      if (const auto self = weak.lock()) {
        self->placement_ = placement;
        self->wake_.cancel();
      }
    });
  };
}

asio::awaitable<Placement> CallHandler::AwaitPlacement() {
  while (!placement_) {
    const bool late = Clock::now() >= offer_.deadline;
    if (late && dispatcher_->Withdraw(offer_.token, Clock::now())) {
      co_return Placement{Refusal::kDeadline, 0, {}, {}};
    }
    // If the withdrawal comes too late, the placement is about to arrive.
    const TimePoint until = late ? TimePoint::max() : offer_.deadline;
    co_await Sleep(until);
  }
  Placement placement = std::move(*placement_);
  placement_.reset();
  basis_ = placement.basis;
  co_return placement;
}

// Returns false if this host does not learn in time which documents are in
// force. Calls wait because a caller that is refused by a starting host has
// used up its retry: after a power loss of a whole fleet with a large route
// table, hosts would refuse calls that they can serve a moment later.
asio::awaitable<bool> CallHandler::AwaitCurrentState(
    const HttpRequest& request) {
  const TimePoint until = std::min(
      state_.current_by(), offer_.arrival + RequestedTimeout(request, names()) /
                                                kCurrentWaitDivisor);
  while (!state_.IsCurrent()) {
    if (caller_gone_ || Clock::now() >= until) {
      co_return false;
    }
    co_await Sleep(Clock::now() + kCurrentPollInterval);
  }
  co_return true;
}

asio::awaitable<CallHandler::CallResult> CallHandler::Admit(
    HttpRequest& request) {
  // A process that was suspended still has its old contracts, and the first
  // thing it does is to serve the calls that arrived meanwhile: a customer
  // whose contract has been removed would be served. The fleet loop reports
  // itself as current only while it keeps running, so this check is correct
  // even if that loop has not run yet.
  const bool is_current = co_await AwaitCurrentState(request);
  if (!is_current) {
    Failure failure = MakeFailure(FailureKind::kNotCurrent);
    failure.retry_after = kNotCurrentRetryAfter;
    co_return CallResult::NotRun(std::move(failure));
  }
  routing_ = state_.routing();
  if (routing_->has_routes()) {
    co_return co_await RouteByHost(request);
  }
  co_return co_await RouteByContract(request);
}

void CallHandler::TakeRelayHeaders(HttpRequest& request) {
  earlier_sends_ = static_cast<int>(std::min<std::int64_t>(
      ReadNumber(request, kRelaySendsHeader).value_or(0), kMaxEarlierSends));
  for (const char* it :
       {kRelayTokenHeader, kRelayFromHeader, kRelaySendsHeader}) {
    request.erase(it);
  }
}

asio::awaitable<CallHandler::CallResult> CallHandler::AdmitRelayed(
    HttpRequest& request) {
  const RelayOptions& relay = state_.options().relay;
  if (!ConstantTimeEquals(FromBeast(request[kRelayTokenHeader]), relay.token)) {
    co_return CallResult::NotRun(
        MakeFailure(FailureKind::kRelayRefused, "another fleet's token"));
  }
  // Own callers come first: a host that relays its calls has other peers.
  if (state_.counters().relayed_in_flight() >= relay.max_calls) {
    co_return CallResult::NotRun(
        MakeFailure(FailureKind::kRelayRefused, "too many relayed calls"));
  }
  const InFlightGuard relayed(state_.counters().relayed_in_flight());
  state_.counters().CountRelayTaken();
  state_.call_log().WriteRelayTaken(
      call_id_, FromBeast(request[kRelayFromHeader]), Clock::now());
  TakeRelayHeaders(request);
  co_return co_await Admit(request);
}

asio::awaitable<CallHandler::CallResult> CallHandler::RouteByHost(
    HttpRequest& request) {
  const Route* route =
      routing_->FindRoute(FromBeast(request[http::field::host]),
                          PathOf(FromBeast(request.target())));
  if (route == nullptr) {
    co_return CallResult::NotRun(MakeFailure(FailureKind::kNoRoute));
  }
  contract_ = &route->contract;
  FillOffer(*route, request, names(), offer_);
  if (offer_.attempt_limit > 0) {
    offer_.attempt_limit = std::max(offer_.attempt_limit - earlier_sends_, 1);
  }
  thread_local Random random(std::random_device{}());
  const ServiceId& target = ChooseTarget(*route, random);
  service_ = routing_->FindServiceById(target);
  dispatcher_ = state_.FindDispatcher(target);
  if (service_ == nullptr || !dispatcher_) {
    co_return CallResult::NotRun(MakeFailure(FailureKind::kNoEndpoint));
  }
  co_return co_await SendWithRetries(request);
}

asio::awaitable<CallHandler::CallResult> CallHandler::RouteByContract(
    HttpRequest& request) {
  const std::string path = PathForRules(FromBeast(request.target()));
  contract_ = routing_->FindContract(FromBeast(request[ToBeast(kKeyHeader)]));
  if (contract_ == nullptr) {
    co_return CallResult::NotRun(MakeFailure(FailureKind::kUnknownCustomer));
  }
  offer_.customer = contract_->customer;
  service_ = routing_->FindService(path);
  const auto request_class =
      service_ == nullptr ? std::nullopt
                          : Classify(*contract_, service_->id,
                                     FromBeast(request.method_string()),
                                     PathAfterPrefix(service_->prefix, path));
  if (!request_class) {
    co_return CallResult::NotRun(MakeFailure(FailureKind::kNotInContract));
  }
  FillOffer(*contract_, *request_class, request, names(), offer_);
  attempt_ = PreviousAttempts(request, names());
  if (ReadNumber(request, names().depth).value_or(0) >= kMaxCallDepth) {
    co_return CallResult::NotRun(MakeFailure(FailureKind::kTooDeep));
  }
  dispatcher_ = state_.FindDispatcher(service_->id);
  if (!dispatcher_) {
    co_return CallResult::NotRun(MakeFailure(FailureKind::kNoEndpoint));
  }
  const auto verdict = state_.limits().Enter(*contract_, offer_.arrival);
  if (!verdict.admitted) {
    Failure failure = MakeFailure(FailureKind::kLimit);
    failure.retry_after = verdict.retry_after;
    co_return CallResult::NotRun(std::move(failure));
  }
  const LimitGuard hold(state_.limits(), contract_->customer);
  co_return co_await SendUnderClaim(request);
}

// Returns null if the claim replicas did not answer in time. A grant that
// arrives later has no receiver, and its guard settles it as not run.
asio::awaitable<std::shared_ptr<CallHandler::ClaimOutcome>>
CallHandler::AwaitClaim(ClaimRequest claim) {
  awaits_claim_ = true;
  ClaimGate& gate = state_.claims();
  gate.Claim(claim, [&gate, claim, weak = weak_from_this(),
                     poster = loop_.poster()](const ClaimReply& reply) {
    auto end = std::make_shared<ClaimOutcome>(ClaimOutcome{reply, nullptr});
    if (reply.verdict == ClaimVerdict::kGranted) {
      end->hold = std::make_shared<ClaimGuard>(gate, claim, reply.claim);
    }
    poster->Post([weak, end = std::move(end)] {
      const auto self = weak.lock();
      if (self && self->awaits_claim_) {
        self->claim_outcome_ = end;
        self->wake_.cancel();
      }
    });
  });
  while (!claim_outcome_ && Clock::now() < offer_.deadline) {
    co_await Sleep(offer_.deadline);
  }
  awaits_claim_ = false;
  co_return std::move(claim_outcome_);
}

asio::awaitable<CallHandler::CallResult> CallHandler::SendUnderClaim(
    HttpRequest& request) {
  const auto key = FromBeast(request[ToBeast(kIdempotencyKeyHeader)]);
  if (offer_.idempotent || key.empty()) {
    co_return co_await SendWithRetries(request);
  }
  ClaimRequest claim{contract_->customer, std::string(key), DigestOf(request),
                     offer_.deadline};
  const auto end = co_await AwaitClaim(std::move(claim));
  if (!end) {
    co_return CallResult{Outcome::kUnknown, std::nullopt,
                         MakeFailure(FailureKind::kClaimUnavailable)};
  }
  const ClaimReply& reply = end->reply;
  if (reply.verdict == ClaimVerdict::kAlreadyRan && reply.answer) {
    co_return CallResult::Complete(ToHttpResponse(*reply.answer));
  }
  if (reply.verdict == ClaimVerdict::kMismatch) {
    co_return CallResult::NotRun(MakeFailure(FailureKind::kKeyReused));
  }
  if (reply.verdict != ClaimVerdict::kGranted) {
    // An earlier request with the same key may have run.
    Failure failure = MakeFailure(KindOf(reply.verdict));
    if (failure.retry_after) {
      failure.retry_after = reply.retry_after;
    }
    co_return CallResult{Outcome::kUnknown, std::nullopt, std::move(failure)};
  }
  claim_ = end->hold;
  CallResult result = co_await SendWithRetries(request);
  claim_->Settle(result.outcome, ToKeptAnswer(result.answer));
  co_return result;
}

bool CallHandler::HasTimeToSend() const {
  return !caller_gone_ && offer_.deadline - Clock::now() >= kMinTimeToSend;
}

std::optional<FailureKind> CallHandler::FindSendObstacle(
    const HttpRequest& request) {
  if (!HasTimeToSend()) {
    return FailureKind::kDeadline;
  }
  if (quarantine_check_.IsQuarantined(CallerOf(request), request)) {
    return FailureKind::kQuarantined;
  }
  return std::nullopt;
}

bool CallHandler::ReturnPlacement(const Placement& placement) {
  const SendEnd end{.token = offer_.token,
                    .endpoint = placement.endpoint,
                    .result = SendResult::kCancelled,
                    .took = Duration::zero(),
                    .report = std::nullopt};
  const TimePoint now = Clock::now();
  return dispatcher_->Finish(offer_, end, MakeOnPlaced(), now) ==
             AfterSend::kDone ||
         dispatcher_->Withdraw(offer_.token, now);
}

// With routes, the host name is used, because the customer id of a route can
// change whenever the routes change.
std::string_view CallHandler::CallerOf(const HttpRequest& request) const {
  return routing_->has_routes() ? FromBeast(request[http::field::host])
                                : std::string_view(offer_.customer.text());
}

asio::awaitable<ExchangeResult> CallHandler::SendOnce(
    HttpRequest& request,
    const Placement& placement) {
  const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
      offer_.deadline - Clock::now());
  ++attempt_;
  ++sends_;
  last_endpoint_ = placement.target.id;
  if (basis_.cold) {
    state_.counters().CountColdSend();
    state_.call_log().WriteColdSend(call_id_, last_endpoint_, *basis_.cold,
                                    Clock::now());
  }
  SetNamed(request, names().deadline, std::to_string(remaining.count()));
  SetNamed(request, names().attempt, std::to_string(attempt_));
  SetNamed(request, names().expected_endpoint, placement.target.id.text());
  exchange_ = std::make_shared<EndpointExchange>(
      loop_.context().get_executor(), loop_.pool(), placement.target,
      state_.options().exchange, names());
  if (claim_) {
    claim_->MarkSent();
  }
  if (!offer_.idempotent) {
    exchange_->RequireRecentConnection();
  }
  exchange_->AvoidConnections(connections_);
  // A named variable, because g++ 12 destroys the temporaries of a conditional
  // expression inside co_await twice.
  std::string expected_call;
  if (service_->echoes_call) {
    expected_call = call_id_.text();
  }
  ExchangeResult result =
      co_await exchange_->Run(request, offer_.deadline, expected_call);
  exchange_.reset();
  connections_.push_back(result.connection);
  at_endpoints_ += result.took;
  co_return result;
}

asio::awaitable<std::optional<CallHandler::CallResult>> CallHandler::Relay(
    HttpRequest& request,
    const CallOutcome& before) {
  // A relayed call is not relayed again, so that it cannot circulate. Calls
  // under a contract are not relayed: their key is not passed on, and their
  // limits and claims are held by this host.
  if (origin_ == CallOrigin::kPeer || !routing_->has_routes() ||
      !HasTimeToSend()) {
    co_return std::nullopt;
  }
  const CallRelay::Call call{
      .id = call_id_,
      .service = service_->id,
      .deadline = offer_.deadline,
      .idempotent = offer_.idempotent,
      .sends = sends_,
      .allowed_regions = offer_.allowed_regions,
      .unreachable_for = dispatcher_->UnreachableFor(Clock::now())};
  CallRelay::Result relayed = co_await relay_.Run(request, call);
  at_endpoints_ += relayed.took;
  was_relayed_ = relayed.answer || relayed.outcome != Outcome::kNotRun;
  if (!was_relayed_) {
    co_return std::nullopt;
  }
  // An earlier send by this host may have run.
  const bool is_unsure = relayed.outcome == Outcome::kNotRun &&
                         before.outcome() != Outcome::kNotRun;
  if (!relayed.answer || is_unsure) {
    const FailureKind kind =
        is_unsure ? FailureKind::kBroken : KindOf(relayed.last);
    co_return CallResult{Outcome::kUnknown, std::nullopt, MakeFailure(kind)};
  }
  co_return CallResult{relayed.outcome, std::move(relayed.answer), {}};
}

asio::awaitable<CallHandler::CallResult> CallHandler::SendWithRetries(
    HttpRequest& request) {
  const auto depth = ReadNumber(request, names().depth).value_or(0);
  PrepareForEndpoint(request, call_id_, depth + 1, names());
  CallOutcome call(offer_.idempotent);
  // Failure of the last send that may have run without an answer.
  std::optional<FailureKind> unknown_failure;
  const auto give_up = [&](FailureKind kind) {
    const Outcome outcome = call.outcome();
    const FailureKind reported =
        outcome == Outcome::kUnknown ? unknown_failure.value_or(kind) : kind;
    return CallResult{outcome, std::nullopt, MakeFailure(reported)};
  };
  int sends = 0;
  const auto refuse = [&](FailureKind kind) {
    CallResult result = give_up(kind);
    if (result.outcome == Outcome::kNotRun) {
      result.failure.SetRetryAfter(quarantine_check_.retry_after());
    }
    return result;
  };
  if (const auto obstacle = FindSendObstacle(request)) {
    co_return refuse(*obstacle);
  }
  dispatcher_->Offer(offer_, MakeOnPlaced(), Clock::now());
  while (true) {
    const Placement placement = co_await AwaitPlacement();
    if (placement.refusal != Refusal::kNone) {
      call.OnRefused();
      if (placement.refusal == Refusal::kUnreachable) {
        std::optional<CallResult> relayed = co_await Relay(request, call);
        if (relayed) {
          co_return std::move(*relayed);
        }
      }
      CallResult result = give_up(KindOf(placement.refusal));
      result.failure.SetRetryAfter(placement.retry_after);
      co_return result;
    }
    if (const auto obstacle = FindSendObstacle(request)) {
      const bool is_returned = ReturnPlacement(placement);
      if (is_returned) {
        call.OnRefused();
        co_return refuse(*obstacle);
      }
      continue;
    }
    call.OnPlaced();
    ExchangeResult sent = co_await SendOnce(request, placement);
    call.OnSendEnd(EffectiveResult(sent));
    if (!SurelyNotRun(EffectiveResult(sent))) {
      unknown_failure = KindOf(sent.result);
    }
    const bool is_suspected =
        quarantine_check_.IsSuspected() && !SurelyNotRun(EffectiveResult(sent));
    quarantine_check_.OnSendEnd(CallerOf(request), request, placement.target,
                                sent);
    const SendEnd end{
        .token = offer_.token,
        .endpoint = placement.endpoint,
        .result = sent.result,
        .took = sent.took,
        .report = sent.report,
        .signals = sent.signals,
        .retried_downstream = WasHandledByAnotherHop(sent, names()),
        .is_suspected = is_suspected,
        .sends = ++sends};
    const AfterSend after =
        dispatcher_->Finish(offer_, end, MakeOnPlaced(), Clock::now());
    if (after == AfterSend::kRetry) {
      call.OnSentAgain();
      continue;
    }
    call.OnGivenUp();
    const bool is_complete = sent.result == SendResult::kAnswered ||
                             sent.result == SendResult::kFailed;
    if (is_complete) {
      co_return CallResult{call.outcome(), std::move(sent.answer), {}};
    }
    CallResult result = give_up(FailureKindOf(sent));
    if (result.outcome == Outcome::kNotRun) {
      result.failure.SetRetryAfter(
          dispatcher_->RetryAfterSend(offer_, end, Clock::now()));
    }
    co_return result;
  }
}

void CallHandler::Log(const HttpRequest& request,
                      const CallResult& result,
                      TimePoint now) {
  CallRecord record;
  record.call = call_id_;
  record.customer = offer_.customer;
  if (service_ != nullptr) {
    record.service = service_->id;
  }
  record.outcome = result.outcome;
  if (result.answer) {
    record.status = result.answer->result_int();
  } else {
    record.failure = ToString(result.failure.kind);
  }
  record.endpoint = last_endpoint_;
  record.sends = sends_ + (was_relayed_ ? 1 : 0);
  record.total = now - offer_.arrival;
  record.at_endpoints = at_endpoints_;
  const bool has_objective = offer_.on_time_until != TimePoint();
  record.left = has_objective ? offer_.on_time_until - now : Duration::zero();
  record.basis = basis_;
  record.routes_version =
      routing_->has_routes() ? routing_->book()->version : 0;
  if (NeedsLogLine(record)) {
    record.request = quarantine_check_.Fingerprint(CallerOf(request), request);
    state_.call_log().Write(record, now);
  }
}

HttpResponse CallHandler::Render(const HttpRequest& request,
                                 CallResult result) {
  if (!result.answer) {
    state_.counters().CountFailure(result.failure.kind);
    HttpResponse refusal =
        RenderFailure(result.failure, result.outcome, call_id_, names());
    if (origin_ == CallOrigin::kPeer && result.outcome == Outcome::kNotRun &&
        MayAnotherPeerTake(result.failure.kind)) {
      refusal.set(kRelayRefusedHeader, ToBeast(ToString(result.failure.kind)));
    }
    return refusal;
  }
  HttpResponse response = std::move(*result.answer);
  PrepareForCaller(response, request.method() == http::verb::head, names());
  response.erase(kRelayRefusedHeader);
  response.version(11);
  SetNamed(response, names().outcome, ToString(result.outcome));
  if (!call_id_.empty()) {
    SetNamed(response, names().call, call_id_.text());
  }
  return response;
}

asio::awaitable<HttpResponse> CallHandler::Handle(HttpRequest request) {
  const InFlightGuard in_flight(state_.calls_in_flight());
  offer_.token = state_.NextToken();
  offer_.arrival = Clock::now();
  if (names().callers_assign_call_ids) {
    call_id_ = CallId(std::string(request[names().call]));
  }
  routing_ = state_.routing();
  // Named, because g++ 12 destroys the temporaries of a conditional expression
  // inside co_await twice.
  asio::awaitable<CallResult> admission =
      origin_ == CallOrigin::kPeer ? AdmitRelayed(request) : Admit(request);
  CallResult result = co_await std::move(admission);
  const TimePoint now = Clock::now();
  const Duration total = now - offer_.arrival;
  Log(request, result, now);
  state_.metrics().Record({offer_.customer, offer_.urgency},
                          {result.outcome, total, total - at_endpoints_});
  co_return Render(request, std::move(result));
}

}  // namespace damasktack
