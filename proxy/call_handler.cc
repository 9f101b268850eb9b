#include "proxy/call_handler.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <random>
#include <utility>

#include "policy/call_outcome.h"
#include "policy/target_choice.h"
#include "proxy/call_holds.h"
#include "proxy/call_terms.h"
#include "proxy/claim_answers.h"
#include "proxy/header_rewrite.h"
#include "proxy/request_check.h"
#include "proxy/request_digest.h"

namespace damasktack {

namespace {

constexpr std::int64_t kDeepest = 32;
constexpr std::chrono::milliseconds kLeastTimeToSend(1);
// A host that has just started, or woke, is back within this time as a rule.
constexpr std::chrono::milliseconds kUntilCurrent(150);
// How often a call that waits for a starting host looks again.
constexpr std::chrono::milliseconds kCurrentPoll(5);
// The part of the caller's time that such a wait may take: enough is left to
// try another host.
constexpr int kPartForCurrent = 3;
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

// Whether a damasktack nearer to the failure has answered this before.
bool WentThroughAnotherHop(const ExchangeResult& sent,
                           const ProtocolNames& names) {
  return sent.answer && sent.answer->count(names.outcome) > 0;
}

// What the outcome of the call has to know: a send that ended before its first
// byte left nothing behind, also where its caller or its deadline ended it.
SendResult ForOutcome(const ExchangeResult& sent) {
  return sent.wrote ? sent.result : SendResult::kNotConnected;
}

FailureKind FailureOf(const ExchangeResult& sent) {
  const bool is_late = !sent.wrote && sent.result == SendResult::kTimedOut;
  return is_late ? FailureKind::kDeadline : KindOf(ForOutcome(sent));
}

// The path that the contract's rules go by. Starts with '/', also where the
// path is the service's prefix itself.
std::string PathBelow(std::string_view prefix, std::string_view path) {
  const std::string_view rest = path.substr(prefix.size());
  return rest.starts_with('/') ? std::string(rest) : "/" + std::string(rest);
}

}  // namespace

struct CallHandler::Ending {
  Outcome outcome = Outcome::kNotRun;
  std::optional<HttpResponse> answer;
  // Counts where there is no answer.
  Failure failure;

  static Ending NotRun(Failure failure) {
    return {Outcome::kNotRun, std::nullopt, std::move(failure)};
  }
  static Ending Complete(HttpResponse answer) {
    return {Outcome::kComplete, std::move(answer), {}};
  }
};

struct CallHandler::ClaimEnd {
  ClaimReply reply;
  // Null unless granted.
  std::shared_ptr<ClaimHold> hold;
};

CallHandler::CallHandler(ProxyState& state, ProxyLoop& loop)
    : state_(state),
      loop_(loop),
      wake_(loop.context()),
      suspicion_(state.quarantine(), loop.context()),
      call_id_(names().callers_assign_call_ids ? std::string() : MakeCallId()) {
}

void CallHandler::CallerGone() {
  caller_gone_ = true;
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

// The balancer may outlive the loop, so it holds no owner of sockets or timers.
ServiceDispatcher::OnPlaced CallHandler::MakeOnPlaced() {
  return [weak = weak_from_this(),
          door = loop_.door()](const Placement& placement) {
    door->Post([weak, placement] {
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
    // Where the withdrawal comes too late the placement is on its way.
    const TimePoint until = late ? TimePoint::max() : offer_.deadline;
    co_await Sleep(until);
  }
  Placement placement = std::move(*placement_);
  placement_.reset();
  basis_ = placement.basis;
  co_return placement;
}

// False where this host does not get to know in time what is in force. A caller
// that is refused by a starting host has used up its retry: after a loss of
// power of a whole fleet with a large route book, hosts would refuse calls that
// they can serve a moment later.
asio::awaitable<bool> CallHandler::AwaitCurrent(const HttpRequest& request) {
  const TimePoint until =
      std::min(state_.current_by(),
               offer_.arrival + AskedTime(request, names()) / kPartForCurrent);
  while (!state_.IsCurrent()) {
    if (caller_gone_ || Clock::now() >= until) {
      co_return false;
    }
    co_await Sleep(Clock::now() + kCurrentPoll);
  }
  co_return true;
}

asio::awaitable<CallHandler::Ending> CallHandler::Admit(HttpRequest& request) {
  // A process that was stopped still holds the contracts of before, and calls
  // that came meanwhile are its first work: a customer whose contract is gone
  // would be served. The fleet's loop counts as current only while it turns,
  // so this is right even where that loop has not run yet.
  const bool is_current = co_await AwaitCurrent(request);
  if (!is_current) {
    Failure failure = MakeFailure(FailureKind::kNotCurrent);
    failure.retry_after = kUntilCurrent;
    co_return Ending::NotRun(std::move(failure));
  }
  routing_ = state_.routing();
  if (routing_->has_routes()) {
    co_return co_await RouteByHost(request);
  }
  co_return co_await RouteByContract(request);
}

asio::awaitable<CallHandler::Ending> CallHandler::RouteByHost(
    HttpRequest& request) {
  const Route* route =
      routing_->FindRoute(FromBeast(request[http::field::host]),
                          PathOf(FromBeast(request.target())));
  if (route == nullptr) {
    co_return Ending::NotRun(MakeFailure(FailureKind::kNoRoute));
  }
  contract_ = &route->contract;
  FillOffer(*route, request, names(), offer_);
  thread_local Random random(std::random_device{}());
  const ServiceId& target = ChooseTarget(*route, random);
  service_ = routing_->FindServiceById(target);
  dispatcher_ = state_.FindDispatcher(target);
  if (service_ == nullptr || !dispatcher_) {
    co_return Ending::NotRun(MakeFailure(FailureKind::kNoEndpoint));
  }
  co_return co_await SendUntilDone(request);
}

asio::awaitable<CallHandler::Ending> CallHandler::RouteByContract(
    HttpRequest& request) {
  const std::string path = PathForRules(FromBeast(request.target()));
  contract_ = routing_->FindContract(FromBeast(request[ToBeast(kKeyHeader)]));
  if (contract_ == nullptr) {
    co_return Ending::NotRun(MakeFailure(FailureKind::kUnknownCustomer));
  }
  offer_.customer = contract_->customer;
  service_ = routing_->FindService(path);
  const auto request_class = service_ == nullptr
                                 ? std::nullopt
                                 : Classify(*contract_, service_->id,
                                            FromBeast(request.method_string()),
                                            PathBelow(service_->prefix, path));
  if (!request_class) {
    co_return Ending::NotRun(MakeFailure(FailureKind::kNotInContract));
  }
  FillOffer(*contract_, *request_class, request, names(), offer_);
  attempt_ = AttemptsBefore(request, names());
  if (ReadNumber(request, names().depth).value_or(0) >= kDeepest) {
    co_return Ending::NotRun(MakeFailure(FailureKind::kTooDeep));
  }
  dispatcher_ = state_.FindDispatcher(service_->id);
  if (!dispatcher_) {
    co_return Ending::NotRun(MakeFailure(FailureKind::kNoEndpoint));
  }
  const auto verdict = state_.limits().Enter(*contract_, offer_.arrival);
  if (!verdict.admitted) {
    Failure failure = MakeFailure(FailureKind::kLimit);
    failure.retry_after = verdict.retry_after;
    co_return Ending::NotRun(std::move(failure));
  }
  const LimitHold hold(state_.limits(), contract_->customer);
  co_return co_await Claimed(request);
}

// Null where the keepers did not answer in time. A grant that comes later
// finds nobody and settles itself as not run.
asio::awaitable<std::shared_ptr<CallHandler::ClaimEnd>> CallHandler::AwaitClaim(
    ClaimRequest claim) {
  awaits_claim_ = true;
  ClaimGate& gate = state_.claims();
  gate.Claim(claim, [&gate, claim, weak = weak_from_this(),
                     door = loop_.door()](const ClaimReply& reply) {
    auto end = std::make_shared<ClaimEnd>(ClaimEnd{reply, nullptr});
    if (reply.verdict == ClaimVerdict::kGranted) {
      end->hold = std::make_shared<ClaimHold>(gate, claim, reply.claim);
    }
    door->Post([weak, end = std::move(end)] {
      const auto self = weak.lock();
      if (self && self->awaits_claim_) {
        self->claim_end_ = end;
        self->wake_.cancel();
      }
    });
  });
  while (!claim_end_ && Clock::now() < offer_.deadline) {
    co_await Sleep(offer_.deadline);
  }
  awaits_claim_ = false;
  co_return std::move(claim_end_);
}

asio::awaitable<CallHandler::Ending> CallHandler::Claimed(
    HttpRequest& request) {
  const auto key = FromBeast(request[ToBeast(kIdempotencyKeyHeader)]);
  if (offer_.idempotent || key.empty()) {
    co_return co_await SendUntilDone(request);
  }
  ClaimRequest claim{contract_->customer, std::string(key), DigestOf(request),
                     offer_.deadline};
  const auto end = co_await AwaitClaim(std::move(claim));
  if (!end) {
    co_return Ending{Outcome::kUnknown, std::nullopt,
                     MakeFailure(FailureKind::kClaimUnavailable)};
  }
  const ClaimReply& reply = end->reply;
  if (reply.verdict == ClaimVerdict::kAlreadyRan && reply.answer) {
    co_return Ending::Complete(AnswerFrom(*reply.answer));
  }
  if (reply.verdict == ClaimVerdict::kMismatch) {
    co_return Ending::NotRun(MakeFailure(FailureKind::kKeyReused));
  }
  if (reply.verdict != ClaimVerdict::kGranted) {
    // An earlier request under the key may have run.
    Failure failure = MakeFailure(KindOf(reply.verdict));
    if (failure.retry_after) {
      failure.retry_after = reply.retry_after;
    }
    co_return Ending{Outcome::kUnknown, std::nullopt, std::move(failure)};
  }
  claim_ = end->hold;
  Ending ending = co_await SendUntilDone(request);
  claim_->Settle(ending.outcome, KeptFrom(ending.answer));
  co_return ending;
}

bool CallHandler::MaySend() const {
  return !caller_gone_ && offer_.deadline - Clock::now() >= kLeastTimeToSend;
}

std::optional<FailureKind> CallHandler::ObstacleToSend(
    const HttpRequest& request) {
  if (!MaySend()) {
    return FailureKind::kDeadline;
  }
  if (suspicion_.IsQuarantined(CallerOf(request), request)) {
    return FailureKind::kQuarantined;
  }
  return std::nullopt;
}

bool CallHandler::GiveBack(const Placement& placement) {
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

// The name of the customer that a route stands for changes with the routes.
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
    exchange_->UseYoungConnection();
  }
  // Named first: g++ 12 destroys the temporaries of a conditional inside a
  // co_await expression twice.
  std::string expected_call;
  if (service_->echoes_call) {
    expected_call = call_id_.text();
  }
  ExchangeResult result =
      co_await exchange_->Run(request, offer_.deadline, expected_call);
  exchange_.reset();
  at_endpoints_ += result.took;
  co_return result;
}

asio::awaitable<CallHandler::Ending> CallHandler::SendUntilDone(
    HttpRequest& request) {
  const auto depth = ReadNumber(request, names().depth).value_or(0);
  PrepareForEndpoint(request, call_id_, depth + 1, names());
  CallOutcome call(offer_.idempotent);
  // Why the last send that may have run brought no answer.
  std::optional<FailureKind> unsure;
  const auto give_up = [&](FailureKind kind) {
    const Outcome outcome = call.outcome();
    const FailureKind told =
        outcome == Outcome::kUnknown ? unsure.value_or(kind) : kind;
    return Ending{outcome, std::nullopt, MakeFailure(told)};
  };
  int sends = 0;
  const auto refuse = [&](FailureKind kind) {
    Ending ending = give_up(kind);
    if (ending.outcome == Outcome::kNotRun) {
      ending.failure.SetRetryAfter(suspicion_.retry_after());
    }
    return ending;
  };
  if (const auto obstacle = ObstacleToSend(request)) {
    co_return refuse(*obstacle);
  }
  dispatcher_->Offer(offer_, MakeOnPlaced(), Clock::now());
  while (true) {
    const Placement placement = co_await AwaitPlacement();
    if (placement.refusal != Refusal::kNone) {
      call.OnRefused();
      Ending ending = give_up(KindOf(placement.refusal));
      ending.failure.SetRetryAfter(placement.retry_after);
      co_return ending;
    }
    if (const auto obstacle = ObstacleToSend(request)) {
      const bool is_back = GiveBack(placement);
      if (is_back) {
        call.OnRefused();
        co_return refuse(*obstacle);
      }
      continue;
    }
    call.OnPlaced();
    ExchangeResult sent = co_await SendOnce(request, placement);
    call.OnSendEnd(ForOutcome(sent));
    if (!SurelyNotRun(ForOutcome(sent))) {
      unsure = KindOf(sent.result);
    }
    const bool is_suspected =
        suspicion_.IsSuspected() && !SurelyNotRun(ForOutcome(sent));
    suspicion_.OnSendEnd(CallerOf(request), request, placement.target, sent);
    const SendEnd end{
        .token = offer_.token,
        .endpoint = placement.endpoint,
        .result = sent.result,
        .took = sent.took,
        .report = sent.report,
        .signals = sent.signals,
        .retried_downstream = WentThroughAnotherHop(sent, names()),
        .is_suspected = is_suspected,
        .sends = ++sends};
    const AfterSend after =
        dispatcher_->Finish(offer_, end, MakeOnPlaced(), Clock::now());
    if (after == AfterSend::kRetry) {
      call.OnSentAgain();
      continue;
    }
    call.OnGivenUp();
    const bool whole = sent.result == SendResult::kAnswered ||
                       sent.result == SendResult::kFailed;
    if (whole) {
      co_return Ending{call.outcome(), std::move(sent.answer), {}};
    }
    Ending ending = give_up(FailureOf(sent));
    if (ending.outcome == Outcome::kNotRun) {
      ending.failure.SetRetryAfter(
          dispatcher_->RetryAfterSend(offer_, end, Clock::now()));
    }
    co_return ending;
  }
}

void CallHandler::Log(const HttpRequest& request,
                      const Ending& ending,
                      TimePoint now) {
  CallRecord record;
  record.call = call_id_;
  record.customer = offer_.customer;
  if (service_ != nullptr) {
    record.service = service_->id;
  }
  record.outcome = ending.outcome;
  if (ending.answer) {
    record.status = ending.answer->result_int();
  } else {
    record.failure = ToString(ending.failure.kind);
  }
  record.endpoint = last_endpoint_;
  record.sends = sends_;
  record.total = now - offer_.arrival;
  record.at_endpoints = at_endpoints_;
  const bool has_objective = offer_.on_time_until != TimePoint();
  record.left = has_objective ? offer_.on_time_until - now : Duration::zero();
  record.basis = basis_;
  record.routes_version =
      routing_->has_routes() ? routing_->book()->version : 0;
  if (IsWorthALine(record)) {
    record.request = suspicion_.Fingerprint(CallerOf(request), request);
    state_.call_log().Write(record, now);
  }
}

HttpResponse CallHandler::Render(const HttpRequest& request, Ending ending) {
  if (!ending.answer) {
    state_.counters().CountFailure(ending.failure.kind);
    return RenderFailure(ending.failure, ending.outcome, call_id_, names());
  }
  HttpResponse response = std::move(*ending.answer);
  PrepareForCaller(response, request.method() == http::verb::head, names());
  response.version(11);
  SetNamed(response, names().outcome, ToString(ending.outcome));
  if (!call_id_.empty()) {
    SetNamed(response, names().call, call_id_.text());
  }
  return response;
}

asio::awaitable<HttpResponse> CallHandler::Handle(HttpRequest request) {
  const InFlight in_flight(state_.calls_in_flight());
  offer_.token = state_.NextToken();
  offer_.arrival = Clock::now();
  if (names().callers_assign_call_ids) {
    call_id_ = CallId(std::string(request[names().call]));
  }
  routing_ = state_.routing();
  Ending ending = co_await Admit(request);
  const TimePoint now = Clock::now();
  const Duration total = now - offer_.arrival;
  Log(request, ending, now);
  state_.metrics().Record({offer_.customer, offer_.urgency},
                          {ending.outcome, total, total - at_endpoints_});
  co_return Render(request, std::move(ending));
}

}  // namespace damasktack
