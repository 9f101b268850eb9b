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
#include "proxy/held_request.h"
#include "proxy/request_check.h"
#include "proxy/request_digest.h"
#include "wire/link_auth.h"

namespace damasktack {

namespace {

constexpr std::int64_t kMaxCallDepth = 32;
// A host that has just started or resumed is normally ready within this time.
constexpr std::chrono::milliseconds kNotCurrentRetryAfter(150);
// A caller that is refused by a stopping host is expected to reach another one.
constexpr std::chrono::milliseconds kStoppingRetryAfter(10);
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

// Another host can take the call at once.
CallResult StoppingResult() {
  Failure failure = MakeFailure(FailureKind::kStopping);
  failure.retry_after = kStoppingRetryAfter;
  return CallResult::NotRun(std::move(failure));
}

// Returns the path that the contract's rules are matched against. Always starts
// with '/', also if the path is the service's prefix itself.
std::string PathAfterPrefix(std::string_view prefix, std::string_view path) {
  const std::string_view rest = path.substr(prefix.size());
  return rest.starts_with('/') ? std::string(rest) : "/" + std::string(rest);
}

}  // namespace

struct CallHandler::ClaimOutcome {
  ClaimReply reply;
  // Null unless the claim was granted.
  std::shared_ptr<ClaimGuard> hold;
};

CallHandler::CallHandler(ProxyState& state,
                         ProxyLoop& loop,
                         CallOrigin origin,
                         std::shared_ptr<LosingSends> losing_sends)
    : state_(state),
      loop_(loop),
      origin_(origin),
      wake_(loop.context()),
      losing_sends_(std::move(losing_sends)),
      call_id_(names().callers_assign_call_ids ? std::string() : MakeCallId()) {
}

void CallHandler::OnCallerGone() {
  caller_gone_ = true;
  if (sends_) {
    sends_->OnCallerGone();
  }
}

asio::awaitable<void> CallHandler::Sleep(TimePoint until) {
  boost::system::error_code ec;
  wake_.expires_at(until);
  co_await wake_.async_wait(asio::redirect_error(asio::use_awaitable, ec));
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

asio::awaitable<CallResult> CallHandler::Admit(HttpRequest& request) {
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

asio::awaitable<CallResult> CallHandler::AdmitRelayed(HttpRequest& request) {
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

asio::awaitable<CallResult> CallHandler::RouteByHost(HttpRequest& request) {
  const Route* route =
      routing_->FindRoute(FromBeast(request[http::field::host]),
                          PathOf(FromBeast(request.target())));
  if (route == nullptr) {
    co_return CallResult::NotRun(MakeFailure(FailureKind::kNoRoute));
  }
  contract_ = &route->contract;
  FillOffer(*route, request, names(), offer_);
  time_limit_ = route->timeout;
  if (!CanFinish()) {
    co_return StoppingResult();
  }
  if (offer_.attempt_limit > 0) {
    offer_.attempt_limit = std::max(offer_.attempt_limit - earlier_sends_, 1);
  }
  may_be_hedged_ = origin_ == CallOrigin::kCaller && losing_sends_ &&
                   !offer_.is_retry &&
                   MayBeHedged(*route, state_.options().hedge_timeout_factor);
  thread_local Random random(std::random_device{}());
  const ServiceId& target = ChooseTarget(*route, random);
  service_ = routing_->FindServiceById(target);
  dispatcher_ = state_.FindDispatcher(target);
  if (service_ == nullptr || !dispatcher_) {
    co_return CallResult::NotRun(MakeFailure(FailureKind::kNoEndpoint));
  }
  co_return co_await Send();
}

asio::awaitable<CallResult> CallHandler::RouteByContract(HttpRequest& request) {
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
  time_limit_ = request_class->deadline;
  if (!CanFinish()) {
    co_return StoppingResult();
  }
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

asio::awaitable<CallResult> CallHandler::SendUnderClaim(HttpRequest& request) {
  const auto key = FromBeast(request[ToBeast(kIdempotencyKeyHeader)]);
  if (offer_.idempotent || key.empty()) {
    co_return co_await Send();
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
  CallResult result = co_await Send();
  claim_->Settle(result.outcome, ToKeptAnswer(result.answer));
  co_return result;
}

// With routes, the host name is used, because the customer id of a route can
// change whenever the routes change.
std::string_view CallHandler::CallerOf(const HttpRequest& request) const {
  return routing_->has_routes() ? FromBeast(request[http::field::host])
                                : std::string_view(offer_.customer.text());
}

asio::awaitable<CallResult> CallHandler::Send() {
  sends_ = std::make_shared<CallSends>(
      state_, loop_,
      AdmittedCall{.origin = origin_,
                   .offer = offer_,
                   .id = call_id_,
                   .routing = routing_,
                   .service = service_,
                   .dispatcher = dispatcher_,
                   .caller = std::string(CallerOf(*request_)),
                   .attempts = attempt_,
                   .claim = claim_,
                   .may_be_hedged = may_be_hedged_,
                   .losing_sends = losing_sends_});
  if (caller_gone_) {
    sends_->OnCallerGone();
  }
  co_return co_await sends_->Run(request_);
}

CutCallRecord CallHandler::DescribeCut(TimePoint now) const {
  CutCallRecord record;
  record.call = call_id_;
  record.customer = offer_.customer;
  if (service_ != nullptr) {
    record.service = service_->id;
  }
  if (sends_) {
    record.endpoint = sends_->last_endpoint();
    record.sends = sends_->count();
  }
  record.age = now - offer_.arrival;
  record.read_after = offer_.arrival - state_.stop_began();
  record.left = offer_.deadline - now;
  return record;
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
  if (sends_) {
    record.endpoint = sends_->last_endpoint();
    record.sends = sends_->count() + (sends_->was_relayed() ? 1 : 0);
    record.at_endpoints = sends_->at_endpoints();
    record.basis = sends_->basis();
  }
  record.total = now - offer_.arrival;
  const bool has_objective = offer_.on_time_until != TimePoint();
  record.left = has_objective ? offer_.on_time_until - now : Duration::zero();
  record.routes_version =
      routing_->has_routes() ? routing_->book()->version : 0;
  if (NeedsLogLine(record)) {
    record.request = FingerprintOf(CallerOf(request), request);
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

asio::awaitable<HttpResponse> CallHandler::Handle(HttpRequest received,
                                                  MemoryAccount memory) {
  // A losing send may need the request for longer than the call.
  request_ = HoldRequest(std::move(received), std::move(memory));
  HttpRequest& request = *request_;
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
  const Duration at_endpoints = sends_ ? sends_->at_endpoints() : Duration();
  Log(request, result, now);
  state_.metrics().Record({offer_.customer, offer_.urgency},
                          {result.outcome, total, total - at_endpoints});
  answer_memory_ = std::move(result.memory);
  co_return Render(request, std::move(result));
}

}  // namespace damasktack
