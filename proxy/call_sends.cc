#include "proxy/call_sends.h"

#include <utility>

#include "proxy/header_rewrite.h"

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
  if (exchange_) {
    exchange_->Cancel();
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

asio::awaitable<ExchangeResult> CallSends::SendOnce(
    HttpRequest& request,
    const Placement& placement) {
  const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
      call_.offer.deadline - Clock::now());
  ++attempt_;
  ++count_;
  last_endpoint_ = placement.target.id;
  if (basis_.cold) {
    state_.counters().CountColdSend();
    state_.call_log().WriteColdSend(call_.id, last_endpoint_, *basis_.cold,
                                    Clock::now());
  }
  SetNamed(request, names().deadline, std::to_string(remaining.count()));
  SetNamed(request, names().attempt, std::to_string(attempt_));
  SetNamed(request, names().expected_endpoint, placement.target.id.text());
  exchange_ = std::make_shared<EndpointExchange>(
      loop_.context().get_executor(), loop_.pool(), placement.target,
      state_.options().exchange, names());
  if (call_.claim) {
    call_.claim->MarkSent();
  }
  if (!call_.offer.idempotent) {
    exchange_->RequireRecentConnection();
  }
  // A named variable, because g++ 12 destroys the temporaries of a conditional
  // expression inside co_await twice.
  std::string expected_call;
  if (call_.service->echoes_call) {
    expected_call = call_.id.text();
  }
  ExchangeResult result =
      co_await exchange_->Run(request, call_.offer.deadline, expected_call);
  exchange_.reset();
  at_endpoints_ += result.took;
  co_return result;
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
    const FailureKind kind =
        is_unsure ? FailureKind::kBroken : KindOf(relayed.last);
    co_return CallResult{Outcome::kUnknown, std::nullopt, MakeFailure(kind)};
  }
  co_return CallResult{relayed.outcome, std::move(relayed.answer), {}};
}

asio::awaitable<CallResult> CallSends::Run(HttpRequest& request) {
  const auto depth = ReadNumber(request, names().depth).value_or(0);
  PrepareForEndpoint(request, call_.id, depth + 1, names());
  CallOutcome outcome(call_.offer.idempotent);
  // Failure of the last send that may have run without an answer.
  std::optional<FailureKind> unknown_failure;
  const auto give_up = [&](FailureKind kind) {
    const Outcome known = outcome.outcome();
    const FailureKind reported =
        known == Outcome::kUnknown ? unknown_failure.value_or(kind) : kind;
    return CallResult{known, std::nullopt, MakeFailure(reported)};
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
  call_.dispatcher->Offer(call_.offer, MakeOnPlaced(), Clock::now());
  while (true) {
    const Placement placement = co_await AwaitPlacement();
    if (placement.refusal != Refusal::kNone) {
      outcome.OnRefused();
      if (placement.refusal == Refusal::kUnreachable) {
        std::optional<CallResult> relayed = co_await Relay(request, outcome);
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
        outcome.OnRefused();
        co_return refuse(*obstacle);
      }
      continue;
    }
    outcome.OnPlaced();
    ExchangeResult sent = co_await SendOnce(request, placement);
    outcome.OnSendEnd(EffectiveResult(sent));
    if (!SurelyNotRun(EffectiveResult(sent))) {
      unknown_failure = KindOf(sent.result);
    }
    const bool is_suspected =
        quarantine_check_.IsSuspected() && !SurelyNotRun(EffectiveResult(sent));
    quarantine_check_.OnSendEnd(call_.caller, request, placement.target, sent);
    const SendEnd end{
        .token = call_.offer.token,
        .endpoint = placement.endpoint,
        .result = sent.result,
        .took = sent.took,
        .report = sent.report,
        .signals = sent.signals,
        .retried_downstream = WasHandledByAnotherHop(sent, names()),
        .is_suspected = is_suspected,
        .sends = ++sends};
    const AfterSend after = call_.dispatcher->Finish(
        call_.offer, end, MakeOnPlaced(), Clock::now());
    if (after == AfterSend::kRetry) {
      outcome.OnSentAgain();
      continue;
    }
    outcome.OnGivenUp();
    const bool is_complete = sent.result == SendResult::kAnswered ||
                             sent.result == SendResult::kFailed;
    if (is_complete) {
      co_return CallResult{outcome.outcome(), std::move(sent.answer), {}};
    }
    CallResult result = give_up(FailureKindOf(sent));
    if (result.outcome == Outcome::kNotRun) {
      result.failure.SetRetryAfter(
          call_.dispatcher->RetryAfterSend(call_.offer, end, Clock::now()));
    }
    co_return result;
  }
}

}  // namespace damasktack
