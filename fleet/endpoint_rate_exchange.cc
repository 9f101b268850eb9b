#include "fleet/endpoint_rate_exchange.h"

#include <utility>

namespace damasktack {

void EndpointRateExchange::OnPeer(const HostId& host,
                                  TimePoint now,
                                  Outbox& out) {
  if (!peers_.try_emplace(host, 0).second) {
    return;
  }
  const std::vector<StatedRate> rates = rates_.InForce();
  if (!rates.empty()) {
    out.Send(host, MakeEndpointRateReport(rates, now));
  }
}

void EndpointRateExchange::Tell(const std::vector<StatedRate>& news,
                                const HostId& but,
                                TimePoint now,
                                Outbox& out) const {
  std::vector<HostId> to;
  for (const auto& [host, incarnation] : peers_) {
    if (host != but) {
      to.push_back(host);
    }
  }
  if (!news.empty() && !to.empty()) {
    out.SendToAll(std::move(to), MakeEndpointRateReport(news, now));
  }
}

void EndpointRateExchange::Share(TimePoint now, Outbox& out) {
  Tell(rates_.TakeUpdates(), HostId(), now, out);
}

void EndpointRateExchange::OnReport(const HostId& from,
                                    const EndpointRateReport& report,
                                    TimePoint now,
                                    Outbox& out) {
  const std::vector<StatedRate> news = rates_.Take(report, now);
  if (shape_ == FleetTopology::kStar) {
    Tell(news, from, now, out);
  }
}

void EndpointRateExchange::OnView(const HostView& view,
                                  TimePoint now,
                                  Outbox& out) {
  std::map<HostId, Incarnation> reachable;
  for (const PeerView& it : view.peers) {
    if (it.reachable) {
      reachable[it.id] = it.incarnation;
    }
  }
  std::erase_if(peers_, [&](const auto& known) {
    const auto it = reachable.find(known.first);
    return it == reachable.end() || it->second != known.second;
  });
  for (const auto& [host, incarnation] : reachable) {
    OnPeer(host, now, out);
    peers_[host] = incarnation;
  }
}

void EndpointRateExchange::OnMessage(const Sender& sender,
                                     const PeerMessage& message,
                                     TimePoint now,
                                     Outbox& out) {
  if (const auto* report = std::get_if<EndpointRateReport>(&message)) {
    OnReport(sender.host, *report, now, out);
  }
}

}  // namespace damasktack
