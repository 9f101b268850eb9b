#include "proxy/call_sends.h"

#include <utility>

#include "proxy/header_rewrite.h"
#include "proxy/held_request.h"

namespace damasktack {

namespace {

constexpr std::chrono::milliseconds kMinTimeToSend(1);

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

// Returns the offer of a send that must not be retried by itself, because
// another send decides about the call.
CallOffer WithoutRetry(CallOffer offer) {
  offer.is_retry = true;
  return offer;
}

FailureKind FailureKindOf(const ExchangeResult& sent) {
  const bool is_late = !sent.wrote && sent.result == SendResult::kTimedOut;
  return is_late ? FailureKind::kDeadline : KindOf(EffectiveResult(sent));
}

}  // namespace

CallSends::CallSends(ProxyState& state, ProxyLoop& loop, AdmittedCall call)
    : state_(state),
      loop_(loop),
      call_(std::move(call)),
      wake_(loop.context()),
      quarantine_check_(state.quarantine(), loop.context()),
      relay_(state, loop),
      attempt_(call_.attempts) {}

void CallSends::OnCallerGone() {
  caller_gone_ = true;
  relay_.Cancel();
  if (first_) {
    first_->exchange->Cancel();
    if (hedge_) {
      hedge_->exchange->Cancel();
    }
    return;
  }
  if (call_.dispatcher->Withdraw(call_.offer.token, Clock::now())) {
    placement_ = Placement{Refusal::kDeadline, 0, {}, {}};
    wake_.cancel();
  }
}

asio::awaitable<void> CallSends::Sleep(TimePoint until) {
  boost::system::error_code ec;
  wake_.expires_at(until);
  co_await wake_.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

// The balancer may outlive the loop, so the callback must not own sockets or
// timers.
ServiceDispatcher::OnPlaced CallSends::MakeOnPlaced() {
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

asio::awaitable<Placement> CallSends::AwaitPlacement() {
  while (!placement_) {
    const bool late = Clock::now() >= call_.offer.deadline;
    if (late && call_.dispatcher->Withdraw(call_.offer.token, Clock::now())) {
      co_return Placement{Refusal::kDeadline, 0, {}, {}};
    }
    // If the withdrawal comes too late, the placement is about to arrive.
    const TimePoint until = late ? TimePoint::max() : call_.offer.deadline;
    co_await Sleep(until);
  }
  Placement placement = std::move(*placement_);
  placement_.reset();
  basis_ = placement.basis;
  co_return placement;
}

bool CallSends::HasTimeToSend() const {
  return !caller_gone_ && call_.offer.deadline - Clock::now() >= kMinTimeToSend;
}

std::optional<FailureKind> CallSends::FindSendObstacle(
    const HttpRequest& request) {
  if (!HasTimeToSend()) {
    return FailureKind::kDeadline;
  }
  if (quarantine_check_.IsQuarantined(call_.caller, request)) {
    return FailureKind::kQuarantined;
  }
  return std::nullopt;
}

bool CallSends::ReturnPlacement(const Placement& placement) {
  const SendEnd end{.token = call_.offer.token,
                    .endpoint = placement.endpoint,
                    .result = SendResult::kCancelled,
                    .took = Duration::zero(),
                    .report = std::nullopt};
  const TimePoint now = Clock::now();
  return call_.dispatcher->Finish(call_.offer, end, MakeOnPlaced(), now) ==
             AfterSend::kDone ||
         call_.dispatcher->Withdraw(call_.offer.token, now);
}

CallSends::SendPtr CallSends::MakeSend(std::shared_ptr<HttpRequest> request,
                                       const Placement& placement,
                                       const CallOffer& offer) {
  const TimePoint now = Clock::now();
  const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
      offer.deadline - now);
  ++attempt_;
  ++count_;
  last_endpoint_ = placement.target.id;
  if (placement.basis.cold) {
    state_.counters().CountColdSend();
    state_.call_log().WriteColdSend(call_.id, last_endpoint_,
                                    *placement.basis.cold, now);
  }
  SetNamed(*request, names().deadline, std::to_string(remaining.count()));
  SetNamed(*request, names().attempt, std::to_string(attempt_));
  SetNamed(*request, names().expected_endpoint, placement.target.id.text());
  auto send = std::make_shared<Send>();
  send->placement = placement;
  send->offer = offer;
  send->request = std::move(request);
  send->began_at = now;
  send->exchange = std::make_shared<EndpointExchange>(
      loop_.context().get_executor(), loop_.pool(), placement.target,
      state_.options().exchange, names());
  send->exchange->AvoidConnections(connections_);
  if (call_.claim) {
    call_.claim->MarkSent();
  }
  if (!offer.idempotent) {
    send->exchange->RequireRecentConnection();
  }
  if (call_.service->echoes_call) {
    send->expected_call = call_.id.text();
  }
  return send;
}

void CallSends::Start(const SendPtr& send) {
  asio::co_spawn(loop_.context(),
                 send->exchange->Run(*send->request, send->offer.deadline,
                                     send->expected_call),
                 [self = shared_from_this(), send](
                     const std::exception_ptr& error, ExchangeResult result) {
                   if (error) {
                     // The request may have been written.
                     result.result = SendResult::kBroken;
                     result.wrote = true;
                   }
                   send->result = std::move(result);
                   self->connections_.push_back(send->result->connection);
                   self->OnStartedSendEnd(send);
                 });
}

void CallSends::OnStartedSendEnd(const SendPtr& send) {
  if (send->is_losing) {
    Report(*send, WithoutRetry(send->offer));
    return;
  }
  wake_.cancel();
}

bool CallSends::IsDecided() const {
  const bool first_ended = first_->result.has_value();
  return first_->IsAnswered() || (hedge_ && hedge_->IsAnswered()) ||
         (first_ended && (!hedge_ || hedge_->result));
}

asio::awaitable<void> CallSends::AwaitAnswer() {
  if (!call_.may_be_hedged) {
    first_->result = co_await first_->exchange->Run(
        *first_->request, first_->offer.deadline, first_->expected_call);
    connections_.push_back(first_->result->connection);
    co_return;
  }
  Start(first_);
  std::optional<TimePoint> ask_at = first_->began_at;
  while (!IsDecided()) {
    ReportEarlyEnd();
    if (ask_at && Clock::now() >= *ask_at) {
      ask_at = TryHedge();
    }
    co_await Sleep(ask_at.value_or(TimePoint::max()));
  }
}

std::optional<TimePoint> CallSends::TryHedge() {
  // A request that may crash endpoints is sent to one at a time.
  if (has_hedged_ || FindSendObstacle(*first_->request) ||
      quarantine_check_.IsSuspected()) {
    return std::nullopt;
  }
  MemoryAccount memory(&state_.memory(), MemoryBudget::Source::kRequest);
  if (!memory.Resize(first_->request->body().size())) {
    return std::nullopt;
  }
  const TimePoint now = Clock::now();
  HedgeRequest request{.offer = call_.offer,
                       .first_token = first_->offer.token,
                       .first = first_->placement.endpoint,
                       .in_flight = now - first_->began_at,
                       .sends = count_};
  request.offer.token = state_.NextToken();
  request.offer.is_retry = true;
  const HedgePlacement decision = call_.dispatcher->DecideHedge(request, now);
  if (!decision.placement) {
    return decision.ask_again_after
               ? std::optional(now + *decision.ask_again_after)
               : std::nullopt;
  }
  hedge_ =
      MakeSend(HoldRequest(HttpRequest(*first_->request), std::move(memory)),
               *decision.placement, request.offer);
  state_.call_log().WriteHedge({.call = call_.id,
                                .first = first_->placement.target.id,
                                .second = hedge_->placement.target.id,
                                .in_flight = request.in_flight,
                                .left = call_.offer.on_time_until - now,
                                .expected = hedge_->placement.basis.expected},
                               now);
  has_hedged_ = true;
  Start(hedge_);
  return std::nullopt;
}

SendEnd CallSends::EndOf(const Send& send) const {
  const ExchangeResult& sent = *send.result;
  return SendEnd{.token = send.offer.token,
                 .endpoint = send.placement.endpoint,
                 .result = sent.result,
                 .took = sent.took,
                 .report = sent.report,
                 .signals = sent.signals,
                 .retried_downstream = WasHandledByAnotherHop(sent, names()),
                 .is_suspected = quarantine_check_.IsSuspected() &&
                                 !SurelyNotRun(EffectiveResult(sent)),
                 .sends = count_};
}

AfterSend CallSends::Report(Send& send, const CallOffer& offer) {
  if (std::exchange(send.is_reported, true)) {
    return AfterSend::kDone;
  }
  state_.RecordStrayAnswers(call_.id, send.placement.target.id, *send.result);
  const SendEnd end = EndOf(send);
  quarantine_check_.OnSendEnd(call_.caller, *send.request,
                              send.placement.target, *send.result);
  return call_.dispatcher->Finish(offer, end, MakeOnPlaced(), Clock::now());
}

void CallSends::ReportEarlyEnd() {
  for (const SendPtr& it : {first_, hedge_}) {
    if (it && it->result) {
      Report(*it, WithoutRetry(it->offer));
    }
  }
}

void CallSends::RecordEnd(const Send& last,
                          const Send* other,
                          CallOutcome& outcome) {
  const SendResult result = EffectiveResult(*last.result);
  if (!other) {
    outcome.OnSendEnd(result);
    return;
  }
  const bool is_hedge_last = last.offer.token != call_.offer.token;
  if (!last.IsAnswered()) {
    state_.counters().CountHedge(HedgeEnd::kFailed);
    outcome.OnSendsEnd(EffectiveResult(*other->result), result);
    return;
  }
  state_.counters().CountHedge(is_hedge_last ? HedgeEnd::kWon
                                             : HedgeEnd::kLost);
  outcome.OnSendEnd(result);
}

CallSends::SendPtr CallSends::LastSend() const {
  if (!hedge_ || first_->IsAnswered()) {
    return first_;
  }
  // If both failed, the one that is not reported yet ended last.
  return hedge_->IsAnswered() || first_->is_reported ? hedge_ : first_;
}

void CallSends::Leave(const SendPtr& send) {
  send->is_losing = true;
  const Duration left =
      send->began_at + send->placement.basis.expected - Clock::now();
  const std::optional<Duration> ends_in =
      left > Duration::zero() ? std::optional(left) : std::nullopt;
  if (state_.stopping() ||
      CancelsLosingSend(state_.options().hedge.losing_send, ends_in)) {
    state_.counters().CountLosingSendCancelled();
    send->exchange->Cancel();
    return;
  }
  call_.losing_sends->Add(send->exchange);
}

asio::awaitable<std::optional<CallResult>> CallSends::Relay(
    HttpRequest& request,
    const CallOutcome& before) {
  // A relayed call is not relayed again, so that it cannot circulate. Calls
  // under a contract are not relayed: their key is not passed on, and their
  // limits and claims are held by this host.
  if (call_.origin == CallOrigin::kPeer || !call_.routing->has_routes() ||
      !HasTimeToSend()) {
    co_return std::nullopt;
  }
  const CallRelay::Call call{
      .id = call_.id,
      .service = call_.service->id,
      .deadline = call_.offer.deadline,
      .idempotent = call_.offer.idempotent,
      .sends = count_,
      .allowed_regions = call_.offer.allowed_regions,
      .unreachable_for = call_.dispatcher->UnreachableFor(Clock::now())};
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
    // The status of a refusal would say that nothing ran.
    const bool is_refusal = SurelyNotRun(relayed.last);
    const FailureKind kind =
        is_unsure || is_refusal ? FailureKind::kBroken : KindOf(relayed.last);
    co_return CallResult{Outcome::kUnknown, std::nullopt, MakeFailure(kind)};
  }
  co_return CallResult{relayed.outcome,
                       std::move(relayed.answer),
                       {},
                       std::move(relayed.memory)};
}

asio::awaitable<CallResult> CallSends::Run(
    std::shared_ptr<HttpRequest> request) {
  const auto depth = ReadNumber(*request, names().depth).value_or(0);
  PrepareForEndpoint(*request, call_.id, depth + 1, names());
  CallOutcome outcome(call_.offer.idempotent);
  // Failure of the last send that may have run without an answer.
  std::optional<FailureKind> unknown_failure;
  const auto give_up = [&](FailureKind kind) {
    const Outcome known = outcome.outcome();
    const FailureKind reported =
        known == Outcome::kUnknown ? unknown_failure.value_or(kind) : kind;
    return CallResult{known, std::nullopt, MakeFailure(reported)};
  };
  const auto refuse = [&](FailureKind kind) {
    CallResult result = give_up(kind);
    if (result.outcome == Outcome::kNotRun) {
      result.failure.SetRetryAfter(quarantine_check_.retry_after());
    }
    return result;
  };
  if (const auto obstacle = FindSendObstacle(*request)) {
    co_return refuse(*obstacle);
  }
  call_.dispatcher->Offer(call_.offer, MakeOnPlaced(), Clock::now());
  while (true) {
    const Placement placement = co_await AwaitPlacement();
    if (placement.refusal != Refusal::kNone) {
      outcome.OnRefused();
      if (placement.refusal == Refusal::kUnreachable) {
        std::optional<CallResult> relayed = co_await Relay(*request, outcome);
        if (relayed) {
          co_return std::move(*relayed);
        }
      }
      CallResult result = give_up(KindOf(placement.refusal));
      result.failure.SetRetryAfter(placement.retry_after);
      co_return result;
    }
    if (const auto obstacle = FindSendObstacle(*request)) {
      const bool is_returned = ReturnPlacement(placement);
      if (is_returned) {
        outcome.OnRefused();
        co_return refuse(*obstacle);
      }
      continue;
    }
    outcome.OnPlaced();
    const TimePoint placed_at = Clock::now();
    first_ = MakeSend(request, placement, call_.offer);
    co_await AwaitAnswer();
    const SendPtr last = LastSend();
    const SendPtr other = last == first_ ? hedge_ : first_;
    first_.reset();
    hedge_.reset();
    at_endpoints_ += Clock::now() - placed_at;
    last_endpoint_ = last->placement.target.id;
    RecordEnd(*last, other.get(), outcome);
    if (other && other->result) {
      Report(*other, WithoutRetry(other->offer));
    }
    // If the call is retried, it waits under the token of this send.
    call_.offer.token = last->offer.token;
    const SendEnd end = EndOf(*last);
    const AfterSend after = Report(*last, call_.offer);
    if (other && !other->result) {
      Leave(other);
    }
    for (const SendPtr& it : {other, last}) {
      if (it && it->result && !SurelyNotRun(EffectiveResult(*it->result))) {
        unknown_failure = KindOf(it->result->result);
      }
    }
    if (after == AfterSend::kRetry) {
      outcome.OnSentAgain();
      continue;
    }
    outcome.OnGivenUp();
    for (const SendPtr& it : {last, other}) {
      if (it && it->HasAnswerForCaller()) {
        co_return CallResult{outcome.outcome(),
                             std::move(it->result->answer),
                             {},
                             std::move(it->result->memory)};
      }
    }
    CallResult result = give_up(FailureKindOf(*last->result));
    if (result.outcome == Outcome::kNotRun) {
      result.failure.SetRetryAfter(
          call_.dispatcher->RetryAfterSend(call_.offer, end, Clock::now()));
    }
    co_return result;
  }
}

}  // namespace damasktack
