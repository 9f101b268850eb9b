#include "fleet/claim_exchange.h"

#include <utility>
#include <variant>
#include <vector>

namespace damasktack {

ClaimExchange::ClaimExchange(HostId self,
                             Incarnation incarnation,
                             ClaimOptions options)
    : self_{self, incarnation},
      replica_(self, incarnation, options),
      client_(incarnation, options) {}

void ClaimExchange::DeliverLocal(TimePoint now, Outbox& from, Outbox& out) {
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
        if constexpr (requires { replica_.On(sender, it, now, out); }) {
          replica_.On(sender, it, now, out);
        } else if constexpr (requires {
                               client_.On(sender, it, replica_, now, out);
                             }) {
          client_.On(sender, it, replica_, now, out);
        }
      },
      message);
}

void ClaimExchange::OnView(const HostView& view,
                           TimePoint /*now*/,
                           Outbox& /*out*/) {
  replica_.OnView(view);
}

void ClaimExchange::OnMessage(const Sender& sender,
                              const PeerMessage& message,
                              TimePoint now,
                              Outbox& out) {
  Outbox sent;
  Dispatch(sender, message, now, sent);
  DeliverLocal(now, sent, out);
}

void ClaimExchange::Tick(TimePoint now, Outbox& out) {
  Outbox sent;
  replica_.Tick(now, sent);
  client_.Tick(replica_, now, sent);
  DeliverLocal(now, sent, out);
}

void ClaimExchange::SetCounted(CountedFleet counted) {
  replica_.SetCounted(std::move(counted));
}

void ClaimExchange::Claim(const ClaimRequest& request,
                          ClaimClient::Done done,
                          TimePoint now,
                          Outbox& out) {
  Outbox sent;
  client_.Claim(request, std::move(done), replica_, now, sent);
  DeliverLocal(now, sent, out);
}

void ClaimExchange::Settle(const ClaimRequest& request,
                           std::uint64_t claim,
                           Outcome outcome,
                           std::optional<StoredAnswer> answer,
                           TimePoint now,
                           Outbox& out) {
  Outbox sent;
  client_.Settle(request, claim, outcome, std::move(answer), replica_, now,
                 sent);
  DeliverLocal(now, sent, out);
}

ClaimStatus ClaimExchange::Status() const {
  return {replica_.Status(), client_.counters(), client_.pending(),
          client_.unsettled()};
}

}  // namespace damasktack
