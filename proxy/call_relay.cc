#include "proxy/call_relay.h"

#include <utility>

#include "proxy/header_rewrite.h"

namespace damasktack {

namespace {

// Connections that one thread keeps to one peer.
constexpr std::size_t kConnectionsPerPeer = 32;
constexpr std::chrono::milliseconds kMinTimeToRelay(5);

EndpointTarget TargetOf(const RelayHost& peer) {
  EndpointTarget target;
  target.address = peer.address;
  target.connections = kConnectionsPerPeer;
  target.id = EndpointId(peer.host.text());
  return target;
}

RelayEnd EndOf(const ExchangeResult& sent) {
  if (sent.answer && sent.answer->count(kRelayRefusedHeader) > 0) {
    return RelayEnd::kRefused;
  }
  // The caller or the deadline ended the exchange, which says nothing of the
  // peer.
  const bool is_aborted = sent.result == SendResult::kCancelled ||
                          sent.result == SendResult::kTimedOut;
  return sent.answer || is_aborted ? RelayEnd::kTaken : RelayEnd::kLost;
}

}  // namespace

void CallRelay::Cancel() {
  is_cancelled_ = true;
  if (exchange_) {
    exchange_->Cancel();
  }
}

std::optional<Outcome> CallRelay::ReadOutcome(
    const HttpResponse& answer) const {
  const auto stated = FromBeast(answer[state_.options().names.outcome]);
  for (const Outcome it :
       {Outcome::kComplete, Outcome::kNotRun, Outcome::kUnknown}) {
    if (stated == ToString(it)) {
      return it;
    }
  }
  return std::nullopt;
}

asio::awaitable<ExchangeResult> CallRelay::SendTo(const RelayHost& peer,
                                                  HttpRequest& request,
                                                  const Call& call) {
  const ProxyOptions& options = state_.options();
  const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
      call.deadline - Clock::now());
  SetNamed(request, options.names.deadline, std::to_string(remaining.count()));
  if (!options.names.expected_endpoint.empty()) {
    request.erase(options.names.expected_endpoint);
  }
  request.set(kRelayTokenHeader, options.relay.token);
  request.set(kRelayFromHeader, options.relay.host.text());
  request.set(kRelaySendsHeader, std::to_string(call.sends));
  exchange_ = std::make_shared<EndpointExchange>(
      loop_.context().get_executor(), loop_.pool(), TargetOf(peer),
      options.exchange, options.names);
  if (!call.idempotent) {
    exchange_->RequireRecentConnection();
  }
  ExchangeResult sent =
      co_await exchange_->Run(request, call.deadline, call.id.text());
  exchange_.reset();
  state_.RecordStrayAnswers(call.id, EndpointId(peer.host.text()), sent);
  co_return sent;
}

asio::awaitable<CallRelay::Result> CallRelay::Run(HttpRequest& request,
                                                  const Call& call) {
  Result result;
  std::vector<HostId> tried;
  while (tried.size() < kMaxPeers && !is_cancelled_ &&
         call.deadline - Clock::now() >= kMinTimeToRelay) {
    const std::optional<RelayHost> peer =
        state_.relay_peers().Pick(tried, call.allowed_regions, Clock::now());
    if (!peer) {
      break;
    }
    tried.push_back(peer->host);
    state_.call_log().WriteRelay(call.id, call.service, peer->host,
                                 call.unreachable_for, Clock::now());
    ExchangeResult sent = co_await SendTo(*peer, request, call);
    const RelayEnd end = EndOf(sent);
    state_.relay_peers().OnEnd(peer->host, end, Clock::now());
    state_.counters().CountRelay(end);
    result.took += sent.took;
    const bool surely_not_taken =
        end == RelayEnd::kRefused || (end == RelayEnd::kLost && !sent.wrote);
    if (surely_not_taken) {
      continue;
    }
    result.last = sent.wrote ? sent.result : SendResult::kNotConnected;
    result.outcome = sent.wrote ? Outcome::kUnknown : Outcome::kNotRun;
    const auto stated =
        sent.answer ? ReadOutcome(*sent.answer) : std::optional<Outcome>();
    if (stated) {
      result.outcome = *stated;
      result.answer = std::move(sent.answer);
      result.memory = std::move(sent.memory);
    }
    break;
  }
  co_return result;
}

}  // namespace damasktack
