#include "fleet/claim_exchange.h"

#include <utility>
#include <variant>
#include <vector>

namespace damasktack {

ClaimExchange::ClaimExchange(HostId self,
                             Incarnation incarnation,
                             ClaimOptions options)
    : self_{self, incarnation},
      keeper_(self, incarnation, options),
      router_(incarnation, options) {}

void ClaimExchange::Deliver(TimePoint now, Outbox& from, Outbox& out) {
  std::vector<Outbox::Item> items = from.Take();
  while (!items.empty()) {
    Outbox next;
    for (Outbox::Item& it : items) {
      if (it.to == self_.host) {
        Dispatch(self_, it.message, now, next);
      } else {
        out.Send(std::move(it.to), std::move(it.message));
      }
    }
    items = next.Take();
  }
}

void ClaimExchange::Dispatch(const Sender& sender,
                             const PeerMessage& message,
                             TimePoint now,
                             Outbox& out) {
  std::visit(
      [&](const auto& it) {
        if constexpr (requires { keeper_.On(sender, it, now, out); }) {
          keeper_.On(sender, it, now, out);
        } else if constexpr (requires {
                               router_.On(sender, it, keeper_, now, out);
                             }) {
          router_.On(sender, it, keeper_, now, out);
        }
      },
      message);
}

void ClaimExchange::OnView(const HostView& view,
                           TimePoint /*now*/,
                           Outbox& /*out*/) {
  keeper_.OnView(view);
}

void ClaimExchange::OnMessage(const Sender& sender,
                              const PeerMessage& message,
                              TimePoint now,
                              Outbox& out) {
  Outbox sent;
  Dispatch(sender, message, now, sent);
  Deliver(now, sent, out);
}

void ClaimExchange::Tick(TimePoint now, Outbox& out) {
  Outbox sent;
  keeper_.Tick(now, sent);
  router_.Tick(keeper_, now, sent);
  Deliver(now, sent, out);
}

void ClaimExchange::SetCounted(CountedFleet counted) {
  keeper_.SetCounted(std::move(counted));
}

void ClaimExchange::Claim(const ClaimRequest& request,
                          ClaimClient::Done done,
                          TimePoint now,
                          Outbox& out) {
  Outbox sent;
  router_.Claim(request, std::move(done), keeper_, now, sent);
  Deliver(now, sent, out);
}

void ClaimExchange::Settle(const ClaimRequest& request,
                           std::uint64_t claim,
                           Outcome outcome,
                           std::optional<KeptAnswer> answer,
                           TimePoint now,
                           Outbox& out) {
  Outbox sent;
  router_.Settle(request, claim, outcome, std::move(answer), keeper_, now,
                 sent);
  Deliver(now, sent, out);
}

ClaimStatus ClaimExchange::Status() const {
  return {keeper_.Status(), router_.counters(), router_.asking(),
          router_.unsettled()};
}

}  // namespace damasktack
